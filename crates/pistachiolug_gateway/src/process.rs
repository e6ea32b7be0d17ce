//! Start and stop of an entry process.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode, Uri, header};
use http_body_util::Full;
use hyper::body::Incoming;
use pistachiolug_http::{
    client::Client,
    connections::Connections,
    local_server::{self, Limit, UsedConnections},
};
use pistachiolug_kernel::{
    kernel::Kernel,
    phase::Phase,
    process::{Error, KernelSnafu, ListenSnafu, MetricSnafu},
    suspension,
};
use pistachiolug_platform::kv::{
    Entry, Position, Precondition, Store, Swap, held_lease::HeldLease,
};
use pistachiolug_replica::{follow, snapshot};
use pistachiolug_wire::{codec, datagram::Suspect, digest::Digest, weights};
use rand::RngExt;
use snafu::ResultExt;
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::watch,
    task::{JoinHandle, spawn_local},
    time::{Instant, sleep},
};

use crate::{
    config::Limits,
    connection_limits::{self, Port},
    decoder::{Decoder, Row},
    explain::{self, Refusal},
    forward,
    gossip::{self, BEACON_INTERVAL, ROWS_PATH},
    limit_gossip,
    metrics::Metrics,
    prober,
    state::{Options, SUSPECT_RETENTION, State, hex},
    stop::{self, Stage},
    updater::Updater,
};

/// Part of the time allowed for a stop that is left for the end of the process itself.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Longest wait of one watch, and so the longest time until a lost watch is noticed. With the time for its answer, it
/// is shorter than the seconds within which a change must be in force.
const MAX_WATCH_WAIT: Duration = Duration::from_millis(1200);

/// Interval at which an entry checks that its own row is registered.
const REGISTER_INTERVAL: Duration = Duration::from_secs(2);

/// Interval at which suspects are written to the key-value service; bounds the rate of the writes.
const SAVE_INTERVAL: Duration = Duration::from_millis(200);

/// Largest number of idle connections that are kept to the key-value service and to each other entry.
const MAX_IDLE_CONNECTIONS: usize = 2;

/// Memory in bytes of the rows that are read from other entries at once, beyond the first 16 KiB of each answer.
const MAX_ROWS_MEMORY: usize = 16 << 20;

/// Addresses on which an entry listens.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// Address for callers.
    pub front: SocketAddr,
    /// Address for the load balancer's health checks.
    pub ready: SocketAddr,
    /// Address for other entries (TCP and UDP), agents, metrics and the state dump.
    pub internal: SocketAddr,
}

