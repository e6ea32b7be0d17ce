//! Micro-kernel of one process, with which every daemon starts, runs and stops.

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

/// Interval at which a draining process checks whether its calls have ended.
const DRAIN_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum duration of a drain after a failure, because a failed service may keep calls open forever.
const MAX_DRAIN_AFTER_FAILURE: Duration = Duration::from_secs(30);

/// Reason why a process ended with an error.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The signal handlers could not be installed.
    #[snafu(display("could not install signal handlers: {source}"))]
    Signal {
        /// Error of the operating system.
        source: io::Error,
    },
    /// A service failed or a thread panicked; the process was then shut down in order.
    #[snafu(display("{reason}"))]
    Failed {
        /// Description of the first failure.
        reason: String,
    },
}

/// Kernel of one process; clones share it.
#[derive(Debug, Clone, Default)]
pub struct Kernel {
    /// Handles of the services by name.
    pub services: Registry,
    /// Supervisor of the background services.
    pub supervisor: Supervisor,
    /// State dump of the process.
    pub dump: Dump,
    /// Registry of the process's metrics.
    pub metrics: Metrics,
    /// Timer that services subscribe to for periodic work.
    pub timer: Timer,
}

impl Kernel {
    /// Starts the kernel of an instance: runs its timer and starts the ordered shutdown on any panic.
    pub fn start(instance: &str) -> Self {
        let kernel = Self::default();
        kernel.supervisor.watch_panics();
        kernel.supervisor.spawn("timer", kernel.timer.clone().run());
        kernel.add_dump_parts(instance);
        kernel
    }

    /// Returns the control of the process's phase.
    pub fn control(&self) -> &Control {
        self.supervisor.control()
    }

    /// Returns the handler of the paths that every internal port serves.
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
    /// [`registry::Error::Taken`] if a service is already registered under the name.
    pub fn register<T>(&self, name: &'static str, handle: T) -> Result<T, registry::Error>
    where
        T: Clone + Send + Sync + 'static,
    {
        self.services.register(name, handle.clone())?;
        Ok(handle)
    }

    /// Finds a service by name. Callers do this once at start and keep the handle.
    ///
    /// # Errors
    /// [`registry::Error::Missing`] if no service has the name, [`registry::Error::WrongType`] if its handle is not a
    /// `T`.
    pub fn find<T>(&self, name: &str) -> Result<T, registry::Error>
    where
        T: Clone + Send + Sync + 'static,
    {
        self.services.find(name)
    }

    /// Runs the process until a stop signal or a failure, then drains it until `is_idle` holds or `max_drain` has
    /// passed.
    ///
    /// # Errors
    /// [`Error::Failed`] after a failure, once the process has drained; [`Error::Signal`] if the signal handlers can't
    /// be installed.
    pub async fn run(&self, max_drain: Duration, is_idle: impl Fn() -> bool) -> Result<(), Error> {
        self.run_after(std::future::ready(()), max_drain, is_idle)
            .await
    }

    /// Runs the process as [`Kernel::run`] does, but reports it as ready only after `startup` has ended.
    ///
    /// # Errors
    /// As [`Kernel::run`].
    pub async fn run_after(
        &self,
        startup: impl Future<Output = ()>,
        max_drain: Duration,
        is_idle: impl Fn() -> bool,
    ) -> Result<(), Error> {
        let control = self.control();
        let serve = async {
            startup.await;
            control.advance(Phase::Running);
            log::info!("process is ready");
            std::future::pending::<()>().await;
        };
        let signal_result = tokio::select! {
            result = signal::wait_for_stop() => result,
            () = control.wait_for(Phase::Draining) => Ok(()),
            () = serve => Ok(()),
        };
        control.advance(Phase::Draining);
        log::info!("process is draining");
        self.drain(max_drain, is_idle).await;
        control.advance(Phase::Stopped);
        log::info!("process has stopped");
        signal_result.context(SignalSnafu)?;
        match self.supervisor.failure() {
            Some(reason) => FailedSnafu { reason }.fail(),
            None => Ok(()),
        }
    }

    /// Waits until `is_idle` holds, but at most `max_drain`, or [`MAX_DRAIN_AFTER_FAILURE`] if that is less and a
    /// service has failed.
    async fn drain(&self, max_drain: Duration, is_idle: impl Fn() -> bool) {
        let start = time::Instant::now();
        while !is_idle() {
            let failed = self.supervisor.failure().is_some();
            let max_drain = if failed {
                max_drain.min(MAX_DRAIN_AFTER_FAILURE)
            } else {
                max_drain
            };
            if start.elapsed() >= max_drain {
                log::warn!("drain deadline passed while calls were still running");
                return;
            }
            time::sleep(DRAIN_INTERVAL).await;
        }
    }

    fn add_dump_parts(&self, instance: &str) {
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
