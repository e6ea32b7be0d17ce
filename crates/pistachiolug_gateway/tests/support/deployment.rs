//! Whole entries over a store in memory, and backend servers that a request can crash.

use std::{
    cell::{Cell, RefCell},
    net::{IpAddr, Ipv4Addr, SocketAddr},
    rc::Rc,
    sync::Arc,
    thread,
    time::Duration,
};

use pistachiolug_gateway::{
    config::Kind,
    decoder::{Decoder, Row, Subject},
    process::{self, Addresses},
    state::Options,
};
use pistachiolug_http::local_server;
use pistachiolug_platform::kv::{
    self, Store,
    memory::{Faults, Memory},
};
use pistachiolug_wire::{
    codec,
    datagram::{Culprit, Suspect},
    digest::Digest,
};
use rand::RngExt;
use rustc_hash::FxHashMap;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Notify, mpsc, oneshot},
    task::{JoinSet, spawn_local, yield_now},
    time::{Instant, sleep, timeout},
};

use super::{
    MODEL, answer, chunk, options, parts, read_request, record, request, route, stream_head,
};

/// Body of a request that crashes each server that runs it.
pub const CRASHING_BODY: &str = "crash";

/// Body of a request whose answer each server loses; the server goes on.
pub const LOSING_BODY: &str = "lossy";

/// Body of a request that each server runs and answers with a failure.
pub const FAILING_BODY: &str = "fails";

/// Body of a sound request that takes a while.
pub const SLOW_BODY: &str = "slow!";

/// Body of a stream whose server pauses after the first event and goes on.
pub const PAUSING_BODY: &str = "pause";

/// Time for which a server pauses; longer than an entry waits before it takes a server for silent.
pub const PAUSE_TIME: Duration = Duration::from_millis(1500);
/// Part of a prompt that crashes each server that begins to answer a request which shares it.
pub const CRASHING_PART: &str = "bad0bad0";

/// Time that a slow request takes.
const SLOW_TIME: Duration = Duration::from_millis(150);

/// Time between the first event of a stream and the crash of its server.
const EVENT_TIME: Duration = Duration::from_millis(20);

/// Time that a crashed server takes until it is back under a new id.
const DOWN_TIME: Duration = Duration::from_millis(300);

/// Time for which the store is unavailable before its return.
const AWAY_TIME: Duration = Duration::from_millis(400);

/// Duration of the store's calls after its return.
const STORE_LATENCY: Duration = Duration::from_millis(4);

/// Longest wait until a change in the store is in force at all entries.
const MAX_SPREAD: Duration = Duration::from_secs(20);

/// Interval of checks for a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Longest wait until all entries are ready.
const MAX_START: Duration = Duration::from_secs(30);

const CONFIG_KEY: &str = "config";
const SERVER_PREFIX: &str = "servers/";
const ENTRY_PREFIX: &str = "entries/";
const SUSPECT_PREFIX: &str = "suspects/";
const CULPRIT_PREFIX: &str = "culprits/";
const EVACUATION_PREFIX: &str = "evacuate/";
const TARGET_KEY: &str = "target";

/// Returns the API key that is valid in one version of the configuration only; `key-1` is valid in all.
fn version_key(version: u64) -> String {
    format!("key-{version}")
}

/// Format of the rows: the version of the configuration, which has one route, and servers as `ADDRESS STARTED_MS`.
#[derive(Debug, Clone, Copy)]
struct Format {
    kind: Kind,
    attempts: u32,
}

impl Decoder for Format {
    fn decode(&self, key: &str, value: &[u8]) -> Row {
        if key.starts_with(SUSPECT_PREFIX) {
            return Row::Suspect(codec::decode(value).unwrap());
        }
        if key.starts_with(CULPRIT_PREFIX) {
            return Row::Culprit(codec::decode(value).unwrap());
        }
        let text = std::str::from_utf8(value).unwrap();
        match self.subject(key) {
            Subject::Server(id) => {
                let (address, started_ms) = text.split_once(' ').unwrap();
                let mut record = record(&id, address.parse().unwrap());
                record.started_ms = started_ms.parse().unwrap();
                Row::Server(record)
            }
            Subject::Entry(name) => Row::Entry {
                name,
                address: text.parse().unwrap(),
            },
            Subject::Other if key == CONFIG_KEY => {
                let mut parts = parts(route(self.kind, self.attempts));
                parts.version = text.parse().unwrap();
                let keys = parts.workspaces.as_mut().unwrap();
                keys[0].1.push(version_key(parts.version));
                Row::Config(parts)
            }
            Subject::Other if key == TARGET_KEY => Row::Version {
                model: MODEL.to_owned(),
                version: text.parse().unwrap(),
            },
            Subject::Evacuation(zone) => Row::Evacuation { zone },
            Subject::Culprit(_) | Subject::Other => Row::Other,
        }
    }

