//! Supervisor of the background services: a failed service or a panic in any thread starts the ordered shutdown.

use std::{
    future::Future,
    panic,
    sync::{Arc, Mutex, PoisonError},
};

use crate::phase::{Control, Phase};

/// Supervisor of the background services of one process; clones share the first failure and the phase.
#[derive(Debug, Clone, Default)]
pub struct Supervisor {
    control: Control,
    /// Description of the first failure; later failures do not replace it.
    failure: Arc<Mutex<Option<String>>>,
}

impl Supervisor {
    /// Creates a supervisor that moves `control` to [`Phase::Draining`] when a service fails.
    pub fn new(control: Control) -> Self {
        Self {
            control,
            failure: Arc::default(),
        }
    }

    /// Returns the control of the process's phase.
    pub fn control(&self) -> &Control {
        &self.control
    }

    /// Runs a service in the background until the process stops.
    ///
    /// If the service panics, or ends before the process drains, the ordered shutdown starts.
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

    /// Installs a panic hook that logs each panic of this process and starts the ordered shutdown.
    ///
    /// This covers panics that [`Supervisor::spawn`] does not see: in tasks of single calls and in threads of the
    /// server. Without the hook, the process would continue with some of its parts missing.
    pub fn watch_panics(&self) {
        let supervisor = self.clone();
        panic::set_hook(Box::new(move |info| {
            let location = info.location().map(ToString::to_string);
            let location = location.unwrap_or_default();
            // The panic message is not logged, because it may contain content of a caller's request.
            log::error!(place = location.as_str(); "a thread or task panicked");
            supervisor.fail(format!("panic at {location}"));
        }));
    }

    /// Logs a failure after which the process can't continue, records it if it is the first, and starts the ordered
    /// shutdown.
    pub fn fail(&self, reason: String) {
        log::error!(reason = reason.as_str(); "shutting down after a failure");
        let mut failure = self.failure.lock().unwrap_or_else(PoisonError::into_inner);
        failure.get_or_insert(reason);
        drop(failure);
        self.control.advance(Phase::Draining);
    }

    /// Returns the description of the first failure; `None` without one. After a failure the process ends with a
    /// non-zero exit code.
    pub fn failure(&self) -> Option<String> {
        let failure = self.failure.lock().unwrap_or_else(PoisonError::into_inner);
        failure.clone()
    }
}
