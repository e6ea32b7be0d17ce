//! Micro-kernel of one process: what every daemon starts from.

use std::{io, time::Duration};

use prometheus::Registry as Metrics;
use serde_json::json;
use snafu::{ResultExt, Snafu};
use tokio::time;

use crate::{
    admin::Admin,
    dump::{self, Dump},
    phase::{Control, Phase},
    registry::{self, Registry},
    signal,
    supervisor::Supervisor,
    timer::Timer,
};

/// Interval at which a draining process looks whether its calls have ended.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Longest drain after a failure: a part that has failed may keep calls open for good.
const FAILED_DRAIN: Duration = Duration::from_secs(30);

/// Reports why a process ended before it was told to.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// Signals could not be handled.
    #[snafu(display("signals: {source}"))]
    Signal {
        /// Cause.
        source: io::Error,
    },
    /// A service failed; the process has drained since.
    #[snafu(display("{reason}"))]
    Failed {
        /// What failed first.
        reason: String,
    },
}

/// Kernel of one process; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Kernel {
    /// Services by name.
    pub services: Registry,
    /// Background tasks.
    pub supervisor: Supervisor,
    /// Parts of the state dump.
    pub dump: Dump,
    /// Metrics.
    pub metrics: Metrics,
    /// Timer that services subscribe to.
    pub timer: Timer,
}

impl Kernel {
    /// Starts a kernel: its timer runs and panics take the process down in order.
    pub fn start(instance: &str) -> Self {
        let kernel = Self::default();
        kernel.supervisor.watch_panics();
        kernel.supervisor.spawn("timer", kernel.timer.clone().run());
        kernel.add_parts(instance);
        kernel
    }

    /// Returns the phases of the process.
    pub fn control(&self) -> &Control {
        self.supervisor.control()
    }

    /// Returns what every internal port serves.
    pub fn admin(&self) -> Admin {
        Admin {
            control: self.control().clone(),
            dump: self.dump.clone(),
            metrics: self.metrics.clone(),
        }
    }

    /// Registers a service's handle under a name and returns it.
    ///
    /// # Errors
    /// [`registry::Error::Taken`].
    pub fn register<T>(&self, name: &'static str, handle: T) -> Result<T, registry::Error>
    where
        T: Clone + Send + Sync + 'static,
    {
        self.services.register(name, handle.clone())?;
        Ok(handle)
    }

    /// Finds a service by name; call it at start and keep the handle.
    ///
    /// # Errors
    /// [`registry::Error::Missing`] and [`registry::Error::WrongType`].
    pub fn find<T>(&self, name: &str) -> Result<T, registry::Error>
    where
        T: Clone + Send + Sync + 'static,
    {
        self.services.find(name)
    }

    /// Runs the process: ready until a signal or a failure, then drains until `idle` or `drain` has passed.
    ///
    /// # Errors
    /// [`Error::Failed`] after a failure, once the process has drained.
    pub async fn run(&self, drain: Duration, idle: impl Fn() -> bool) -> Result<(), Error> {
        self.run_after(std::future::ready(()), drain, idle).await
    }

    /// Runs the process as [`Kernel::run`] does, but not ready before `ready` ends.
    ///
    /// # Errors
    /// [`Error::Failed`] after a failure, once the process has drained.
    pub async fn run_after(
        &self,
        ready: impl Future<Output = ()>,
        drain: Duration,
        idle: impl Fn() -> bool,
    ) -> Result<(), Error> {
        let control = self.control();
        let serve = async {
            ready.await;
            control.advance(Phase::Running);
            log::info!("ready");
            std::future::pending::<()>().await;
        };
        let stopped = tokio::select! {
            stopped = signal::wait_for_stop() => stopped,
            () = control.wait_for(Phase::Draining) => Ok(()),
            () = serve => Ok(()),
        };
        control.advance(Phase::Draining);
        log::info!("draining");
        self.drain(drain, idle).await;
        control.advance(Phase::Stopped);
        log::info!("stopped");
        stopped.context(SignalSnafu)?;
        match self.supervisor.failure() {
            Some(reason) => FailedSnafu { reason }.fail(),
            None => Ok(()),
        }
    }

    /// Waits until `idle` or until the time for it has passed, which a failure shortens.
    async fn drain(&self, within: Duration, idle: impl Fn() -> bool) {
        let start = time::Instant::now();
        while !idle() {
            let failed = self.supervisor.failure().is_some();
            let within = if failed {
                within.min(FAILED_DRAIN)
            } else {
                within
            };
            if start.elapsed() >= within {
                log::warn!("drain deadline passed with calls still running");
                return;
            }
            time::sleep(DRAIN_INTERVAL).await;
        }
    }

    fn add_parts(&self, instance: &str) {
        let instance = instance.to_owned();
        self.dump.add("instance", move || json!(instance));
        self.dump.add("traffic", dump::render_traffic);
        self.dump
            .add("version", || json!(env!("CARGO_PKG_VERSION")));
        let control = self.control().clone();
        self.dump
            .add("phase", move || json!(control.phase().as_str()));
        let services = self.services.clone();
        self.dump.add("services", move || json!(services.names()));
        let supervisor = self.supervisor.clone();
        self.dump
            .add("failure", move || json!(supervisor.failure()));
    }
}