    fn subject(&self, key: &str) -> Subject {
        subject(key)
    }

    fn entry_row(&self, name: &str, address: SocketAddr) -> (String, Vec<u8>) {
        (
            format!("{ENTRY_PREFIX}{name}"),
            address.to_string().into_bytes(),
        )
    }

    fn suspect_row(&self, suspect: &Suspect) -> (String, Vec<u8>) {
        let content = Digest::from(suspect.content);
        (
            format!("{SUSPECT_PREFIX}{content}"),
            codec::encode(suspect).to_vec(),
        )
    }

    fn culprit_row(&self, culprit: &Culprit) -> (String, Vec<u8>) {
        (
            format!("{CULPRIT_PREFIX}{:016x}", culprit.part),
            codec::encode(culprit).to_vec(),
        )
    }
}

/// Returns the subject that a key names.
pub fn subject(key: &str) -> Subject {
    if let Some(id) = key.strip_prefix(SERVER_PREFIX) {
        return Subject::Server(id.to_owned());
    }
    if let Some(zone) = key.strip_prefix(EVACUATION_PREFIX) {
        return Subject::Evacuation(zone.to_owned());
    }
    if let Some(part) = key.strip_prefix(CULPRIT_PREFIX) {
        return Subject::Culprit(u64::from_str_radix(part, 16).unwrap());
    }
    match key.strip_prefix(ENTRY_PREFIX) {
        Some(name) => Subject::Entry(name.to_owned()),
        None => Subject::Other,
    }
}

/// Entry process; it runs on a thread of its own and is killed on drop.
struct Process {
    front: SocketAddr,
    ready: SocketAddr,
    internal: SocketAddr,
    stop: Option<oneshot::Sender<()>>,
    freezes: mpsc::UnboundedSender<Duration>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Process {
    fn start(options: Options, addresses: Addresses, store: Memory, format: Format) -> Self {
        let (stop, stopped) = oneshot::channel();
        let (freezes, mut frozen) = mpsc::unbounded_channel();
        let thread = thread::spawn(move || {
            super::run(async move {
                spawn_local(async move {
                    while let Some(duration) = frozen.recv().await {
                        thread::sleep(duration);
                    }
                });
                let entry = process::run(options, addresses, store, format, Duration::ZERO);
                tokio::select! {
                    result = entry => eprintln!("entry ended: {result:?}"),
                    _ = stopped => {}
                }
            });
        });
        Self {
            front: addresses.front,
            ready: addresses.ready,
            internal: addresses.internal,
            stop: Some(stop),
            freezes,
            thread: Some(thread),
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.stop.take());
        let _ = self.thread.take().unwrap().join();
    }
}

/// Entries and servers on loopback addresses of their own.
pub struct Deployment {
    store: Memory,
    format: Format,
    /// Settings of all entries but for names and addresses.
    options: Options,
    network: Ipv4Addr,
    entries: Vec<Process>,
    /// State of the store before the entries started.
    first_copy: kv::state::State,
    servers: Rc<Servers>,
}

/// What the servers of a deployment have seen, and how they are crashed.
#[derive(Default)]
struct Servers {
    /// Servers by index, and bodies of the requests that arrived at them.
    arrivals: RefCell<Vec<Arrival>>,
    /// Number of the requests with the crashing part that arrived.
    part_arrivals: Cell<usize>,
    /// Number of servers that have crashed.
    crashes: Cell<usize>,
    /// Crashes the running incarnation of a server, by its index.
    triggers: RefCell<FxHashMap<u8, Arc<Notify>>>,
    /// Answers that servers give to all requests, by their index.
    fixed_answers: RefCell<FxHashMap<u8, FixedAnswer>>,
    /// Requests that servers gave their fixed answers, in the order of their arrival.
    fixed_answer_log: RefCell<Vec<Answered>>,
}

/// Status and further header lines of an answer.
#[derive(Clone, Copy)]
struct FixedAnswer {
    status: &'static str,
    headers: &'static str,
}

/// Request that a server gave its fixed answer.
#[derive(Debug, Clone)]
pub struct Answered {
    /// Index of the server.
    pub server: u8,
    /// Id of the attempt.
    pub attempt: String,
    /// When it was answered.
    pub at: Instant,
}

type Arrival = (u8, String);

impl Deployment {
    /// Starts entries and servers of one service, and waits until the entries are ready; needs a local task set.
    pub async fn start(kind: Kind, attempts: u32, entries: u8, servers: u8) -> Self {
        Self::start_with(options(), kind, attempts, entries, servers).await
    }

