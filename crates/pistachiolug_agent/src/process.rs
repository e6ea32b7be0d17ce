//! Start and stop of an agent.

use std::{io, time::Duration};

use pistachiolug_http::{client::Client, limit::Limit, secret::Secret, server::Server};
use pistachiolug_kernel::{
    admin::Admin,
    dump::{self, Dump},
    phase::{Control, Phase},
    signal,
    supervisor::Supervisor,
};
use pistachiolug_lists::{force::Force, reader};
use pistachiolug_platform::{engine, kv::etcd::Etcd, plain, source};
use pistachiolug_settings::daemon::{Daemon, Kind};
use serde_json::json;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::{calls::Calls, door::Door, weights};

/// Idle connections kept per peer.
const IDLE_CONNECTIONS: usize = 64;

/// Worker threads of the internal port.
const THREADS: usize = 1;

/// Interval at which a draining process looks whether its calls have ended.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Reports an agent that could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings name no backend server.
    #[snafu(display("settings lack `backend`"))]
    NoBackend,
    /// The port could not be bound, or signals not handled.
    #[snafu(display("{source}"))]
    Io {
        /// Cause.
        source: io::Error,
    },
}

/// Runs an agent until it is told to stop and its calls have ended.
///
/// # Errors
/// Returns what kept the agent from starting.
pub async fn run(settings: Daemon, secret: Secret) -> Result<(), Error> {
    let backend = settings.backend.clone().context(NoBackendSnafu)?;
    let control = Control::default();
    let supervisor = Supervisor::new(control.clone());
    let dump = Dump::default();
    let force = Force::default();
    let client = Client::new(IDLE_CONNECTIONS);
    let engine = engine::http::Http::new(client.clone(), &backend.address);
    let service = plain::Http::new(Client::new(0), &backend.address);
    let store = Etcd::new(client.clone(), &settings.platform.key_value);
    let origin = source::Http::new(client.clone(), &settings.platform.origin);
    add_parts(&dump, &settings, &force);
    let door = Door {
        admin: Admin {
            control: control.clone(),
            dump,
            metrics: prometheus::Registry::new(),
        },
        secret,
        calls: Calls::new(engine.clone(), service),
    };
    let server =
        Server::bind(settings.internal, THREADS, Limit::default(), door).context(IoSnafu)?;
    supervisor.spawn("lists", reader::run(store, force.clone()));
    if backend.kind == Kind::Model {
        supervisor.spawn(
            "weights",
            weights::run(backend.service.clone(), force, engine, origin),
        );
    }
    control.advance(Phase::Running);
    log::info!(instance = settings.instance.as_str(), address:% = server.address(); "agent runs");
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
    Ok(())
}

fn add_parts(dump: &Dump, settings: &Daemon, force: &Force) {
    let instance = settings.instance.clone();
    dump.add("instance", move || json!(instance));
    dump.add("traffic", dump::traffic);
    let force = force.clone();
    dump.add("lists_revision", move || json!(force.now().revision()));
}