/// Runs an entry until it receives a stop signal; must run in a local task set.
///
/// # Arguments
/// `grace` is the time allowed for a stop.
///
/// # Errors
/// [`Error`] if the entry can't start or fails.
pub async fn run<S: Store, D: Decoder + Clone + 'static>(
    options: Options,
    addresses: Addresses,
    store: S,
    decoder: D,
    grace: Duration,
) -> Result<(), Error> {
    let kernel = Kernel::start(&options.name);
    let metrics = Metrics::register(&kernel.metrics).context(MetricSnafu)?;
    let state = State::new(options, metrics);
    let (closing, closed) = watch::channel(false);
    let (port_closing, port_closed) = watch::channel(false);
    let capacity = state.options.capacity;
    let receive_bytes = capacity.receive_bytes;
    let front_port = Port::new("front", capacity.front_connections, receive_bytes);
    let internal_port = Port::new("internal", capacity.internal_connections, receive_bytes);
    let ready_port = Port::new("ready", capacity.ready_connections, receive_bytes);
    let front = listen(addresses.front)?;
    let ready = listen(addresses.ready)?;
    let internal = listen(addresses.internal)?;
    let socket = UdpSocket::bind(addresses.internal).await;
    let socket = Rc::new(socket.context(ListenSnafu {
        address: addresses.internal,
    })?);
    let updater = Updater::new(Rc::clone(&state), Rc::clone(&socket), decoder.clone());
    let client = Client::new(MAX_IDLE_CONNECTIONS).with_memory(MAX_ROWS_MEMORY);
    let ticks = kernel.timer.subscribe(BEACON_INTERVAL, Duration::ZERO);
    spawn_local(follow::run(
        store.clone(),
        "",
        choose_watch_wait,
        updater.clone(),
    ));
    spawn_local(gossip::receive_datagrams(
        Rc::clone(&state),
        updater.clone(),
        Rc::clone(&socket),
    ));
    spawn_local(limit_gossip::send_demands_and_grants(
        Rc::clone(&state),
        Rc::clone(&socket),
    ));
    spawn_local(gossip::send_beacons(
        Rc::clone(&state),
        updater,
        socket,
        client,
        ticks,
    ));
    let ticks = kernel.timer.subscribe(BEACON_INTERVAL, Duration::ZERO);
    let suspended = Rc::clone(&state);
    let handle = move || suspended.move_deadlines();
    spawn_local(suspension::watch(state.clock(), ticks, handle));
    let ticks = kernel
        .timer
        .subscribe(REGISTER_INTERVAL, REGISTER_INTERVAL / 4);
    spawn_local(register(
        Rc::clone(&state),
        store.clone(),
        decoder.clone(),
        ticks,
    ));
    let ticks = kernel.timer.subscribe(SAVE_INTERVAL, SAVE_INTERVAL / 4);
    spawn_local(save_suspects(Rc::clone(&state), store, decoder, ticks));
    spawn_local(prober::run(Rc::clone(&state)));
    spawn_local(serve_ready(
        Rc::clone(&state),
        kernel.clone(),
        ready,
        ready_port.connections.clone(),
    ));
    spawn_local(serve_internal(
        Rc::clone(&state),
        kernel.clone(),
        internal,
        internal_port.connections.clone(),
    ));
    let used = UsedConnections::new(front_port.connections.clone());
    let ticks = kernel
        .timer
        .subscribe(connection_limits::CHECK_INTERVAL, Duration::ZERO);
    spawn_local(connection_limits::watch(
        Rc::clone(&state),
        [front_port, internal_port, ready_port],
        ticks,
    ));
    let front = serve_front(Rc::clone(&state), front, closed, port_closed, used.clone());
    let front = spawn_local(front);
    let has_config = wait_for_config(Rc::clone(&state));
    let drain = grace.saturating_sub(STOP_MARGIN);
    let stop = Stop {
        state,
        closing,
        port_closing,
        front,
        used,
        drain,
        started_at: Cell::new(None),
    };
    kernel
        .run_after(has_config, drain, || stop.is_done())
        .await
        .context(KernelSnafu)
}

/// Returns a random wait of one watch. The last answer that an entry has bounds the age of the next change; as the watches
/// of entries end at different times, one of them has a recent answer.
fn choose_watch_wait() -> Duration {
    rand::rng().random_range(MAX_WATCH_WAIT / 2..MAX_WATCH_WAIT)
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    local_server::bind(address).context(ListenSnafu { address })
}

async fn wait_for_config(state: Rc<State>) {
    /// Interval at which the entry checks whether it has a configuration; short compared with the second between two
    /// health checks of the load balancer.
    const POLL_INTERVAL: Duration = Duration::from_millis(50);
    while state.config().is_none() {
        sleep(POLL_INTERVAL).await;
    }
}

/// Progress of an entry's stop, which advances at each call of [`Stop::is_done`].
struct Stop {
    state: Rc<State>,
    closing: watch::Sender<bool>,
    /// Whether no more connections of callers are accepted than wait already.
    port_closing: watch::Sender<bool>,
    /// Task that accepts connections of callers.
    front: JoinHandle<()>,
    /// Connections of callers.
    used: UsedConnections,
    /// Longest time until the process ends after it was told to stop.
    drain: Duration,
    started_at: Cell<Option<Instant>>,
}

impl Stop {
    /// Returns whether a draining process may end; the first call starts the stop.
    fn is_done(&self) -> bool {
        let started_at = self.started_at.get().unwrap_or_else(|| {
            self.closing.send_replace(true);
            self.state.begin_stop(self.state.now() + self.drain);
            Instant::now()
        });
        self.started_at.set(Some(started_at));
        // The answer to a request may still have to be written after the request has ended.
        let open = self.state.count_open_requests() + self.used.count();
        let stage = stop::stage(started_at.elapsed(), open);
        if stage != Stage::Accepting {
            self.port_closing.send_replace(true);
        }
        stage == Stage::Done && self.front.is_finished()
    }
}

