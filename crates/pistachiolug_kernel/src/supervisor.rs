//! Background services: a panic anywhere in the process is reported and takes it down in order.

use std::{
    future::Future,
    panic,
    sync::{Arc, Mutex, PoisonError},
};

use crate::phase::{Control, Phase};

/// Runs background services of one process; clones share them.
#[derive(Debug, Clone, Default)]
pub struct Supervisor {
    control: Control,
    /// What failed first; set at most once.
    failure: Arc<Mutex<Option<String>>>,
}

impl Supervisor {
    /// Creates a supervisor that moves `control` when a service fails.
    pub fn new(control: Control) -> Self {
        Self {
            control,
            failure: Arc::default(),
        }
    }

    /// Returns the phases that this supervisor moves.
    pub fn control(&self) -> &Control {
        &self.control
    }

    /// Runs a service until the process stops.
    ///
    /// A panic, or an end before the process drains, starts the ordered shutdown.
    pub fn spawn<F>(&self, name: &'static str, service: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let supervisor = self.clone();
        let task = tokio::spawn(service);
        tokio::spawn(async move {
            if task.await.is_err() {
                supervisor.fail(format!("service `{name}` panicked"));
            } else if supervisor.control.phase() < Phase::Draining {
                supervisor.fail(format!("service `{name}` ended early"));
            }
        });
    }

    /// Reports every panic of this process as a log line and starts the ordered shutdown on it.
    ///
    /// This covers what [`Supervisor::spawn`] does not see: tasks of single calls and threads of the server, whose
    /// death would leave the process half alive.
    pub fn watch_panics(&self) {
        let supervisor = self.clone();
        panic::set_hook(Box::new(move |info| {
            let place = info.location().map(ToString::to_string);
            let place = place.unwrap_or_default();
            // The panic's own text may hold a caller's content and stays out of the logs.
            log::error!(place = place.as_str(); "panicked");
            supervisor.fail(format!("panic at {place}"));
        }));
    }

    /// Reports a failure that the process can't live with and starts the ordered shutdown.
    pub fn fail(&self, reason: String) {
        log::error!(reason = reason.as_str(); "shutting down after a failure");
        let mut failure = self.failure.lock().unwrap_or_else(PoisonError::into_inner);
        failure.get_or_insert(reason);
        drop(failure);
        self.control.advance(Phase::Draining);
    }

    /// Returns what failed first; a process with a failure ends with a non-zero exit code.
    pub fn failure(&self) -> Option<String> {
        let failure = self.failure.lock().unwrap_or_else(PoisonError::into_inner);
        failure.clone()
    }
}
