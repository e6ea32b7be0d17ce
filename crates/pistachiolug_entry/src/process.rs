//! Start and shutdown of the entry process.

use std::{
    io,
    sync::OnceLock,
    time::{Duration, Instant},
};

use pistachiolug_http::{client::Client, limit::Limit, secret::Secret, server::Server};
use pistachiolug_kernel::{
    kernel::{self, Kernel},
    metric, registry,
};
use pistachiolug_lists::{
    active::ActiveLists,
    gossip::{self, Gossip},
};
use pistachiolug_membership::{follow, probe, view::View};
use pistachiolug_platform::{
    directory,
    kv::{etcd::Etcd, rate_limit, rate_limited::RateLimitedStore},
};
use pistachiolug_settings::daemon::Daemon;
use pistachiolug_wire::instance::Place;
use serde_json::json;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::{
    agent_client::AgentClient, call::Runner, internal_api::InternalApi, metrics::Metrics,
    public_api::PublicApi, router::Router,
};

/// Number of idle connections that are kept to each service of the platform.
const IDLE_CONNECTIONS: usize = 4;

/// Number of worker threads that serve callers.
const CALLER_THREADS: usize = 2;

/// Number of worker threads that serve the internal port.
const INTERNAL_THREADS: usize = 1;

/// Time for which a draining entry still accepts calls, until the load balancer has seen that it is not ready.
const BALANCER_GRACE: Duration = Duration::from_secs(3);

/// Error that kept an entry from starting or ended it.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings have no address for callers.
    #[snafu(display("the settings have no `callers` address"))]
    NoCallers,
    /// A port could not be bound.
    #[snafu(display("{source}"))]
    Io {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A service is registered twice.
    #[snafu(display("{source}"))]
    Registry {
        /// Error of the registry, with the name.
        source: registry::Error,
    },
    /// A metric could not be registered.
    #[snafu(display("{source}"))]
    Metric {
        /// Error of the metrics library.
        source: metric::Error,
    },
    /// The process ended after a failure.
    #[snafu(display("{source}"))]
    Kernel {
        /// Error of the part that failed.
        source: kernel::Error,
    },
}

/// Runs an entry until it is told to stop and its calls have ended.
///
/// # Errors
/// Returns the error that kept the entry from starting or ended it.
pub async fn run(settings: Daemon, secret: Secret) -> Result<(), Error> {
    let callers = settings.callers.context(NoCallersSnafu)?;
    let kernel = Kernel::start(&settings.instance);
    let active_lists = kernel.register("lists", ActiveLists::default());
    let active_lists = active_lists.context(RegistrySnafu)?;
    let view = kernel.register("membership", View::default());
    let view = view.context(RegistrySnafu)?;
    let client = Client::new(IDLE_CONNECTIONS);
    let place = Place {
        region: settings.region.clone(),
        zone: settings.zone.clone(),
    };
    let router = Router::new(view.clone(), &settings.instance, place);
    let metrics = Metrics::new(&kernel.metrics).context(MetricSnafu)?;
    let agent_client = AgentClient::new(secret.clone());
    let runner = Runner::new(router, agent_client, metrics, Some(settings.internal));
    let gossip_settings = gossip::Settings::new(&settings, &secret);
    let lists = Gossip::new(
        gossip_settings,
        client.clone(),
        active_lists.clone(),
        view.subscribe(),
    );
    add_dump_sections(&kernel, &active_lists, &view, &runner, &lists);
    let probe_secret = secret.clone();
    let internal_api = InternalApi {
        admin: kernel.admin(),
        secret,
        lists: lists.clone(),
        view: view.clone(),
    };
    let public_api = PublicApi {
        active_lists: active_lists.clone(),
        runner,
        control: kernel.control().clone(),
        deadline_ms: settings.calls.deadline_ms,
    };
    let public_limit = Limit {
        body_bytes: settings.calls.body_bytes,
        ..Limit::default()
    };
    let internal_limit = Limit::default();
    let internal_server = Server::bind(
        settings.internal,
        INTERNAL_THREADS,
        internal_limit,
        internal_api,
    )
    .context(IoSnafu)?;
    let public_server =
        Server::bind(callers, CALLER_THREADS, public_limit, public_api).context(IoSnafu)?;
    let store = Etcd::new(client.clone(), &settings.platform.key_value);
    let store = RateLimitedStore::new(store, rate_limit::Settings::default());
    let directory = directory::Http::new(client, &settings.platform.instances);
    let supervisor = &kernel.supervisor;
    supervisor.spawn("lists", lists.run(store));
    supervisor.spawn(
        "membership",
        follow::run(directory, view.clone(), kernel.timer.clone()),
    );
    supervisor.spawn(
        "probes",
        probe::run(view, kernel.timer.clone(), probe_secret),
    );
    log::info!(instance = settings.instance.as_str(), address:% = public_server.address(); "entry started");
    let drain_timeout = Duration::from_millis(settings.calls.drain_ms.into());
    let drain_started = OnceLock::new();
    let is_idle = || {
        let drain_started: &Instant = drain_started.get_or_init(Instant::now);
        drain_started.elapsed() >= BALANCER_GRACE && public_server.active() == 0
    };
    let result = kernel
        .run_after(active_lists.wait_ready(), drain_timeout, is_idle)
        .await;
    public_server.finish().await;
    internal_server.stop();
    result.context(KernelSnafu)
}

fn add_dump_sections(
    kernel: &Kernel,
    active_lists: &ActiveLists,
    view: &View,
    runner: &Runner,
    lists: &Gossip,
) {
    let dump = &kernel.dump;
    let active_lists = active_lists.clone();
    dump.add("lists_revision", move || {
        json!(active_lists.current().revision())
    });
    let lists = lists.clone();
    dump.add("lists", move || json!(lists.replica().report()));
    let view = view.clone();
    dump.add("instances", move || {
        let snapshot = view.snapshot();
        json!({
            "version": snapshot.version,
            "rows": snapshot.instances.len(),
            "barred": view.excluded_count(),
        })
    });
    let runner = runner.clone();
    dump.add("calls", move || {
        json!({
            "open": runner.metrics.open_calls.get(),
            "saved_retries": runner.available_retries(),
            "router": runner.router.dump(),
        })
    });
}
