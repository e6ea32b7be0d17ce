//! An agent is killed again and again while its model server takes 0.9 s to accept an order.

use std::{
    io,
    path::Path,
    process::ExitCode,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use review_standin_3::{
    client,
    daemon::{Daemon, Folder, Machine, Network, ZONES},
    deployment,
    engine::Engine,
    record::Record,
    store::Store,
    weights::{self, CHUNKS_JSON, MODEL},
};

/// Time that the server takes for the first order; agents wait for an answer for a second.
const ORDER_TIME: Duration = Duration::from_millis(900);

/// Time from the order to the first kill, and from its acceptance to the second one; time from a kill to the restart.
const KILL_AFTER: Duration = Duration::from_millis(100);
const RESTART_AFTER: Duration = Duration::from_millis(150);

/// Model servers of the site, each with an agent.
const SERVERS: usize = 9;

const SERVICE: &str = "kielimalli";

fn main() -> ExitCode {
    deployment::main(play)
}

fn play(case: &Path, has_trouble: bool) -> io::Result<bool> {
    let record = Record::create(case)?;
    let (folder, network) = (Folder::create()?, Network::choose()?);
    let store = Store::default();
    let port = store.serve(network.free(1)?)?;
    let origin = weights::serve_origin(network.free(2)?, &record)?;
    store.put("op/config", &configuration(&origin.address().to_string()));
    let start = |machine| Daemon::start(machine, &network, port.address(), &folder.0);
    let mut engines = Vec::new();
    let mut agents = Vec::new();
    let mut entries = Vec::new();
    for index in 0..ZONES.len() {
        entries.push(start(Machine::entry(&network, index)?)?);
    }
    for index in 0..SERVERS {
        let (zone, _) = ZONES[index % ZONES.len()];
        let app = Machine::app(&network, index)?;
        let id = format!("i-model{index}");
        engines.push(Engine::start(app, &id, SERVICE, zone, &store, &record)?);
        agents.push(start(Machine::agent(index, app, SERVICE))?);
    }
    if !entries
        .iter()
        .all(|entry| entry.wait_ready(Duration::from_secs(10)))
    {
        return Err(io::Error::other("an entry did not become ready"));
    }
    record.say("three entries, nine agents and nine model servers run");
    thread::sleep(Duration::from_secs(5));
    let is_over = Arc::new(AtomicBool::new(false));
    let complete = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = entries
        .iter()
        .flat_map(|entry| (0..8).map(|client| (entry.machine.front(), client)))
        .map(|(front, client)| {
            let (is_over, complete, record) =
                (Arc::clone(&is_over), Arc::clone(&complete), record.clone());
            thread::spawn(move || send_streams(front, client, &is_over, &complete, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    engines
        .iter()
        .for_each(|(engine, _)| engine.delay_order(2, ORDER_TIME));
    name_version(&store, &record, 2);
    // The first order that comes is the one that is held up.
    let find = || {
        let mut engines = engines.iter();
        engines
            .position(|(engine, _)| !engine.delayed().is_empty() || engine.accepted().contains(&2))
    };
    wait_until(Duration::from_secs(12), || find().is_some());
    let first = find().ok_or_else(|| io::Error::other("no order came for version 2"))?;
    engines
        .iter()
        .for_each(|(engine, _)| engine.answer_orders());
    name_version(&store, &record, 3);
    if has_trouble {
        let engine = engines[first].0.clone();
        thread::sleep(KILL_AFTER);
        let agent = restart(agents.remove(first), &record, start)?;
        // The server begins to load; the agent is killed again before it has seen the end of that.
        if !wait_until(Duration::from_secs(5), || engine.accepted().contains(&2)) {
            return Err(io::Error::other("the order was not carried out"));
        }
        thread::sleep(KILL_AFTER);
        agents.push(restart(agent, &record, start)?);
    }
    wait_until(Duration::from_secs(16), || {
        engines
            .iter()
            .all(|(engine, _)| engine.version() == Some(3))
    });
    thread::sleep(Duration::from_secs(2));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        // One that panicked has counted no answers.
        let _ = client.join();
    }
    let complete: Vec<String> = complete
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let good = complete.len();
    record.say(&format!("{good} streams were complete"));
    let mut spoilt = Vec::new();
    for (engine, _) in &engines {
        let (tokens, own) = engine.tokens();
        record.say(&format!("server {} holds version {:?}; it made {tokens} tokens, {} of them with layers that are not whole", engine.id, engine.version(), own.len()));
        spoilt.extend(own);
    }
    if let (Some(first), Some(last)) = (spoilt.first(), spoilt.last()) {
        let seconds = last.at.saturating_sub(first.at).as_secs_f64();
        let mut attempts: Vec<&str> = spoilt.iter().map(|token| token.attempt.as_str()).collect();
        attempts.sort_unstable();
        attempts.dedup();
        let got = attempts
            .iter()
            .filter(|attempt| complete.iter().any(|complete| complete == *attempt));
        record.say(&format!(
            "WHOLE: {} tokens of {} streams were made within {seconds:.3} s on version {} with layers that are not whole: {:?}; clients got {} of the streams whole",
            spoilt.len(),
            attempts.len(),
            first.version,
            first.layers,
            got.count()
        ));
    }
    if good < 20 {
        return Err(io::Error::other("too few streams were complete"));
    }
    Ok(!spoilt.is_empty())
}

/// Kills a program and starts it again.
fn restart(
    daemon: Daemon,
    record: &Record,
    start: impl Fn(Machine) -> io::Result<Daemon>,
) -> io::Result<Daemon> {
    let machine = daemon.machine.clone();
    record.say(&format!("{} is killed", machine.name));
    drop(daemon);
    thread::sleep(RESTART_AFTER);
    record.say(&format!("{} starts again", machine.name));
    start(machine)
}

fn wait_until(time_limit: Duration, is_reached: impl Fn() -> bool) -> bool {
    let end = Instant::now() + time_limit;
    while Instant::now() < end {
        if is_reached() {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    false
}

fn name_version(store: &Store, record: &Record, version: u64) {
    store.put(
        &format!("op/version/{MODEL}"),
        &format!("{{\"model\":\"{MODEL}\",\"version\":{version}}}"),
    );
    record.say(&format!("version {version} is named"));
}

/// Sends one stream after the other to an entry until the end.
fn send_streams(
    front: std::net::SocketAddr,
    client: u32,
    is_over: &AtomicBool,
    complete: &Mutex<Vec<String>>,
    record: &Record,
) {
    let mut count = 0_u32;
    while !is_over.load(Ordering::SeqCst) {
        let attempt = format!("s-{}-{client}-{count}", front.port());
        count += 1;
        record.line(&format!("client sends {attempt}"));
        let headers = [
            ("Host", "desk.example".to_owned()),
            ("X-Pistachiolug-Attempt-Id", attempt.clone()),
            ("X-Pistachiolug-Request-Deadline", "6000".to_owned()),
            ("X-Pistachiolug-Model", MODEL.to_owned()),
            ("X-Pistachiolug-Token-Count", "600,72".to_owned()),
            (
                "X-Pistachiolug-Prompt-Prefix",
                format!("5c1e07a2:40,{client:x}{count:x}:560"),
            ),
            ("Api-Key", "jnbanfqasnmgkcuyj8pj".to_owned()),
        ];
        let answer = client::send(
            front,
            "POST /reports/new",
            &headers,
            &[b'p'; 400],
            Duration::from_secs(6),
        );
        let text = match &answer {
            Ok(answer) if answer.status() == 200 => {
                complete
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .push(attempt.clone());
                "200 and the whole stream".to_owned()
            }
            Ok(answer) => answer.line.clone(),
            Err(error) => error.to_string(),
        };
        record.line(&format!("client got for {attempt}: {text}"));
        thread::sleep(Duration::from_millis(40));
    }
}

fn configuration(origin: &str) -> String {
    format!(
        "{{\"version\":7,\"routes\":[{{\"name\":\"r-report\",\"host\":\"desk.example\",\"prefix\":\"/reports/\",\"kind\":\"streaming\",\
         \"timeout_ms\":6000,\"target_latency_ms\":400,\"priority\":1,\"service\":\"{SERVICE}\",\"attempts\":2,\"anonymous\":false,\
         \"session_affinity\":true,\"stream_resume\":true,\"target_gap_ms\":300}}],\"services\":[{{\"name\":\"{SERVICE}\",\
         \"health_path\":\"/health\",\"max_connections\":334,\"protocol\":\"h1\",\"tls\":false,{CHUNKS_JSON}}},{{\"name\":\"kirjanpito\",\
         \"origin\":\"{origin}\",\"zone\":\"mikkeli-a\",\"link_mbps\":15.0,\"max_connections\":48}}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\
         \"name\":\"bozi300\",\"api_keys\":[\"jnbanfqasnmgkcuyj8pj\"],\"priority\":1}}]}}"
    )
}
