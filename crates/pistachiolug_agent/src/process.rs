//! Start and stop of an agent.

use std::{io, time::Duration};

use pistachiolug_http::{client::Client, limit::Limit, secret::Secret, server::Server};
use pistachiolug_kernel::{
    dump::Dump,
    kernel::{self, Kernel},
    registry,
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
    let force = kernel.register("lists", Force::default());
    let force = force.context(RegistrySnafu)?;
    let client = Client::new(IDLE_CONNECTIONS);
    let engine = engine::http::Http::new(client.clone(), &backend.address);
    let service = plain::Http::new(Client::new(0), &backend.address);
    let store = Etcd::new(client.clone(), &settings.platform.key_value);
    let origin = source::Http::new(client.clone(), &settings.platform.origin);
    add_parts(&kernel.dump, &force);
    let door = Door {
        admin: kernel.admin(),
        secret,
        calls: Calls::new(engine.clone(), service),
    };
    let server =
        Server::bind(settings.internal, THREADS, Limit::default(), door).context(IoSnafu)?;
    let supervisor = &kernel.supervisor;
    supervisor.spawn("lists", reader::run(store, force.clone()));
    if backend.kind == Kind::Model {
        supervisor.spawn(
            "weights",
            weights::run(backend.service.clone(), force, engine, origin),
        );
    }
    log::info!(instance = settings.instance.as_str(), address:% = server.address(); "agent runs");
    let drain = Duration::from_millis(settings.calls.drain_ms.into());
    let ended = kernel.run(drain, || server.active() == 0).await;
    server.stop();
    ended.context(KernelSnafu)
}

fn add_parts(dump: &Dump, force: &Force) {
    let force = force.clone();
    dump.add("lists_revision", move || json!(force.now().revision()));
}
