//! Test support: an entry on loopback with scripted backend servers.

#![allow(clippy::unwrap_used, dead_code, unreachable_pub)]

pub mod changes;
pub mod deployment;

use std::{
    cell::RefCell, collections::VecDeque, net::SocketAddr, rc::Rc, sync::Arc, time::Duration,
};

use http::HeaderName;
use pistachiolug_gateway::{
    capacity::Capacity,
    config::{Config, Engine, Kind, Limits, Parts, Route, Service, Target, Workspace},
    forward,
    metrics::Metrics,
    names::Names,
    placement::Regions,
    pool::Location,
    server::{Model, Record},
    state::{Options, State},
};
use pistachiolug_http::local_server::{self, Limit, UsedConnections};
use pistachiolug_wire::position::Position;
use rustc_hash::FxHashMap;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::{LocalSet, spawn_local},
};

/// Service of all routes.
pub const SERVICE: &str = "desk";

/// Model that the engines hold.
pub const MODEL: &str = "tagliatelle";

/// Position of the servers' rows.
pub const POSITION: Position = Position::without_era(1);

/// Action of a scripted server for one request.
#[derive(Debug, Clone)]
pub enum Action {
    /// Writes these bytes and closes the connection regularly.
    Write(String),
    /// Writes these bytes and resets the connection.
    Reset(String),
    /// Never answers; counts a disconnect of the client.
    Hang,
    /// Writes these bytes, then hangs.
    Stall(String),
    /// Writes these bytes, writes the others after a pause, and closes the connection regularly. Counts a client that
    /// disconnects in the pause.
    Pause(String, Duration, String),
    /// Writes the first bytes once and the others again and again until the client disconnects, which it counts.
    Endless(String, String),
    /// Writes these bytes, and resets the connection after a pause.
    Break(String, Duration),
    /// Writes the first bytes, each piece after a pause, and the end of a chunked body.
    Pieces(String, Vec<String>, Duration),
    /// Writes the first bytes once and the others after each pause until the client disconnects, which it counts.
    Trickle(String, String, Duration),
}

/// Backend server that performs scripted actions, one per request; it hangs after the last one.
#[derive(Debug, Clone)]
pub struct Server {
    pub address: SocketAddr,
    actions: Rc<RefCell<VecDeque<Action>>>,
    /// Whole requests as they arrived.
    pub requests: Rc<RefCell<Vec<String>>>,
    /// Number of clients that disconnected while the server hung.
    pub disconnects: Rc<RefCell<usize>>,
}

impl Server {
    /// Starts a server; needs a local task set.
    pub async fn start(actions: Vec<Action>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = Self {
            address: listener.local_addr().unwrap(),
            actions: Rc::new(RefCell::new(actions.into())),
            requests: Rc::default(),
            disconnects: Rc::default(),
        };
        let serving = server.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serving.clone().serve(stream));
            }
        });
        server
    }

    pub fn arrivals(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Waits until this many clients have disconnected while the server hung or paused.
    pub async fn wait_for_disconnects(&self, count: usize) {
        while *self.disconnects.borrow() < count {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    async fn serve(self, mut stream: TcpStream) {
        let request = read_request(&mut stream).await;
        self.requests.borrow_mut().push(request);
        let action = self.actions.borrow_mut().pop_front();
        match action {
            Some(Action::Write(bytes)) => {
                let _ = stream.write_all(bytes.as_bytes()).await;
                let _ = stream.shutdown().await;
            }
            Some(Action::Reset(bytes)) => {
                let _ = stream.write_all(bytes.as_bytes()).await;
                // The bytes must arrive before the reset discards them.
                tokio::time::sleep(Duration::from_millis(50)).await;
                stream.set_zero_linger().unwrap();
            }
            Some(Action::Stall(bytes)) => {
                let _ = stream.write_all(bytes.as_bytes()).await;
                self.hang(stream).await;
            }
            Some(Action::Pause(before, pause, after)) => {
                let _ = stream.write_all(before.as_bytes()).await;
                let mut rest = [0; 64];
                tokio::select! {
                    _ = stream.read(&mut rest) => *self.disconnects.borrow_mut() += 1,
                    () = tokio::time::sleep(pause) => {
                        let _ = stream.write_all(after.as_bytes()).await;
                        let _ = stream.shutdown().await;
                    }
                }
            }
            Some(Action::Endless(bytes, repeated)) => {
                let _ = stream.write_all(bytes.as_bytes()).await;
                while stream.write_all(repeated.as_bytes()).await.is_ok() {}
                *self.disconnects.borrow_mut() += 1;
            }
            Some(Action::Pieces(bytes, pieces, pause)) => {
                let _ = stream.write_all(bytes.as_bytes()).await;
                for piece in pieces {
                    tokio::time::sleep(pause).await;
                    let _ = stream.write_all(piece.as_bytes()).await;
                }
                let _ = stream.write_all(b"0\r\n\r\n").await;
            }
            Some(Action::Trickle(bytes, repeated, pause)) => {
                let _ = stream.write_all(bytes.as_bytes()).await;
                while stream.write_all(repeated.as_bytes()).await.is_ok() {
                    tokio::time::sleep(pause).await;
                }
                *self.disconnects.borrow_mut() += 1;
            }
            Some(Action::Break(bytes, pause)) => {
                let _ = stream.write_all(bytes.as_bytes()).await;
                tokio::time::sleep(pause).await;
                stream.set_zero_linger().unwrap();
            }
            Some(Action::Hang) | None => self.hang(stream).await,
        }
    }

    async fn hang(&self, mut stream: TcpStream) {
        let mut rest = [0; 64];
        // Both an end and a reset mean that the client has disconnected.
        let _ = stream.read(&mut rest).await;
        *self.disconnects.borrow_mut() += 1;
    }
}

async fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let read = stream.read(&mut buffer).await.unwrap_or(0);
        bytes.extend_from_slice(&buffer[..read]);
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if read == 0 || is_whole(&text) {
            return text;
        }
    }
}

