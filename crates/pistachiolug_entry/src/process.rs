//! Start and stop of an entry.

use std::{io, time::Duration};

use pistachiolug_http::{client::Client, limit::Limit, secret::Secret, server::Server};
use pistachiolug_kernel::{
    admin::Admin,
    dump::Dump,
    phase::{Control, Phase},
    signal,
    supervisor::Supervisor,
    timer::Timer,
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

/// Interval at which a draining process looks whether its calls have ended.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Reports an entry that could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings name no address for callers.
    #[snafu(display("settings lack `callers`"))]
    NoCallers,
    /// A port could not be bound, or signals not handled.
    #[snafu(display("{source}"))]
    Io {
        /// Cause.
        source: io::Error,
    },
}

/// Runs an entry until it is told to stop and its calls have ended.
///
/// # Errors
/// Returns what kept the entry from starting.
pub async fn run(settings: Daemon, secret: Secret) -> Result<(), Error> {
    let callers = settings.callers.context(NoCallersSnafu)?;
    let control = Control::default();
    let supervisor = Supervisor::new(control.clone());
    let dump = Dump::default();
    let force = Force::default();
    let view = View::default();
    let client = Client::new(IDLE_CONNECTIONS);
    let store = Etcd::new(client.clone(), &settings.platform.key_value);
    let directory = directory::Http::new(client.clone(), &settings.platform.instances);
    add_parts(&dump, &settings, &force, &view);
    let internal = Internal {
        admin: Admin {
            control: control.clone(),
            dump,
            metrics: prometheus::Registry::new(),
        },
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
    supervisor.spawn("lists", reader::run(store, force));
    let timer = Timer::default();
    supervisor.spawn("timer", timer.clone().run());
    supervisor.spawn("membership", follow::run(directory, view, timer));
    control.advance(Phase::Running);
    log::info!(instance = settings.instance.as_str(), address:% = server.address(); "entry runs");
    tokio::select! {
        stopped = signal::stop() => stopped.context(IoSnafu)?,
        () = control.reached(Phase::Draining) => {}
    }
    control.advance(Phase::Draining);
    while server.active() > 0 {
        tokio::time::sleep(DRAIN_INTERVAL).await;
    }
    control.advance(Phase::Stopped);
    server.stop();
    internal.stop();
    Ok(())
}

fn add_parts(dump: &Dump, settings: &Daemon, force: &Force, view: &View) {
    let instance = settings.instance.clone();
    dump.add("instance", move || json!(instance));
    let force = force.clone();
    dump.add("lists_revision", move || json!(force.now().revision()));
    let view = view.clone();
    dump.add("instances", move || json!(view.now().instances.len()));
}
