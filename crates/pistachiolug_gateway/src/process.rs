//! Start and stop of an entry.

use std::{cell::Cell, net::SocketAddr, rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Request, Response, StatusCode, Uri, header};
use http_body_util::Full;
use hyper::body::Incoming;
use pistachiolug_http::{
    client::Client,
    local::{self, Limit},
};
use pistachiolug_kernel::{
    kernel::Kernel,
    phase::Phase,
    process::{Error, KernelSnafu, ListenSnafu, MetricSnafu},
};
use pistachiolug_platform::kv::{Expect, Store};
use pistachiolug_replica::{follow, snapshot};
use pistachiolug_wire::{codec, weights};
use snafu::ResultExt;
use tokio::{
    net::{TcpListener, UdpSocket},
    sync::watch,
    task::{JoinHandle, spawn_local},
    time::{Instant, sleep},
};

use crate::{
    config::Limits,
    decoder::Decoder,
    forward,
    gossip::{self, BEACON_INTERVAL, ROWS_PATH},
    metrics::Metrics,
    state::{Options, State},
    stop::{self, Stage},
    updater::Updater,
};

/// Time that is kept of the allowance for a stop, for the end of the process itself.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Longest wait of one watch: with the time for its answer, within the seconds in which a change has to be in force.
const WATCH_WAIT: Duration = Duration::from_millis(1200);

/// Interval at which an entry looks whether it is known to the others.
const REGISTER_INTERVAL: Duration = Duration::from_secs(2);

/// Connections that are kept to the key-value service and to each other entry.
const KEPT_CONNECTIONS: usize = 2;

/// Addresses that an entry listens on.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For callers.
    pub front: SocketAddr,
    /// For the balancer's health checks.
    pub ready: SocketAddr,
    /// For other entries (TCP and UDP), metrics and the state dump.
    pub internal: SocketAddr,
}

/// Runs an entry until it is told to stop; needs a local task set.
///
/// # Arguments
/// `grace` is the time allowed for a stop.
///
/// # Errors
/// [`Error`] when it can't start or fails.
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
    let front = listen(addresses.front)?;
    let ready = listen(addresses.ready)?;
    let internal = listen(addresses.internal)?;
    let socket = UdpSocket::bind(addresses.internal).await;
    let socket = Rc::new(socket.context(ListenSnafu {
        address: addresses.internal,
    })?);
    let updater = Updater::new(Rc::clone(&state), Rc::clone(&socket), decoder.clone());
    let client = Client::new(KEPT_CONNECTIONS);
    let ticks = kernel.timer.subscribe(BEACON_INTERVAL, Duration::ZERO);
    spawn_local(follow::run(store.clone(), "", WATCH_WAIT, updater.clone()));
    spawn_local(gossip::receive_datagrams(
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
    let ticks = kernel
        .timer
        .subscribe(REGISTER_INTERVAL, REGISTER_INTERVAL / 4);
    spawn_local(register(Rc::clone(&state), store, decoder, ticks));
    spawn_local(serve_ready(Rc::clone(&state), kernel.clone(), ready));
    spawn_local(serve_internal(Rc::clone(&state), kernel.clone(), internal));
    let front = spawn_local(serve_front(Rc::clone(&state), front, closed));
    let known = wait_for_config(Rc::clone(&state));
    let stop = Stop {
        state,
        closing,
        front,
        since: Cell::new(None),
    };
    let drain = grace.saturating_sub(STOP_MARGIN);
    kernel
        .run_after(known, drain, || stop.is_done())
        .await
        .context(KernelSnafu)
}

fn listen(address: SocketAddr) -> Result<TcpListener, Error> {
    local::bind(address).context(ListenSnafu { address })
}

async fn wait_for_config(state: Rc<State>) {
    /// Interval of the looks; short beside the second between two health checks.
    const LOOK_INTERVAL: Duration = Duration::from_millis(50);
    while state.config().is_none() {
        sleep(LOOK_INTERVAL).await;
    }
}

/// Carries out a stop.
struct Stop {
    state: Rc<State>,
    closing: watch::Sender<bool>,
    /// Takes connections of callers.
    front: JoinHandle<()>,
    since: Cell<Option<Instant>>,
}

impl Stop {
    /// Tells whether a draining process may end.
    fn is_done(&self) -> bool {
        let since = self.since.get().unwrap_or_else(|| {
            self.closing.send_replace(true);
            Instant::now()
        });
        self.since.set(Some(since));
        let stage = stop::stage(since.elapsed(), self.state.count_open_requests());
        if stage != Stage::Accepting {
            // Drops the listener; connections are tasks of their own.
            self.front.abort();
        }
        stage == Stage::Done
    }
}

async fn serve_front(state: Rc<State>, listener: TcpListener, closing: watch::Receiver<bool>) {
    let limits = {
        let state = Rc::clone(&state);
        move || {
            let limits = state.config().map(|config| config.limits());
            connection_limit(limits.unwrap_or_default())
        }
    };
    let handler = move |request| forward::serve(Rc::clone(&state), request);
    local::serve(listener, limits, closing, handler).await;
}

fn connection_limit(limits: Limits) -> Limit {
    Limit {
        head_bytes: limits.head_bytes,
        head_timeout: limits.idle_timeout + limits.head_timeout,
    }
}

async fn serve_ready(state: Rc<State>, kernel: Kernel, listener: TcpListener) {
    let handler = move |_: Request<Incoming>| {
        let ready = kernel.control().now() == Phase::Running && state.config().is_some();
        std::future::ready(plain(if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        }))
    };
    local::serve_always(listener, connection_limit(Limits::default()), handler).await;
}

