//! Start and stop of an agent.

use std::{io, time::Duration};

use pistachiolug_http::{client::Client, limit::Limit, secret::Secret, server::Server};
use pistachiolug_kernel::{
    dump::Dump,
    kernel::{self, Kernel},
    phase::{Control, Phase},
    registry,
};
use pistachiolug_ledger::{
    claim::Claims,
    ledger::{self, Ledger},
};
use pistachiolug_lists::{
    active::ActiveLists,
    gossip::{self, Gossip},
};
use pistachiolug_membership::{follow, view::View};
use pistachiolug_platform::{
    directory,
    engine::{self, Engine},
    kv::{etcd::Etcd, rate_limit, rate_limited::RateLimitedStore},
    plain, source,
};
use pistachiolug_routing::schedule::Capacity;
use pistachiolug_settings::daemon::{self, Backend, Daemon, Kind};
use pistachiolug_weights::{
    planner::policy::{Policy, Tuning},
    swarm::{self, Swarm},
};
use serde_json::json;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::{
    calls::{Calls, Dependencies, Options},
    crash::{Broadcaster, Reporter},
    incarnation::Incarnation,
    metrics::Metrics,
    monitor::Monitor,
    peers::Peers,
    router::Router,
    weights::{
        self,
        activate::{AnyGuard, EngineGuard, StoreGuard},
        status::Status,
        usage::{CountingEngine, Usage},
    },
};

/// Number of idle connections kept per peer.
const IDLE_CONNECTIONS: usize = 64;

/// Number of worker threads of the internal port.
const WORKER_THREADS: usize = 1;

/// Largest number of queued calls.
const MAX_QUEUED_CALLS: usize = 4096;

/// Largest total size of queued and running calls, in bytes.
const MAX_QUEUE_BYTES: usize = 64 << 20;

/// Calls per second that one slot of a plain service is assumed to finish, until the actual speed is known.
const PLAIN_CALLS_PER_SECOND: f64 = 10.0;

/// Time after the drain deadline during which plain calls may still end; their callers' deadlines bound them.
const DRAIN_MARGIN: Duration = Duration::from_secs(90);

/// Error that kept an agent from starting or ended it.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings name no backend server.
    #[snafu(display("settings have no `backend`"))]
    NoBackend,
    /// The internal port could not be bound.
    #[snafu(display("failed to bind the internal port: {source}"))]
    Io {
        /// Cause.
        source: io::Error,
    },
    /// The metrics could not be registered.
    #[snafu(display("failed to register metrics: {source}"))]
    Metrics {
        /// Cause.
        source: prometheus::Error,
    },
    /// A service is missing or registered twice.
    #[snafu(display("failed to register a service: {source}"))]
    Registry {
        /// Cause.
        source: registry::Error,
    },
    /// The process ran and failed.
    #[snafu(display("{source}"))]
    Kernel {
        /// Cause.
        source: kernel::Error,
    },
}

/// Runs an agent until it is told to stop and its calls have ended.
///
/// # Errors
/// Returns the error that kept the agent from starting or ended it.
pub async fn run(settings: Daemon, secret: Secret) -> Result<(), Error> {
    let backend = settings.backend.clone().context(NoBackendSnafu)?;
    let kernel = Kernel::start(&settings.instance);
    let lists = kernel.register("lists", ActiveLists::default());
    let lists = lists.context(RegistrySnafu)?;
    let client = Client::new(IDLE_CONNECTIONS);
    let usage = Usage::default();
    let engine = engine::http::Http::new(&backend.address);
    let engine = CountingEngine::new(engine, usage.clone());
    let store = key_value(&settings, &client);
    let view = kernel.register("membership", View::default());
    let view = view.context(RegistrySnafu)?;
    let identity = gossip::Settings::new(&settings, &secret);
    let list_exchange = Gossip::new(identity, client.clone(), lists.clone(), view.subscribe());
    let directory = directory::Http::new(client.clone(), &settings.platform.instances);
    let sources = sources(&settings, &client);
    let swarm = Swarm::new(
        swarm_options(&settings),
        client.clone(),
        secret.clone(),
        sources.clone(),
    );
    let (crash_reporter, reports) = Reporter::new();
    let incarnation = Incarnation::default();
    let monitor = Monitor::new(engine.clone());
    let peers = Peers::new(client, secret.clone());
    let dependencies = Dependencies {
        engine: engine.clone(),
        monitor: monitor.clone(),
        service: plain::Http::new(Client::new(0), &backend.address),
        claims: Ledger::new(store.clone(), ledger::Settings::default()),
        active_lists: lists.clone(),
        view: view.clone(),
        peers: peers.clone(),
        crash_reporter,
        incarnation: incarnation.clone(),
        metrics: Metrics::new(&kernel.metrics).context(MetricsSnafu)?,
    };
    let calls = Calls::new(call_options(&settings, &backend), dependencies);
    add_dump_sections(&kernel.dump, &lists, &list_exchange, &calls);
    let router = Router {
        admin: kernel.admin(),
        secret,
        lists: list_exchange.clone(),
        calls: calls.clone(),
        weights: Some(swarm.clone()),
    };
    let server = Server::bind(settings.internal, WORKER_THREADS, Limit::default(), router)
        .context(IoSnafu)?;
    let timer = kernel.timer.clone();
    let supervisor = &kernel.supervisor;
    supervisor.spawn("lists", list_exchange.run(store.clone()));
    let broadcaster = Broadcaster {
        instance: settings.instance.clone(),
        store: store.clone(),
        view: view.clone(),
        peers,
    };
    supervisor.spawn("crashes", broadcaster.run(reports));
    let acquired = incarnation.clone();
    tokio::spawn(acquired.acquire(store.clone(), settings.instance.clone()));
    supervisor.spawn("calls", calls.clone().run(timer.clone()));
    supervisor.spawn(
        "membership",
        follow::run(directory, view.clone(), timer.clone()),
    );
    supervisor.spawn("leaving", calls.clone().watch_instance_list(view.clone()));
    let ready = lists.clone();
    if backend.kind == Kind::Model {
        supervisor.spawn("engine", monitor.run(timer));
        let dependencies = weights::Dependencies {
            engine,
            swarm: swarm.clone(),
            sources,
            active_lists: lists,
            view,
            service: backend.service.clone(),
            incarnation: incarnation.clone(),
            guard: build_guard(&settings, &backend, store.clone(), &incarnation),
            usage,
            status: Status::default(),
            metrics: weights::metrics::Metrics::new(&kernel.metrics).context(MetricsSnafu)?,
        };
        let capacity = settings.weights.link_bytes_per_second;
        supervisor.spawn("link", weights::link::run(swarm.clone(), capacity));
        let status = dependencies.status.clone();
        kernel.dump.add("weights", move || status.dump(&swarm));
        supervisor.spawn("weights", weights::run(dependencies));
    }
    log::info!(instance = settings.instance.as_str(), address:% = server.address(); "agent started");
    let drain = Duration::from_millis(settings.calls.drain_ms.into());
    tokio::spawn(drain_calls(calls.clone(), kernel.control().clone(), drain));
    let idle = || calls.is_drained() && server.active() == 0;
    let ended = kernel
        .run_after(ready.wait_ready(), drain + DRAIN_MARGIN, idle)
        .await;
    server.stop();
    ended.context(KernelSnafu)
}

