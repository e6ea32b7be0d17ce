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
    kv::{budget::Budget, etcd::Etcd, pace},
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
    calls::{Calls, Options, Parts},
    crash::{Reporter, Spreader},
    door::Door,
    incarnation::Incarnation,
    metrics::Metrics,
    peers::Peers,
    serving::Serving,
    weights::{
        self,
        activate::{Asked, Either, Fenced},
        status::Status,
        usage::{Counted, Usage},
    },
};

/// Idle connections kept per peer.
const IDLE_CONNECTIONS: usize = 64;

/// Worker threads of the internal port.
const THREADS: usize = 1;

/// Largest number of waiting calls.
const QUEUE_CALLS: usize = 4096;

/// Largest total size of waiting and running calls in bytes.
const QUEUE_BYTES: usize = 64 << 20;

/// Calls that one slot of a plain service is taken to finish a second, until measured.
const PLAIN_CALLS_PER_SECOND: f64 = 10.0;

/// Time after the drain deadline in which plain calls still end; they are bounded by their callers' deadlines.
const DRAIN_MARGIN: Duration = Duration::from_secs(90);

/// Reports an agent that could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings name no backend server.
    #[snafu(display("settings lack `backend`"))]
    NoBackend,
    /// The port could not be bound.
    #[snafu(display("{source}"))]
    Io {
        /// Cause.
        source: io::Error,
    },
    /// The metrics could not be registered.
    #[snafu(display("{source}"))]
    Metrics {
        /// Cause.
        source: prometheus::Error,
    },
    /// A service is missing or registered twice.
    #[snafu(display("{source}"))]
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
/// Returns what kept the agent from starting.
pub async fn run(settings: Daemon, secret: Secret) -> Result<(), Error> {
    let backend = settings.backend.clone().context(NoBackendSnafu)?;
    let kernel = Kernel::start(&settings.instance);
    let force = kernel.register("lists", ActiveLists::default());
    let force = force.context(RegistrySnafu)?;
    let client = Client::new(IDLE_CONNECTIONS);
    let usage = Usage::default();
    let engine = engine::http::Http::new(client.clone(), &backend.address);
    let engine = Counted::new(engine, usage.clone());
    let store = key_value(&settings, &client);
    let view = kernel.register("membership", View::default());
    let view = view.context(RegistrySnafu)?;
    let here = gossip::Settings::new(&settings, &secret);
    let lists = Gossip::new(here, client.clone(), force.clone(), view.subscribe());
    let directory = directory::Http::new(client.clone(), &settings.platform.instances);
    let sources = sources(&settings, &client);
    let swarm = Swarm::new(
        spread(&settings),
        client.clone(),
        secret.clone(),
        sources.clone(),
    );
    let (crashes, reports) = Reporter::new();
    let incarnation = Incarnation::default();
    let serving = Serving::new(engine.clone());
    let peers = Peers::new(client, secret.clone());
    let parts = Parts {
        engine: engine.clone(),
        serving: serving.clone(),
        service: plain::Http::new(Client::new(0), &backend.address),
        claims: Ledger::new(store.clone(), ledger::Settings::default()),
        force: force.clone(),
        view: view.clone(),
        peers: peers.clone(),
        crashes,
        incarnation: incarnation.clone(),
        metrics: Metrics::new(&kernel.metrics).context(MetricsSnafu)?,
    };
    let calls = Calls::new(options(&settings, &backend), parts);
    add_parts(&kernel.dump, &force, &lists, &calls);
    let door = Door {
        admin: kernel.admin(),
        secret,
        lists: lists.clone(),
        calls: calls.clone(),
        weights: Some(swarm.clone()),
    };
    let server =
        Server::bind(settings.internal, THREADS, Limit::default(), door).context(IoSnafu)?;
    let timer = kernel.timer.clone();
    let supervisor = &kernel.supervisor;
    supervisor.spawn("lists", lists.run(store.clone()));
    let spreader = Spreader {
        instance: settings.instance.clone(),
        store: store.clone(),
        view: view.clone(),
        peers,
    };
    supervisor.spawn("crashes", spreader.run(reports));
    let draw = incarnation.clone();
    tokio::spawn(draw.draw(store.clone(), settings.instance.clone()));
    supervisor.spawn("calls", calls.clone().run(timer.clone()));
    supervisor.spawn(
        "membership",
        follow::run(directory, view.clone(), timer.clone()),
    );
    supervisor.spawn("leaving", calls.clone().watch_row(view.clone()));
    let ready = force.clone();
    if backend.kind == Kind::Model {
        supervisor.spawn("engine", serving.run(timer));
        let parts = weights::Parts {
            engine,
            swarm: swarm.clone(),
            sources,
            force,
            view,
            service: backend.service.clone(),
            incarnation: incarnation.clone(),
            guard: guard(&settings, &backend, store.clone(), &incarnation),
            usage,
            status: Status::default(),
            metrics: weights::metrics::Metrics::new(&kernel.metrics).context(MetricsSnafu)?,
        };
        let capacity = settings.weights.link_bytes_per_second;
        supervisor.spawn("link", weights::link::run(swarm.clone(), capacity));
        let status = parts.status.clone();
        kernel.dump.add("weights", move || status.dump(&swarm));
        supervisor.spawn("weights", weights::run(parts));
    }
    log::info!(instance = settings.instance.as_str(), address:% = server.address(); "agent runs");
    let drain = Duration::from_millis(settings.calls.drain_ms.into());
    tokio::spawn(leave(calls.clone(), kernel.control().clone(), drain));
    let idle = || calls.is_drained() && server.active() == 0;
    let ended = kernel
        .run_after(ready.wait_ready(), drain + DRAIN_MARGIN, idle)
        .await;
    server.stop();
    ended.context(KernelSnafu)
}

