//! Background services: a panic in one is reported and takes the process down in order.

use std::future::Future;

use crate::phase::{Control, Phase};

/// Runs background services of one process.
#[derive(Debug, Clone, Default)]
pub struct Supervisor {
    control: Control,
}

impl Supervisor {
    /// Creates a supervisor that moves `control` when a service fails.
    pub fn new(control: Control) -> Self {
        Self { control }
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
        let control = self.control.clone();
        let task = tokio::spawn(service);
        tokio::spawn(async move {
            let failed = task.await.is_err();
            if failed {
                log::error!(service = name; "service panicked, shutting down");
            } else if control.now() < Phase::Draining {
                log::error!(service = name; "service ended early, shutting down");
            }
            if failed || control.now() < Phase::Draining {
                control.advance(Phase::Draining);
            }
        });
    }
}
