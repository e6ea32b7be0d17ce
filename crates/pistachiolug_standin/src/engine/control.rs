//! Faults of an engine that tests and experiments switch on.

use std::time::Duration;

use tokio::sync::watch;

/// Text in a prompt that makes the engine crash when the first token is due.
pub const CRASH_MARKER: &str = "crash-the-server";

/// Tells whether a prompt contains the text that makes the engine crash.
pub fn has_crash_marker(prompt: &[u8]) -> bool {
    let marker = CRASH_MARKER.as_bytes();
    prompt.windows(marker.len()).any(|part| part == marker)
}

/// Effect of a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashMode {
    /// Ends the process with code 101; for an engine that runs in a process of its own.
    Exit,
    /// Aborts all streams and drops the weights, as a crash with a quick restart does.
    Restart,
}

/// Faults in force at an engine; clones share them.
#[derive(Debug, Clone)]
pub struct Control {
    frozen: watch::Sender<bool>,
    /// Number of times that all streams were aborted, by a crash or on request.
    aborts: watch::Sender<u32>,
}

impl Default for Control {
    fn default() -> Self {
        Self {
            frozen: watch::Sender::new(false),
            aborts: watch::Sender::new(0),
        }
    }
}

impl Control {
    /// Freezes the engine, or lets it run again.
    pub fn set_frozen(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    /// Waits while the engine is frozen.
    pub async fn wait_until_thawed(&self) {
        let mut frozen = self.frozen.subscribe();
        // Fails only when the sender is dropped, and `self` holds the sender.
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }

    /// Aborts all streams that are open now.
    pub fn abort_streams(&self) {
        self.aborts.send_modify(|aborts| *aborts += 1);
    }

    /// Subscribes to the aborts of streams.
    pub fn subscribe_aborts(&self) -> watch::Receiver<u32> {
        self.aborts.subscribe()
    }

    /// Sleeps for `duration`, and then for as long as the engine is frozen.
    pub async fn sleep(&self, duration: Duration) {
        tokio::time::sleep(duration).await;
        self.wait_until_thawed().await;
    }
}