fn key_value(settings: &Daemon, client: &Client) -> Budget<Etcd> {
    let store = Etcd::new(client.clone(), &settings.platform.key_value);
    Budget::new(store, pace::Settings::default())
}

/// Refuses new calls once the process drains, and ends those that pass the deadline.
async fn leave<E: Engine, S: plain::Service, C: Claims>(
    calls: Calls<E, S, C>,
    control: Control,
    drain: Duration,
) {
    control.reached(Phase::Draining).await;
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

fn spread(settings: &Daemon) -> swarm::Options {
    let policy = match settings.weights.policy {
        daemon::Policy::TimeFirst => Policy::TimeFirst,
        daemon::Policy::BytesFirst => Policy::BytesFirst,
    };
    swarm::Options {
        instance: settings.instance.clone(),
        region: settings.region.clone(),
        home: settings.weights.home_region.clone().unwrap_or_default(),
        tuning: Tuning {
            policy,
            ..Tuning::default()
        },
        staging_bytes: settings.weights.staging_bytes,
        up: settings.weights.link_bytes_per_second,
        down: settings.weights.link_bytes_per_second,
        upload_copies: settings.weights.upload_copies,
        ..swarm::Options::default()
    }
}

fn guard(
    settings: &Daemon,
    backend: &Backend,
    store: Budget<Etcd>,
    incarnation: &Incarnation,
) -> Either<Budget<Etcd>> {
    match backend.fencing {
        daemon::Fencing::Checked => Either::Fenced(Fenced),
        daemon::Fencing::Ignored => Either::Asked(Asked {
            store,
            instance: settings.instance.clone(),
            incarnation: incarnation.clone(),
        }),
    }
}

fn options(settings: &Daemon, backend: &Backend) -> Options {
    let model = backend.kind == Kind::Model;
    let rate = if model {
        f64::from(backend.tokens_per_second)
    } else {
        PLAIN_CALLS_PER_SECOND * f64::from(backend.slots)
    };
    Options {
        instance: settings.instance.clone(),
        service: backend.service.clone(),
        capacity: Capacity {
            slots: backend.slots.max(1),
            rate,
            calls: QUEUE_CALLS,
            bytes: QUEUE_BYTES,
            reserve: u32::from(!model),
        },
        heartbeat: Duration::from_millis(settings.calls.heartbeat_ms.into()),
    }
}

fn add_parts<E: Engine, S: plain::Service, C: Claims>(
    dump: &Dump,
    force: &ActiveLists,
    lists: &Gossip,
    calls: &Calls<E, S, C>,
) {
    let calls = calls.clone();
    dump.add("calls", move || calls.dump());
    let force = force.clone();
    dump.add("lists_revision", move || json!(force.current().revision()));
    let lists = lists.clone();
    dump.add("lists", move || json!(lists.replica().report()));
}