    /// Does the same with the given settings of the entries.
    pub async fn start_with(
        options: Options,
        kind: Kind,
        attempts: u32,
        entries: u8,
        servers: u8,
    ) -> Self {
        let mut random = rand::rng();
        let network = Ipv4Addr::new(
            127,
            random.random_range(1..250),
            random.random_range(1..250),
            0,
        );
        let mut deployment = Self {
            store: Memory::new(1),
            format: Format { kind, attempts },
            options,
            network,
            entries: Vec::new(),
            first_copy: kv::state::State::default(),
            servers: Rc::default(),
        };
        deployment.configure(1);
        for index in 0..servers {
            deployment.start_server(index);
        }
        while deployment.count_rows(SERVER_PREFIX).await < servers.into() {
            yield_now().await;
        }
        deployment.first_copy = deployment.store.copy();
        deployment.start_entries(entries).await;
        deployment
    }

    /// Starts a server with a new index, which registers itself in the store.
    pub fn start_server(&self, index: u8) {
        let [address] = self.free_addresses(100 + index);
        let seen = Rc::clone(&self.servers);
        let store = self.store.clone();
        spawn_local(serve_incarnations(index, address, store, seen));
    }

    /// Removes the row of a server's first incarnation, which goes on serving.
    pub fn unregister_server(&self, index: u8) {
        self.store.delete(&format!("{SERVER_PREFIX}i-{index}-1"));
    }

    /// Writes a version of the configuration and returns the revision of the write.
    pub fn configure(&self, version: u64) -> u64 {
        self.store.put(CONFIG_KEY, version.to_string().as_bytes())
    }

    /// Sets the target version of the model; all servers keep the first version.
    pub fn set_target(&self, version: u64) {
        self.store.put(TARGET_KEY, version.to_string().as_bytes());
    }

    /// Stops all work of an entry for a time; what arrives meanwhile waits in its sockets.
    pub fn freeze_entry(&self, entry: usize, duration: Duration) {
        self.entries[entry].freezes.send(duration).unwrap();
    }

    /// Writes rows that entries don't use until the store has a revision.
    pub fn advance_store(&self, revision: u64) {
        while self.store.put("unused", b"") < revision {}
    }

    /// Makes the store unavailable and replaces its content by that before the entries started.
    pub fn lose_store(&self) {
        self.store.set_faults(Faults {
            unavailable: 1.0,
            ..Faults::default()
        });
        self.store.restore(self.first_copy.clone());
    }

    /// Makes the store available again.
    pub async fn recover_store(&self) {
        sleep(AWAY_TIME).await;
        self.store.set_faults(Faults {
            latency: STORE_LATENCY,
            ..Faults::default()
        });
    }

    /// Returns whether all entries accept the key of a version of the configuration now.
    pub async fn has_version_in_force(&self, version: u64) -> bool {
        for entry in 0..self.entries.len() {
            let request = request("v").replace("key-1", &version_key(version));
            let response = self.call(entry, &request).await;
            if !response.starts_with("HTTP/1.1 200") {
                return false;
            }
        }
        true
    }

