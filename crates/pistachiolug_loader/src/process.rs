//! Start and stop of an agent's process on the platform.

use std::{net::SocketAddr, rc::Rc, time::Duration};

use http::Request;
use hyper::body::Incoming;
use pistachiolug_http::{
    client::Client,
    connections::{Bound, Connections},
    local_server::{self, Limit},
};
use pistachiolug_kernel::{
    kernel::Kernel,
    process::{Error, KernelSnafu, ListenSnafu, MetricSnafu},
    suspension,
};
use pistachiolug_platform::kv::Store;
use pistachiolug_replica::follow;
use snafu::ResultExt;
use tokio::{
    net::{TcpListener, UdpSocket},
    task::spawn_local,
};

use crate::{
    discovery::Discovery,
    engine::{Engine, Origin},
    exchange::Exchange,
    load::Loader,
    metrics::Metrics,
    pacing::Paced,
    peer_server::{self, MANIFEST_PATH},
    row::Decoder,
    state::{Options, RowObserver, State},
    transfer::Transfer,
};

/// Interval between two checks of the engine, and so the longest time until a restart of the engine is noticed.
const ENGINE_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout of one watch request. A long timeout is enough, since entries and other agents also announce new versions.
const WATCH_TIMEOUT: Duration = Duration::from_secs(30);

/// Idle connections kept per agent.
const IDLE_CONNECTIONS: usize = 2;

/// Memory in bytes of the answers that one client of the agent reads at once, beyond the first 16 KiB of each. The
/// agent's clients together, also those of its engine, origin and store, take half of its memory.
const MAX_MEMORY: usize = 12 << 20;

/// Timeout of connecting to another agent; a hundred times the delay between regions.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest time in which a process that is told to stop settles an order without an answer.
const MAX_DRAIN: Duration = Duration::from_secs(6);

/// Limits of connections from other agents.
const PEER_LIMIT: Limit = Limit {
    head_bytes: 8192,
    head_timeout: Duration::from_secs(20),
};

/// Bound on connections from other agents: a quarter of the descriptors of the smallest agent, and several times the number
/// of agents that load from one.
const PEER_BOUND: Bound = Bound {
    connections: 512,
    // Requests have no bodies.
    receive_bytes: Some(32 << 10),
    // Longer than any piece takes on the narrowest link between regions.
    write_timeout: Duration::from_secs(15),
};

/// Runs an agent until it is told to stop. Must be called within a `LocalSet`.
///
/// # Errors
/// [`Error`] if the agent can't start or fails.
pub async fn run<E: Engine, O: Origin, S: Store, D: Decoder>(
    options: Options,
    engine: E,
    origin: O,
    store: S,
    decoder: D,
) -> Result<(), Error> {
    let kernel = Kernel::start(&options.name);
    let metrics = Metrics::register(&kernel.metrics).context(MetricSnafu)?;
    let address = options.member.address;
    let state = State::new(options, metrics);
    let engine = Paced::new(engine, state.clock());
    let ticks = kernel
        .timer
        .subscribe(ENGINE_CHECK_INTERVAL, Duration::ZERO);
    let suspended = Rc::clone(&state);
    let handle = move || suspended.move_deadlines();
    spawn_local(suspension::watch(state.clock(), ticks, handle));
    let listener = local_server::bind(address).context(ListenSnafu { address })?;
    let observer = RowObserver::new(Rc::clone(&state), decoder.clone());
    let prefix = decoder.versions_prefix();
    spawn_local(follow::run(
        store.clone(),
        prefix,
        || WATCH_TIMEOUT,
        observer,
    ));
    let shared = Rc::clone(&state);
    spawn_local(serve(shared, engine.clone(), kernel.clone(), listener));
    let socket = UdpSocket::bind(address).await;
    let socket = socket.context(ListenSnafu { address })?;
    let exchange = Exchange::new(socket, Rc::clone(&state));
    spawn_local(exchange.clone().run());
    let loaded = Rc::clone(&state);
    let loader = Loader {
        transfer: Transfer {
            state,
            engine,
            origin,
            client: Client::with_connect_timeout(IDLE_CONNECTIONS, CONNECT_TIMEOUT)
                .with_memory(MAX_MEMORY),
            exchange,
        },
        discovery: Discovery {
            store,
            decoder,
            client: Client::with_connect_timeout(0, CONNECT_TIMEOUT).with_memory(MAX_MEMORY),
        },
        socket: UdpSocket::bind(SocketAddr::new(address.ip(), 0))
            .await
            .context(ListenSnafu { address })?,
    };
    let ticks = kernel
        .timer
        .subscribe(ENGINE_CHECK_INTERVAL, ENGINE_CHECK_INTERVAL / 4);
    spawn_local(loader.run(ticks));
    // Agents whose piece requests fail use their next source, but no successor knows of an order without an answer.
    kernel
        .run(MAX_DRAIN, || loaded.orders.borrow().pending().is_none())
        .await
        .context(KernelSnafu)
}

async fn serve<E: Engine>(state: Rc<State>, engine: E, kernel: Kernel, listener: TcpListener) {
    let handler = move |request: Request<Incoming>| {
        let path = request.uri().path().to_owned();
        let (state, engine, kernel) = (Rc::clone(&state), engine.clone(), kernel.clone());
        async move {
            match kernel.admin().serve(&path) {
                Some(reply) => local_server::convert_reply(reply),
                None if path.starts_with(MANIFEST_PATH) => {
                    peer_server::serve_manifest(&state, &path)
                }
                None => peer_server::serve_piece(state, engine, path).await,
            }
        }
    };
    let connections = Connections::new(PEER_BOUND);
    local_server::serve_bounded(listener, PEER_LIMIT, connections, handler).await;
}
