//! Start and stop of an entry.

use std::{io, time::Duration};

use pistachiolug_http::{client::Client, limit::Limit, secret::Secret, server::Server};
use pistachiolug_kernel::{
    dump::Dump,
    kernel::{self, Kernel},
    registry,
};
use pistachiolug_lists::{force::Force, reader};
use pistachiolug_membership::{follow, view::View};
use pistachiolug_platform::{directory, kv::etcd::Etcd};
use pistachiolug_settings::daemon::Daemon;
use serde_json::json;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::{call::Runner, door::Door, internal::Internal, remote::Remote};

/// Idle connections kept per agent.
const IDLE_CONNECTIONS: usize = 64;

/// Worker threads of the callers' port.
const CALLER_THREADS: usize = 2;

/// Worker threads of the internal port.
const INTERNAL_THREADS: usize = 1;

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

/// Runs an entry until it is told to stop and its calls have ended.
///
/// # Errors
/// Returns what kept the entry from starting.
pub async fn run(settings: Daemon, secret: Secret) -> Result<(), Error> {
    let callers = settings.callers.context(NoCallersSnafu)?;
    let kernel = Kernel::start(&settings.instance);
    let force = kernel.register("lists", Force::default());
    let force = force.context(RegistrySnafu)?;
    let view = kernel.register("membership", View::default());
    let view = view.context(RegistrySnafu)?;
    let client = Client::new(IDLE_CONNECTIONS);
    let store = Etcd::new(client.clone(), &settings.platform.key_value);
    let directory = directory::Http::new(client.clone(), &settings.platform.instances);
    add_parts(&kernel.dump, &force, &view);
    let internal = Internal {
        admin: kernel.admin(),
        secret: secret.clone(),
    };
    let door = Door {
        force: force.clone(),
        runner: Runner {
            view: view.clone(),
            remote: Remote::new(client, secret),
        },
        deadline_ms: settings.calls.deadline_ms,
    };
    let limit = Limit {
        body_bytes: settings.calls.body_bytes,
        ..Limit::default()
    };
    let internal = Server::bind(
        settings.internal,
        INTERNAL_THREADS,
        Limit::default(),
        internal,
    )
    .context(IoSnafu)?;
    let server = Server::bind(callers, CALLER_THREADS, limit, door).context(IoSnafu)?;
    let supervisor = &kernel.supervisor;
    supervisor.spawn("lists", reader::run(store, force));
    supervisor.spawn(
        "membership",
        follow::run(directory, view, kernel.timer.clone()),
    );
    log::info!(instance = settings.instance.as_str(), address:% = server.address(); "entry runs");
    let drain = Duration::from_millis(settings.calls.drain_ms.into());
    let ended = kernel.run(drain, || server.active() == 0).await;
    server.stop();
    internal.stop();
    ended.context(KernelSnafu)
}

fn add_parts(dump: &Dump, force: &Force, view: &View) {
    let force = force.clone();
    dump.add("lists_revision", move || json!(force.now().revision()));
    let view = view.clone();
    dump.add("instances", move || json!(view.now().instances.len()));
}
