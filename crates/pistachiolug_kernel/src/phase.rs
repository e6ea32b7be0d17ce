//! Life phases of a process, which every service can watch.

use tokio::sync::watch;

/// Phase of a process's life; it only moves forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Started, not yet ready.
    Starting,
    /// Takes calls.
    Running,
    /// Not ready for new calls; finishes those it has.
    Draining,
    /// Ends now.
    Stopped,
}

impl Phase {
    /// Returns the phase's name for dumps and logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Running => "running",
            Self::Draining => "draining",
            Self::Stopped => "stopped",
        }
    }
}

/// Moves a process through its phases; clones share them.
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
    /// Moves to a later phase; earlier ones are ignored.
    pub fn advance(&self, to: Phase) {
        self.sender.send_if_modified(|phase| {
            let later = to > *phase;
            if later {
                *phase = to;
            }
            later
        });
    }

    /// Returns the phase of now.
    pub fn phase(&self) -> Phase {
        *self.sender.borrow()
    }

    /// Waits until the process is at least in a phase.
    pub async fn wait_for(&self, phase: Phase) {
        let mut receiver = self.sender.subscribe();
        // An error means that all senders are gone, which `self` prevents.
        let _ = receiver.wait_for(|now| *now >= phase).await;
    }
}
