//! A small deployment: the store, three servers of a plain service, and three entries.

use std::{
    env, io,
    net::SocketAddr,
    path::Path,
    process::ExitCode,
    sync::{Arc, Mutex, PoisonError},
    thread::{self, JoinHandle},
    time::Duration,
};

use crate::{
    client,
    daemon::{Daemon, Folder, Machine, Network, ZONES},
    http::Listener,
    record::Record,
    server::{Options, Run, Runs, Server},
    store::Store,
};

/// Service of the servers.
pub const SERVICE: &str = "tyojono";

/// Time after the start of the entries from which they are in touch: `contact_ms` and a margin.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Answer that a client got.
#[derive(Debug, Clone)]
pub struct Answer {
    pub attempt: String,
    /// Status; 0 if the connection failed.
    pub status: u16,
}

/// Running deployment.
#[derive(Debug)]
pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub servers: Vec<Server>,
    pub entries: Vec<Daemon>,
    pub runs: Runs,
    answers: Arc<Mutex<Vec<Answer>>>,
    senders: Vec<JoinHandle<()>>,
    _port: Listener,
    _folder: Folder,
}

/// Plays a case and turns its verdict into an exit code. `play` returns whether the rule was broken; it gets the folder of the
/// case and whether there is a disruption.
pub fn main(play: impl FnOnce(&Path, bool) -> io::Result<bool>) -> ExitCode {
    let has_trouble = env::var("TROUBLE").as_deref() != Ok("0");
    let folder = env::args().nth(1).unwrap_or_else(|| ".".to_owned());
    match play(Path::new(&folder), has_trouble) {
        Ok(false) => ExitCode::SUCCESS,
        Ok(true) => ExitCode::from(1),
        Err(error) => {
            eprintln!("the case could not run: {error}");
            ExitCode::from(2)
        }
    }
}

impl Deployment {
    /// Starts the deployment, and waits until all entries are in touch. A request runs for `work`.
    pub fn start(case: &Path, work: Duration) -> io::Result<Self> {
        let record = Record::create(case)?;
        let (folder, network) = (Folder::create()?, Network::choose()?);
        let store = Store::default();
        let port = store.serve(network.free(1)?)?;
        let runs = Runs::default();
        let zones = ZONES.iter().enumerate();
        let servers = zones.map(|(index, (zone, _))| {
            let options = Options {
                id: format!("i-desk{index}"),
                service: SERVICE.to_owned(),
                zone: (*zone).to_owned(),
                slots: 6,
                work,
            };
            Server::start(network.free(100 + index as u8)?, options, &runs, &record)
        });
        let servers: Vec<Server> = servers.collect::<io::Result<_>>()?;
        store.put("op/config", &configuration());
        for server in &servers {
            server.register(&store, "ready");
        }
        let mut entries = Vec::new();
        for index in 0..ZONES.len() {
            let machine = Machine::entry(&network, index)?;
            entries.push(Daemon::start(machine, &network, port.address(), &folder.0)?);
        }
        let deployment = Self {
            record,
            store,
            servers,
            entries,
            runs,
            answers: Arc::default(),
            senders: Vec::new(),
            _port: port,
            _folder: folder,
        };
        let mut entries = deployment.entries.iter();
        if !entries.all(|entry| entry.wait_ready(Duration::from_secs(10))) {
            return Err(io::Error::other("an entry did not become ready"));
        }
        let record = &deployment.record;
        record.say("three entries are ready, three servers are listed");
        thread::sleep(SETTLE_TIME);
        Ok(deployment)
    }

    /// Lets three clients at each entry send a request at the same moment: two orders, which may run once, and a lookup.
    pub fn send_wave(&mut self, name: &str) {
        for entry in &self.entries {
            for index in 0..3 {
                let attempt = format!("{name}-{}-{index}", entry.machine.zone);
                let (front, is_order) = (entry.machine.front(), index < 2);
                let (record, answers) = (self.record.clone(), Arc::clone(&self.answers));
                let sender =
                    thread::spawn(move || send(front, attempt, is_order, &record, &answers));
                self.senders.push(sender);
            }
        }
    }

    /// Waits for all answers and ends the entries. Returns the answers and what the servers ran.
    ///
    /// # Errors
    /// Fails if an entry has ended by itself, or if fewer than half of the requests were answered with success.
    pub fn finish(mut self) -> io::Result<(Vec<Answer>, Vec<Run>)> {
        for sender in self.senders.drain(..) {
            // One that panicked has recorded no answer.
            let _ = sender.join();
        }
        let has_ended = self.entries.iter_mut().any(Daemon::has_ended);
        let answers = self.answers.lock().unwrap_or_else(PoisonError::into_inner);
        let answers = answers.clone();
        let good = answers.iter().filter(|answer| answer.status == 200).count();
        let sent = answers.len();
        self.record.say(&format!(
            "{sent} requests were answered, {good} of them with 200"
        ));
        if has_ended || good * 2 < sent || sent == 0 {
            return Err(io::Error::other("too few requests were answered"));
        }
        Ok((answers, self.runs.all()))
    }
}

fn send(
    front: SocketAddr,
    attempt: String,
    is_order: bool,
    record: &Record,
    answers: &Mutex<Vec<Answer>>,
) {
    let line = if is_order {
        "POST /orders/new"
    } else {
        "GET /stock/part"
    };
    let body: &[u8] = if is_order { &[b'o'; 600] } else { b"" };
    record.line(&format!("client sends {attempt} to {front}: {line}"));
    let headers = [
        ("Host", "desk.example".to_owned()),
        ("X-Pistachiolug-Attempt-Id", attempt.clone()),
        ("X-Pistachiolug-Request-Deadline", "1500".to_owned()),
        ("Api-Key", "jnbanfqasnmgkcuyj8pj".to_owned()),
    ];
    let answer = client::send(front, line, &headers, body, Duration::from_millis(1500));
    let status = answer.as_ref().map_or(0, |answer| answer.status());
    let text = answer.map_or_else(|error| error.to_string(), |answer| answer.line);
    record.line(&format!("client got for {attempt}: {text}"));
    let mut answers = answers.lock().unwrap_or_else(PoisonError::into_inner);
    answers.push(Answer { attempt, status });
}

/// Returns a configuration with a route for orders, which may run once, and one for lookups.
fn configuration() -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u8| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"desk.example\",\"prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
             \"timeout_ms\":800,\"target_latency_ms\":100,\"priority\":2,\"service\":\"{SERVICE}\",\
             \"attempts\":{attempts},\"anonymous\":false,\"session_affinity\":false,\"stream_resume\":false}}"
        )
    };
    format!(
        "{{\"version\":7,\"routes\":[{},{}],\"services\":[{{\"name\":\"{SERVICE}\",\"health_path\":\"/health\",\
         \"max_connections\":48,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\
         \"name\":\"bozi300\",\"api_keys\":[\"jnbanfqasnmgkcuyj8pj\"],\"priority\":1}}]}}",
        route("r-order", "/orders/", "non_idempotent", 1),
        route("r-stock", "/stock/", "idempotent", 2)
    )
}
