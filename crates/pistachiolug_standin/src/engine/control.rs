//! Orders that make an engine misbehave.

use std::time::Duration;

use tokio::sync::watch;

/// Text in a prompt that crashes the engine when the first token is due.
pub const CRASH_MARKER: &str = "crash-the-server";

/// Tells whether a prompt crashes the engine.
pub fn has_crash_marker(prompt: &[u8]) -> bool {
    let marker = CRASH_MARKER.as_bytes();
    prompt.windows(marker.len()).any(|part| part == marker)
}

/// What a crash does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashMode {
    /// Ends the process; for an engine that is a process of its own.
    Exit,
    /// Cuts all streams and forgets the weights, as a quick restart does.
    Restart,
}

/// State of misbehaviour; clones share it.
#[derive(Debug, Clone)]
pub struct Control {
    frozen: watch::Sender<bool>,
    /// Number of crashes so far; streams of an earlier one are cut.
    crashes: watch::Sender<u32>,
}

impl Default for Control {
    fn default() -> Self {
        Self {
            frozen: watch::Sender::new(false),
            crashes: watch::Sender::new(0),
        }
    }
}

impl Control {
    /// Freezes or thaws the engine.
    pub fn set_frozen(&self, frozen: bool) {
        self.frozen.send_replace(frozen);
    }

    /// Waits while the engine is frozen.
    pub async fn wait_until_thawed(&self) {
        let mut frozen = self.frozen.subscribe();
        // The sender lives in `self`.
        let _ = frozen.wait_for(|frozen| !frozen).await;
    }

    /// Counts a crash.
    pub fn crash(&self) {
        self.crashes.send_modify(|crashes| *crashes += 1);
    }

    /// Subscribes to crashes from now on.
    pub fn crashes(&self) -> watch::Receiver<u32> {
        self.crashes.subscribe()
    }

    /// Sleeps while the engine is not frozen.
    pub async fn sleep(&self, time: Duration) {
        tokio::time::sleep(time).await;
        self.wait_until_thawed().await;
    }
}