    /// Waits until all entries accept the key of a version of the configuration; returns `false` if some never do.
    pub async fn wait_for_version(&self, version: u64) -> bool {
        let wait = async {
            while !self.has_version_in_force(version).await {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(MAX_SPREAD, wait).await.is_ok()
    }

    /// Waits until the store has rows of all entries; returns `false` if it never does.
    pub async fn wait_for_entry_rows(&self) -> bool {
        self.wait_for_rows(ENTRY_PREFIX, self.entries.len()).await
    }

    async fn wait_for_rows(&self, prefix: &str, count: usize) -> bool {
        let wait = async {
            while self.count_rows(prefix).await < count {
                sleep(POLL_INTERVAL).await;
            }
        };
        timeout(MAX_SPREAD, wait).await.is_ok()
    }

    /// Returns the number of conditional writes and calls for leases that entries have made.
    pub fn count_writes(&self) -> u64 {
        self.store.counts().writes
    }

    async fn count_rows(&self, prefix: &str) -> usize {
        let range = self.store.range(prefix).await;
        range.map_or(0, |range| range.entries.len())
    }

    /// Kills all entries at once and starts them anew at other addresses.
    pub async fn restart_entries(&mut self) {
        let count = self.entries.len() as u8;
        self.entries.clear();
        self.start_entries(count).await;
    }

    /// Waits until the store has the row of a suspect; returns `false` if it never does.
    pub async fn wait_for_suspect_row(&self) -> bool {
        self.wait_for_rows(SUSPECT_PREFIX, 1).await
    }

    /// Waits until the store has the row of a part; returns `false` if it never does.
    pub async fn wait_for_culprit_row(&self) -> bool {
        self.wait_for_rows(CULPRIT_PREFIX, 1).await
    }

    /// Removes the rows of parts from the store.
    pub async fn delete_culprit_rows(&self) {
        for entry in self.store.range(CULPRIT_PREFIX).await.unwrap().entries {
            self.store.delete(&entry.key);
        }
    }

    async fn start_entries(&mut self, count: u8) {
        for index in 0..count {
            let [front, ready, internal] = self.free_addresses(index + 1);
            let addresses = Addresses {
                front,
                ready,
                internal,
            };
            let options = Options {
                name: format!("entry-{index}"),
                internal: addresses.internal,
                ..self.options.clone()
            };
            let process = Process::start(options, addresses, self.store.clone(), self.format);
            self.entries.push(process);
        }
        for entry in &self.entries {
            timeout(MAX_START, wait_until_ready(entry.ready))
                .await
                .unwrap();
        }
        // The hook of the entries' kernel would hide the message of a failed assertion.
        drop(std::panic::take_hook());
    }

    /// Returns free addresses of a host, all different.
    fn free_addresses<const COUNT: usize>(&self, host: u8) -> [SocketAddr; COUNT] {
        let [a, b, c, _] = self.network.octets();
        let ip = IpAddr::from(Ipv4Addr::new(a, b, c, host));
        // All are open at once: a port that is free again may be handed out twice.
        let listeners = [(); COUNT].map(|()| std::net::TcpListener::bind((ip, 0)).unwrap());
        listeners.map(|listener| listener.local_addr().unwrap())
    }

    /// Sends a request to one entry and returns all bytes of the answer.
    pub async fn call(&self, entry: usize, request: &str) -> String {
        let entry = &self.entries[entry % self.entries.len()];
        exchange(entry.front, request).await
    }

    /// Sends a request to the internal port of one entry and returns all bytes of the answer.
    pub async fn call_internal(&self, entry: usize, request: &str) -> String {
        let entry = &self.entries[entry % self.entries.len()];
        exchange(entry.internal, request).await
    }

    /// Returns the number of requests with a body that arrived at servers.
    pub fn arrivals(&self, body: &str) -> usize {
        let arrivals = self.servers.arrivals.borrow();
        arrivals
            .iter()
            .filter(|(_, arrived)| arrived == body)
            .count()
    }

    /// Returns the number of requests that arrived at a server.
    pub fn arrivals_at(&self, server: u8) -> usize {
        let arrivals = self.servers.arrivals.borrow();
        arrivals
            .iter()
            .filter(|(index, _)| *index == server)
            .count()
    }

    /// Lets a server answer all requests with a status and header lines, and run none.
    pub fn fix_answer(&self, server: u8, status: &'static str, headers: &'static str) {
        let mut answers = self.servers.fixed_answers.borrow_mut();
        answers.insert(server, FixedAnswer { status, headers });
    }

    /// Returns the requests that servers gave their fixed answers.
    pub fn fixed_answers(&self) -> Vec<Answered> {
        self.servers.fixed_answer_log.borrow().clone()
    }

    /// Writes the row of a server's first incarnation again, which says that it is ready.
    pub async fn write_server_row(&self, index: u8) {
        let key = format!("{SERVER_PREFIX}i-{index}-1");
        let entries = self.store.range(&key).await.unwrap().entries;
        self.store.put(&key, &entries[0].value);
    }

    /// Returns the number of requests with the crashing part that arrived at servers.
    pub fn part_arrivals(&self) -> usize {
        self.servers.part_arrivals.get()
    }

    /// Returns the number of servers that have crashed.
    pub fn crashes(&self) -> usize {
        self.servers.crashes.get()
    }

    /// Crashes a server with everything that it runs.
    pub fn crash_server(&self, index: u8) {
        if let Some(trigger) = self.servers.triggers.borrow().get(&index) {
            trigger.notify_one();
        }
    }
}

async fn exchange(address: SocketAddr, request: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return String::new();
    };
    let mut answer = Vec::new();
    if stream.write_all(request.as_bytes()).await.is_ok() {
        let _ = stream.read_to_end(&mut answer).await;
    }
    String::from_utf8_lossy(&answer).into_owned()
}

async fn wait_until_ready(address: SocketAddr) {
    let request = "GET / HTTP/1.1\r\nHost: entry\r\nConnection: close\r\n\r\n";
    while !exchange(address, request).await.starts_with("HTTP/1.1 200") {
        sleep(Duration::from_millis(10)).await;
    }
}

/// Runs one incarnation of a server after the other at the same address; each ends when a request crashes it.
async fn serve_incarnations(index: u8, address: SocketAddr, store: Memory, seen: Rc<Servers>) {
    for start in 1.. {
        let listener = local_server::bind(address).unwrap();
        let key = format!("{SERVER_PREFIX}i-{index}-{start}");
        store.put(&key, format!("{address} {start}").as_bytes());
        let crash = Arc::new(Notify::new());
        seen.triggers.borrow_mut().insert(index, Arc::clone(&crash));
        serve_until_crash(index, listener, crash, &seen).await;
        seen.crashes.set(seen.crashes.get() + 1);
        sleep(DOWN_TIME).await;
        store.delete(&key);
    }
}

async fn serve_until_crash(
    index: u8,
    listener: TcpListener,
    crash: Arc<Notify>,
    seen: &Rc<Servers>,
) {
    // Dropping the set closes all connections.
    let mut connections = JoinSet::new();
    loop {
        let stream = tokio::select! {
            accepted = listener.accept() => accepted.unwrap().0,
            () = crash.notified() => return,
        };
        let (crash, seen) = (Arc::clone(&crash), Rc::clone(seen));
        connections.spawn_local(serve(index, stream, crash, seen));
    }
}

async fn serve(index: u8, mut stream: TcpStream, crash: Arc<Notify>, seen: Rc<Servers>) {
    let request = read_request(&mut stream).await;
    let Some((head, body)) = request.split_once("\r\n\r\n") else {
        return;
    };
    seen.arrivals.borrow_mut().push((index, body.to_owned()));
    let fixed_answer = seen.fixed_answers.borrow().get(&index).copied();
    if let Some(FixedAnswer { status, headers }) = fixed_answer {
        let attempt = find_attempt(head).to_owned();
        let response = answer(&attempt, status, "ravioli");
        let response = response.replacen("\r\n", &format!("\r\n{headers}"), 1);
        seen.fixed_answer_log.borrow_mut().push(Answered {
            server: index,
            attempt,
            at: Instant::now(),
        });
        let _ = stream.write_all(response.as_bytes()).await;
        let _ = stream.shutdown().await;
        return;
    }
    let has_crashing_part = shared_parts(head).any(|part| part == CRASHING_PART);
    if has_crashing_part {
        seen.part_arrivals.set(seen.part_arrivals.get() + 1);
    }
    if body == CRASHING_BODY || has_crashing_part {
        if head.contains("x-priority") {
            let id = find_attempt(head);
            let begun = stream_head(id) + &chunk("id: 1\ndata: rav\n\n");
            let _ = stream.write_all(begun.as_bytes()).await;
            sleep(EVENT_TIME).await;
        }
        crash.notify_one();
        // The crash drops this task.
        return std::future::pending().await;
    }
    match body {
        LOSING_BODY => return,
        SLOW_BODY => sleep(SLOW_TIME).await,
        _ => {}
    }
    let id = find_attempt(head);
    if body == PAUSING_BODY {
        let begun = stream_head(id) + &chunk("id: 1\ndata: rav\n\n");
        let _ = stream.write_all(begun.as_bytes()).await;
        sleep(PAUSE_TIME).await;
        let rest = chunk("id: 2\ndata: ioli\n\n") + "0\r\n\r\n";
        let _ = stream.write_all(rest.as_bytes()).await;
        return;
    }
    let response = if head.contains("x-priority") {
        stream_head(id) + &chunk("id: 1\ndata: ravioli\n\n") + "0\r\n\r\n"
    } else {
        let status = if body == FAILING_BODY {
            "500 Failed"
        } else {
            "200 OK"
        };
        answer(id, status, "ravioli")
    };
    let _ = stream.write_all(response.as_bytes()).await;
    let _ = stream.shutdown().await;
}

fn find_attempt(head: &str) -> &str {
    find_header(head, "x-attempt")
}

fn find_header<'a>(head: &'a str, name: &str) -> &'a str {
    let mut headers = head.lines().filter_map(|line| line.split_once(": "));
    let header = headers.find(|(header, _)| *header == name);
    header.map_or("", |(_, value)| value)
}

/// Returns the ids of the parts of a prompt but the last.
fn shared_parts(head: &str) -> impl Iterator<Item = &str> {
    let parts = find_header(head, "x-prefix");
    let shared = parts.rsplit_once(',').map_or("", |(shared, _)| shared);
    shared.split(',').filter_map(|part| part.split(':').next())
}