fn is_whole(text: &str) -> bool {
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length")
            .then(|| value.trim().parse::<usize>().unwrap())
    });
    body.len() >= length.unwrap_or(0)
}

/// Entry on loopback.
pub struct Entry {
    pub state: Rc<State>,
    pub address: SocketAddr,
    pub closing: watch::Sender<bool>,
    pub used: UsedConnections,
    port_closing: tokio::sync::oneshot::Sender<()>,
}

impl Entry {
    /// Starts an entry with servers that all belong to the same service.
    pub fn start(parts: Parts, servers: &[&Server]) -> Self {
        Self::start_with(options(), parts, servers)
    }

    /// Starts an entry with the given settings.
    pub fn start_with(options: Options, parts: Parts, servers: &[&Server]) -> Self {
        let state = State::new(options, metrics());
        state.set_config(Config::new(parts));
        for (index, server) in servers.iter().enumerate() {
            let record = record(&format!("i-{index}"), server.address);
            state.with_pool(|pool| pool.put(record, POSITION, Duration::ZERO));
        }
        let listener = local_server::bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap();
        let (closing, closed) = watch::channel(false);
        let serving = Rc::clone(&state);
        let handler = move |request| forward::serve(Rc::clone(&serving), request);
        let used = UsedConnections::default();
        let (port_closing, port_closed) = tokio::sync::oneshot::channel();
        let end = async {
            if port_closed.await.is_err() {
                // The entry serves its connections after the test has dropped this handle.
                std::future::pending::<()>().await;
            }
        };
        let used_connections = used.clone();
        spawn_local(local_server::serve_until(
            end,
            listener,
            || LIMIT,
            closed,
            used_connections,
            handler,
        ));
        Self {
            state,
            address,
            closing,
            used,
            port_closing,
        }
    }

    /// Closes the port, as a stop does some time after `closing`.
    pub fn close_port(self) {
        let _ = self.port_closing.send(());
    }

    /// Sends a request on a new connection and returns all bytes of the answer.
    pub async fn call(&self, request: &str) -> String {
        read_all(self.open(request).await).await
    }

    /// Sends a request and returns the connection without reading from it.
    pub async fn open(&self, request: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.address).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        stream
    }
}

/// Reads until the connection ends, by an error too.
pub async fn read_all(mut stream: TcpStream) -> String {
    let mut bytes = Vec::new();
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

const LIMIT: Limit = Limit {
    head_bytes: 16 << 10,
    head_timeout: Duration::from_secs(10),
};

/// Runs a test on a local task set.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test)
}