async fn serve_front(
    state: Rc<State>,
    listener: TcpListener,
    closing: watch::Receiver<bool>,
    mut port_closing: watch::Receiver<bool>,
    used: UsedConnections,
) {
    let limits = {
        let state = Rc::clone(&state);
        move || {
            let limits = state.config().map(|config| config.limits());
            connection_limit(limits.unwrap_or_default())
        }
    };
    let handler = move |request| forward::serve(Rc::clone(&state), request);
    let end = async {
        // An error means that nobody waits for the end any more.
        let _ = port_closing.wait_for(|port_closing| *port_closing).await;
    };
    local_server::serve_until(end, listener, limits, closing, used, handler).await;
}

fn connection_limit(limits: Limits) -> Limit {
    Limit {
        head_bytes: limits.head_bytes,
        head_timeout: limits.idle_timeout + limits.head_timeout,
    }
}

async fn serve_ready(
    state: Rc<State>,
    kernel: Kernel,
    listener: TcpListener,
    connections: Connections,
) {
    let handler = move |_: Request<Incoming>| {
        let ready = kernel.control().phase() == Phase::Running && state.config().is_some();
        std::future::ready(empty_response(if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }))
    };
    let limit = connection_limit(Limits::default());
    local_server::serve_bounded(listener, limit, connections, handler).await;
}

async fn serve_internal(
    state: Rc<State>,
    kernel: Kernel,
    listener: TcpListener,
    connections: Connections,
) {
    let dump = Rc::clone(&state);
    let handler = move |request: Request<Incoming>| {
        let response = match request.uri().path() {
            ROWS_PATH => match state
                .with_rows(|rows| snapshot::encode(rows, requested_position(request.uri())))
            {
                Ok(rows) => response_with_body("application/octet-stream", rows),
                Err(error) => {
                    log::warn!(error:%; "encoding the rows failed");
                    empty_response(StatusCode::INTERNAL_SERVER_ERROR)
                }
            },
            "/debug/state" => {
                response_with_body("application/json", dump.dump().to_string().into_bytes())
            }
            explain::PATH => serve_explanation(&state, request.uri()),
            path if path.starts_with(&weights::path("")) => serve_weights(&state, path),
            path => match kernel.admin().serve(path) {
                Some(reply) => local_server::convert_reply(reply),
                None => empty_response(StatusCode::NOT_FOUND),
            },
        };
        std::future::ready(response)
    };
    let limit = connection_limit(Limits::default());
    local_server::serve_bounded(listener, limit, connections, handler).await;
}

/// Returns the position after which a peer asks for changes; the default asks for all rows.
fn requested_position(uri: &Uri) -> Position {
    let fields = || uri.query().unwrap_or_default().split('&');
    let number = |name| {
        let field = fields().find_map(|field| field.strip_prefix(name));
        field.and_then(|number| number.parse().ok())
    };
    match (number("era="), number("after=")) {
        (Some(era), Some(revision)) => Position::new(era, revision),
        _ => Position::default(),
    }
}

fn serve_weights(state: &State, path: &str) -> Response<Full<Bytes>> {
    let service = path.strip_prefix(&weights::path("")).unwrap_or_default();
    match state.weights_view(service) {
        Some(view) => response_with_body("application/octet-stream", codec::encode(&view).into()),
        None => empty_response(StatusCode::NOT_FOUND),
    }
}