async fn serve_internal(state: Rc<State>, kernel: Kernel, listener: TcpListener) {
    let dump = Rc::clone(&state);
    let handler = move |request: Request<Incoming>| {
        let response = match request.uri().path() {
            ROWS_PATH => match state.with_rows(|rows| snapshot::encode(rows, after(request.uri())))
            {
                Ok(rows) => content("application/octet-stream", rows),
                Err(error) => {
                    log::warn!(error:%; "rows not encoded");
                    plain(StatusCode::INTERNAL_SERVER_ERROR)
                }
            },
            "/debug/state" => content("application/json", dump.dump().to_string().into_bytes()),
            path if path.starts_with(&weights::path("")) => weights_view(&state, path),
            path => match kernel.admin().serve(path) {
                Some(reply) => local::whole(reply),
                None => plain(StatusCode::NOT_FOUND),
            },
        };
        std::future::ready(response)
    };
    local::serve_always(listener, connection_limit(Limits::default()), handler).await;
}

/// Returns the revision that a peer asks for changes after; 0 asks for all rows.
fn after(uri: &Uri) -> u64 {
    let after = uri.query().and_then(|query| query.strip_prefix("after="));
    after
        .and_then(|after| after.parse().ok())
        .unwrap_or_default()
}

fn weights_view(state: &State, path: &str) -> Response<Full<Bytes>> {
    let service = path.strip_prefix(&weights::path("")).unwrap_or_default();
    match state.weights_view(service) {
        Some(view) => content("application/octet-stream", codec::encode(&view).into()),
        None => plain(StatusCode::NOT_FOUND),
    }
}

fn plain(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn content(content_type: &'static str, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    let value = http::HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Makes the entry known to the others by a row of its own.
async fn register<S: Store, D: Decoder>(
    state: Rc<State>,
    store: S,
    decoder: D,
    mut ticks: pistachiolug_kernel::timer::Ticks,
) {
    let options = &state.options;
    let (key, value) = decoder.entry_row(&options.name, options.internal);
    loop {
        let (read, known) = state.with_rows(|rows| {
            let row = rows.entries().find(|row| row.key == key).cloned();
            (rows.revision() > 0, row)
        });
        let current = known.as_ref().is_some_and(|row| *row.value == *value);
        if read && !current {
            let expect = known.map_or(Expect::Absent, |row| Expect::Revision(row.revision));
            if let Err(error) = store.swap(&key, expect, Some(&value), None).await {
                log::warn!(error:%; "entry not registered");
            }
        }
        ticks.next().await;
    }
}