pub fn names() -> Names {
    let name = |name| HeaderName::from_static(name);
    Names {
        attempt: name("x-attempt"),
        deadline: name("x-deadline"),
        key: name("x-key"),
        workspace: name("x-workspace"),
        expected_server: name("x-server"),
        expected_version: name("x-version"),
        priority: name("x-priority"),
        model: name("x-model"),
        tokens: name("x-tokens"),
        prefix: name("x-prefix"),
        last_event: name("last-event-id"),
        signature: name("x-signature"),
        not_run: name("x-not-run"),
        draining: name("x-draining"),
        limit: name("x-limit"),
        passed_on: Vec::new(),
    }
}

/// Memory in bytes for what the entry holds for others.
pub const HELD_BYTES: usize = 32 << 20;

pub fn options() -> Options {
    Options {
        name: "entry-1".to_owned(),
        location: location(),
        internal: "127.0.0.1:1".parse().unwrap(),
        names: names(),
        retry_share: 0.2,
        retry_slack: 100.0,
        retry_window: Duration::from_secs(10),
        version_grace: Duration::from_secs(8),
        startup_grace: Duration::from_secs(3),
        cold_bound: None,
        capacity: Capacity {
            held_bytes: HELD_BYTES,
            answer_bytes: HELD_BYTES / 4,
            ..Capacity::default()
        },
    }
}

pub fn metrics() -> Metrics {
    Metrics::register(&prometheus::Registry::new()).unwrap()
}

pub fn location() -> Location {
    let zones = [("north", "inland"), ("south", "inland"), ("coast", "sea")];
    let regions = zones.map(|(zone, region)| (zone.to_owned(), region.to_owned()));
    Location {
        zone: Arc::from("north"),
        regions: FxHashMap::from_iter(regions),
    }
}

pub fn record(id: &str, address: SocketAddr) -> Record {
    Record {
        id: Arc::from(id),
        service: Arc::from(SERVICE),
        address,
        zone: Arc::from("north"),
        slots: 8,
        leaving: false,
        models: vec![Model {
            name: Arc::from(MODEL),
            version: 1,
        }],
        started_ms: 1,
        writes: 1,
        cold_for: None,
    }
}

pub fn engine() -> Engine {
    Engine {
        slots: 8,
        prompt_tokens_per_ms: 30.0,
        step_ms: 8.0,
        step_ms_per_call: 0.04,
        stride: 6.0,
        models: Vec::new(),
    }
}

pub fn route(kind: Kind, attempts: u32) -> Route {
    Route {
        name: Arc::from("r"),
        host: "desk.example".to_owned(),
        prefix: "/book/".to_owned(),
        kind,
        timeout: Duration::from_secs(4),
        target_latency: Duration::from_millis(400),
        target_gap: Duration::from_millis(300),
        attempts,
        priority: 1,
        targets: vec![Target {
            service: Arc::from(SERVICE),
            weight: 1,
        }],
        anonymous: false,
        resumable: kind == Kind::Stream,
        regions: Regions::default(),
        shares_prompts: false,
    }
}

/// Returns a configuration of one route; the key of its workspace is `key-1`.
pub fn parts(route: Route) -> Parts {
    let engine = (route.kind == Kind::Stream).then(engine);
    let workspace = Workspace {
        name: Arc::from("delis"),
        priority: None,
        regions: Regions::default(),
    };
    Parts {
        version: 1,
        routes: vec![route],
        services: vec![Service {
            cold: None,
            name: Arc::from(SERVICE),
            engine,
        }],
        workspaces: Some(vec![(workspace, vec!["key-1".to_owned()])]),
        limits: Limits::default(),
        origin: None,
    }
}

/// Returns a request that closes its connection afterwards.
pub fn request(id: &str) -> String {
    format!(
        "POST /book/1?day=2 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt: {id}\r\nX-Deadline: 3000\r\n\
         X-Key: key-1\r\nX-Model: {MODEL}\r\nX-Tokens: 900,80\r\nConnection: close\r\nContent-Length: 5\r\n\r\nplate"
    )
}

/// Returns a server's signed answer to the request with an id.
pub fn answer(id: &str, status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nX-Attempt: {id}\r\nX-Signature: s1\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the signed head of a server's stream.
pub fn stream_head(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Attempt: {id}\r\nX-Signature: s1\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n"
    )
}

/// Returns the signed head of a server's stream that has neither a length nor chunks.
pub fn unframed_head(id: &str) -> String {
    stream_head(id).replace("Transfer-Encoding: chunked\r\n", "")
}

/// Returns text as one chunk of the chunked encoding.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