fn serve_explanation(state: &Rc<State>, uri: &Uri) -> Response<Full<Bytes>> {
    match explain::report(state, uri.query().unwrap_or_default()) {
        Ok(report) => response_with_body("application/json", report.to_string().into_bytes()),
        Err(refusal) => {
            let mut response = response_with_body("text/plain", refusal.as_str().into());
            *response.status_mut() = match refusal {
                Refusal::Starting => StatusCode::SERVICE_UNAVAILABLE,
                Refusal::NoRoute | Refusal::NoWorkspace | Refusal::NoService => {
                    StatusCode::NOT_FOUND
                }
                Refusal::Malformed => StatusCode::BAD_REQUEST,
            };
            response
        }
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn response_with_body(content_type: &'static str, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    let value = http::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Keeps the entry registered by a row of its own, so that other entries find it.
async fn register<S: Store, D: Decoder>(
    state: Rc<State>,
    store: S,
    decoder: D,
    mut ticks: pistachiolug_kernel::timer::Ticks,
) {
    let options = &state.options;
    let (key, value) = decoder.entry_row(&options.name, options.internal);
    loop {
        let (has_rows, row) = state.with_rows(|rows| {
            let row = rows.entries().find(|row| row.key == key).cloned();
            (rows.is_read(), row)
        });
        let is_current = row.as_ref().is_some_and(|row| *row.value == *value);
        if has_rows && !is_current {
            let expect = row.map_or(Precondition::Absent, |row| {
                Precondition::Revision(row.revision)
            });
            if let Err(error) = store.swap(&key, expect, Some(&value), None).await {
                log::warn!(error:%; "registering the entry failed");
            }
        }
        ticks.next().await;
    }
}

/// Writes suspects and parts that are refused to the key-value service, one at each tick, so that they survive the loss
/// of all entries.
async fn save_suspects<S: Store, D: Decoder>(
    state: Rc<State>,
    store: S,
    decoder: D,
    mut ticks: pistachiolug_kernel::timer::Ticks,
) {
    loop {
        ticks.next().await;
        for suspect in state.take_missing_suspects() {
            let (key, _) = decoder.suspect_row(&suspect);
            let row = find_row(&state, &key);
            if !row.is_some_and(|row| is_saved(&decoder, &row, &suspect)) {
                state.restore_unsaved_suspect(&suspect);
            }
        }
        if let Some(suspect) = state.take_unsaved_suspect() {
            let (key, value) = decoder.suspect_row(&suspect);
            let row = find_row(&state, &key);
            if row
                .as_ref()
                .is_some_and(|row| is_saved(&decoder, row, &suspect))
            {
                continue;
            }
            if let Err(error) = save_row(&store, row, &key, &value).await {
                let content = Digest::from(suspect.content);
                log::warn!(content:% = content.short(), error; "writing a suspect failed");
                state.restore_unsaved_suspect(&suspect);
            }
        } else if let Some(culprit) = state.take_unsaved_culprit() {
            let (key, value) = decoder.culprit_row(&culprit);
            let row = find_row(&state, &key);
            if row.as_ref().is_some_and(|row| *row.value == *value) {
                continue;
            }
            if let Err(error) = save_row(&store, row, &key, &value).await {
                log::warn!(part = hex(culprit.part), error; "writing a named part failed");
                state.restore_unsaved_culprit(&culprit);
            }
        }
    }
}

fn find_row(state: &State, key: &str) -> Option<Entry> {
    state.with_rows(|rows| rows.entries().find(|row| row.key == key).cloned())
}

/// Returns whether a row has all that is known of a suspect; its age does not matter.
fn is_saved<D: Decoder>(decoder: &D, row: &Entry, suspect: &Suspect) -> bool {
    let Row::Suspect(saved) = decoder.decode(&row.key, &row.value) else {
        return false;
    };
    let has_all = |saved: &[u64], known: &[u64]| known.iter().all(|known| saved.contains(known));
    saved.reruns == suspect.reruns
        && has_all(&saved.crashes, &suspect.crashes)
        && has_all(&suspect.crashes, &saved.crashes)
        && has_all(&saved.cleared, &suspect.cleared)
}

/// Writes a value with the lease of suspects in place of a row; `None` if there is none yet.
async fn save_row<S: Store>(
    store: &S,
    row: Option<Entry>,
    key: &str,
    value: &[u8],
) -> Result<(), String> {
    let expect = row.map_or(Precondition::Absent, |row| {
        Precondition::Revision(row.revision)
    });
    let lease = HeldLease::grant(store, SUSPECT_RETENTION).await;
    let lease = lease.map_err(|error| error.to_string())?;
    match lease.swap(store, key, expect, value).await {
        Ok(Swap::Done { .. }) => Ok(()),
        // The next try uses the row that the watch brings meanwhile.
        Ok(Swap::Lost { .. }) => Err("the row has changed meanwhile".to_owned()),
        Err(error) => Err(error.to_string()),
    }
}
