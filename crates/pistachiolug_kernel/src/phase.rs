//! Phases of a process from start to stop, which every service can read and wait for.

use tokio::sync::watch;

/// Phase of a process; it only moves forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Started, not yet ready.
    Starting,
    /// Ready for calls.
    Running,
    /// No longer ready for new calls; finishes the running ones.
    Draining,
    /// About to exit.
    Stopped,
}

impl Phase {
    /// Returns the name of the phase, as state dumps and the readiness path show it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Running => "running",
            Self::Draining => "draining",
            Self::Stopped => "stopped",
        }
    }
}

/// Handle that reads and advances the phase of a process; clones share the phase.
#[derive(Debug, Clone)]
pub struct Control {
    sender: watch::Sender<Phase>,
}

impl Default for Control {
    fn default() -> Self {
        Self {
            sender: watch::Sender::new(Phase::Starting),
        }
    }
}

impl Control {
    /// Moves the process to a later phase; an earlier one is ignored.
    pub fn advance(&self, target: Phase) {
        self.sender.send_if_modified(|phase| {
            let is_later = target > *phase;
            if is_later {
                *phase = target;
            }
            is_later
        });
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.sender.borrow()
    }

    /// Waits until the process has reached a phase or a later one.
    pub async fn wait_for(&self, phase: Phase) {
        let mut receiver = self.sender.subscribe();
        // An error would mean that all senders were dropped, but `self` holds one.
        let _ = receiver.wait_for(|current| *current >= phase).await;
    }
}