fn key_value(settings: &Daemon, client: &Client) -> RateLimitedStore<Etcd> {
    let store = Etcd::new(client.clone(), &settings.platform.key_value);
    RateLimitedStore::new(store, rate_limit::Settings::default())
}

/// Waits until the process drains, then refuses new calls and waits until the open ones have ended or moved.
async fn drain_calls<E: Engine, S: plain::Service, C: Claims>(
    calls: Calls<E, S, C>,
    control: Control,
    drain: Duration,
) {
    control.wait_for(Phase::Draining).await;
    calls.leave();
    calls.drain(drain).await;
}

fn sources(settings: &Daemon, client: &Client) -> Vec<source::Http> {
    let store = settings.platform.store.iter();
    let addresses = store.chain([&settings.platform.origin]);
    addresses
        .map(|address| source::Http::new(client.clone(), address))
        .collect()
}

fn swarm_options(settings: &Daemon) -> swarm::Options {
    let policy = match settings.weights.policy {
        daemon::Policy::TimeFirst => Policy::TimeFirst,
        daemon::Policy::BytesFirst => Policy::BytesFirst,
    };
    swarm::Options {
        instance: settings.instance.clone(),
        region: settings.region.clone(),
        home_region: settings.weights.home_region.clone().unwrap_or_default(),
        tuning: Tuning {
            policy,
            ..Tuning::default()
        },
        staging_bytes: settings.weights.staging_bytes,
        upload_bytes_per_second: settings.weights.link_bytes_per_second,
        download_bytes_per_second: settings.weights.link_bytes_per_second,
        upload_copies: settings.weights.upload_copies,
        ..swarm::Options::default()
    }
}

fn build_guard(
    settings: &Daemon,
    backend: &Backend,
    store: RateLimitedStore<Etcd>,
    incarnation: &Incarnation,
) -> AnyGuard<RateLimitedStore<Etcd>> {
    match backend.fencing {
        daemon::Fencing::Checked => AnyGuard::Engine(EngineGuard),
        daemon::Fencing::Ignored => AnyGuard::Store(StoreGuard {
            store,
            instance: settings.instance.clone(),
            incarnation: incarnation.clone(),
        }),
    }
}

fn call_options(settings: &Daemon, backend: &Backend) -> Options {
    let is_model = backend.kind == Kind::Model;
    let rate = if is_model {
        f64::from(backend.tokens_per_second)
    } else {
        PLAIN_CALLS_PER_SECOND * f64::from(backend.slots)
    };
    Options {
        instance: settings.instance.clone(),
        service: backend.service.clone(),
        capacity: Capacity {
            slots: backend.slots.max(1),
            initial_rate: rate,
            max_queued_calls: MAX_QUEUED_CALLS,
            max_bytes: MAX_QUEUE_BYTES,
            reserved_slots: u32::from(!is_model),
        },
        heartbeat: Duration::from_millis(settings.calls.heartbeat_ms.into()),
    }
}

fn add_dump_sections<E: Engine, S: plain::Service, C: Claims>(
    dump: &Dump,
    lists: &ActiveLists,
    list_exchange: &Gossip,
    calls: &Calls<E, S, C>,
) {
    let calls = calls.clone();
    dump.add("calls", move || calls.dump());
    let lists = lists.clone();
    dump.add("lists_revision", move || json!(lists.current().revision()));
    let list_exchange = list_exchange.clone();
    dump.add("lists", move || json!(list_exchange.replica().report()));
}
