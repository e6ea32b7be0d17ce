//! Start and stop of an agent.

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
use pistachiolug_ledger::memory::Memory;
use pistachiolug_lists::{force::Force, reader};
use pistachiolug_platform::{engine, kv::etcd::Etcd, plain, source};
use pistachiolug_routing::schedule::Capacity;
use pistachiolug_settings::daemon::{Backend, Daemon, Kind};
use serde_json::json;
use snafu::{OptionExt, ResultExt, Snafu};

use crate::{
    calls::{Calls, Options, Parts},
    door::Door,
    metrics::Metrics,
    peers::Peers,
    serving::Serving,
    weights,
};

/// Idle connections kept per peer.
const IDLE_CONNECTIONS: usize = 64;

/// Worker threads of the internal port.
const THREADS: usize = 1;

/// Interval at which a draining process looks whether its calls have ended.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Largest number of waiting calls.
const QUEUE_CALLS: usize = 4096;

/// Largest total size of waiting and running calls in bytes.
const QUEUE_BYTES: usize = 64 << 20;

/// Calls that one slot of a plain service is taken to finish a second, until measured.
const PLAIN_CALLS_PER_SECOND: f64 = 10.0;

/// Reports an agent that could not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The settings name no backend server.
    #[snafu(display("settings lack `backend`"))]
    NoBackend,
    /// The metrics could not be registered.
    #[snafu(display("{source}"))]
    Metrics {
        /// Cause.
        source: prometheus::Error,
    },
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
    let metrics = prometheus::Registry::new();
    let serving = Serving::new(engine.clone());
    let parts = Parts {
        engine: engine.clone(),
        serving: serving.clone(),
        service,
        claims: Memory::default(),
        force: force.clone(),
        peers: Peers::new(client.clone(), secret.clone()),
        metrics: Metrics::new(&metrics).context(MetricsSnafu)?,
    };
    let calls = Calls::new(options(&settings, &backend), parts);
    let dumped = calls.clone();
    dump.add("calls", move || dumped.dump());
    let door = Door {
        admin: Admin {
            control: control.clone(),
            dump,
            metrics,
        },
        secret,
        calls: calls.clone(),
    };
    let server =
        Server::bind(settings.internal, THREADS, Limit::default(), door).context(IoSnafu)?;
    supervisor.spawn("lists", reader::run(store, force.clone()));
    let timer = Timer::default();
    supervisor.spawn("timer", timer.clone().run());
    supervisor.spawn("calls", calls.clone().run(timer.clone()));
    if backend.kind == Kind::Model {
        supervisor.spawn("engine", serving.run(timer));
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
    calls.leave();
    let drain = Duration::from_millis(settings.calls.drain_ms.into());
    calls.drain(drain).await;
    while server.active() > 0 {
        tokio::time::sleep(DRAIN_INTERVAL).await;
    }
    control.advance(Phase::Stopped);
    server.stop();
    Ok(())
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
        incarnation: rand::random(),
        service: backend.service.clone(),
        model,
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

fn add_parts(dump: &Dump, settings: &Daemon, force: &Force) {
    let instance = settings.instance.clone();
    dump.add("instance", move || json!(instance));
    let force = force.clone();
    dump.add("lists_revision", move || json!(force.now().revision()));
}
