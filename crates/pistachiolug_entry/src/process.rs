//! Start and stop of an entry.

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
    call::Runner, door::Door, internal::Internal, metrics::Metrics, remote::Remote, router::Router,
};

/// Idle connections kept per service of the platform.
const IDLE_CONNECTIONS: usize = 4;

/// Worker threads of the callers' port.
const CALLER_THREADS: usize = 2;

/// Worker threads of the internal port.
const INTERNAL_THREADS: usize = 1;

/// Time for which a leaving entry still takes calls, so that the balancer sees that it is not ready.
const BALANCER_GRACE: Duration = Duration::from_secs(3);

/// Reports an entry that could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings name no address for callers.
    #[snafu(display("settings lack `callers`"))]
    NoCallers,
    /// A port could not be bound.
    #[snafu(display("{source}"))]
    Io {
        /// Cause.
        source: io::Error,
    },
    /// A service is registered twice.
    #[snafu(display("{source}"))]
    Registry {
        /// Cause.
        source: registry::Error,
    },
    /// A metric could not be registered.
    #[snafu(display("{source}"))]
    Metric {
        /// Cause.
        source: metric::Error,
    },
    /// The process ended after a failure.
    #[snafu(display("{source}"))]
    Kernel {
        /// Cause.
        source: kernel::Error,
    },
}

/// Runs an entry until it is told to stop and its calls have ended.
///
/// # Errors
/// Returns what kept the entry from starting, or what failed while it ran.
pub async fn run(settings: Daemon, secret: Secret) -> Result<(), Error> {
    let callers = settings.callers.context(NoCallersSnafu)?;
    let kernel = Kernel::start(&settings.instance);
    let force = kernel.register("lists", ActiveLists::default());
    let force = force.context(RegistrySnafu)?;
    let view = kernel.register("membership", View::default());
    let view = view.context(RegistrySnafu)?;
    let client = Client::new(IDLE_CONNECTIONS);
    let place = Place {
        region: settings.region.clone(),
        zone: settings.zone.clone(),
    };
    let router = Router::new(view.clone(), &settings.instance, place);
    let metrics = Metrics::new(&kernel.metrics).context(MetricSnafu)?;
    let remote = Remote::new(secret.clone());
    let runner = Runner::new(router, remote, metrics, Some(settings.internal));
    let here = gossip::Settings::new(&settings, &secret);
    let lists = Gossip::new(here, client.clone(), force.clone(), view.subscribe());
    add_parts(&kernel, &force, &view, &runner, &lists);
    let probe_secret = secret.clone();
    let internal = Internal {
        admin: kernel.admin(),
        secret,
        lists: lists.clone(),
        view: view.clone(),
    };
    let door = Door {
        force: force.clone(),
        runner,
        control: kernel.control().clone(),
        deadline_ms: settings.calls.deadline_ms,
    };
    let limit = Limit {
        body_bytes: settings.calls.body_bytes,
        ..Limit::default()
    };
    let bare = Limit::default();
    let internal =
        Server::bind(settings.internal, INTERNAL_THREADS, bare, internal).context(IoSnafu)?;
    let server = Server::bind(callers, CALLER_THREADS, limit, door).context(IoSnafu)?;
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
    log::info!(instance = settings.instance.as_str(), address:% = server.address(); "entry runs");
    let drain = Duration::from_millis(settings.calls.drain_ms.into());
    let began = OnceLock::new();
    let idle = || {
        let began: &Instant = began.get_or_init(Instant::now);
        began.elapsed() >= BALANCER_GRACE && server.active() == 0
    };
    let ended = kernel.run_after(force.wait_ready(), drain, idle).await;
    server.finish().await;
    internal.stop();
    ended.context(KernelSnafu)
}

fn add_parts(kernel: &Kernel, force: &ActiveLists, view: &View, runner: &Runner, lists: &Gossip) {
    let parts = &kernel.dump;
    let force = force.clone();
    parts.add("lists_revision", move || json!(force.current().revision()));
    let lists = lists.clone();
    parts.add("lists", move || json!(lists.replica().report()));
    let view = view.clone();
    parts.add("instances", move || {
        let list = view.snapshot();
        json!({
            "version": list.version,
            "rows": list.instances.len(),
            "barred": view.excluded_count(),
        })
    });
    let runner = runner.clone();
    parts.add("calls", move || {
        json!({
            "open": runner.metrics.open.get(),
            "saved_retries": runner.saved_retries(),
            "router": runner.router.dump(),
        })
    });
}
