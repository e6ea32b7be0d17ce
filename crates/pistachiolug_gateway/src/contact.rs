//! Whether a server that has requests of this entry sends anything.

use std::time::Duration;

/// Time without data after a request was sent from which a server counts as silent. A sound engine sends first events or
/// further ones of some request each pass, which takes less than that.
const SILENCE: Duration = Duration::from_millis(500);

/// Open requests of this entry up to which a silent server gets more: one may be alone in a pause, and a further one shows
/// whether the server goes on.
const MAX_SILENT_CALLS: u32 = 2;

/// Contact with one server; times are those of the process's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct Contact {
    /// When the first request was sent after the last data arrived; `None` if none was.
    asked_at: Option<Duration>,
}

impl Contact {
    /// Records that a request is sent to the server.
    pub fn record_request(&mut self, now: Duration) {
        self.asked_at.get_or_insert(now);
    }

    /// Records that data has arrived from the server.
    pub fn record_data(&mut self) {
        self.asked_at = None;
    }

    /// Returns whether the server may get one more request beside `calls` open ones of this entry.
    pub fn may_send(&self, calls: u32, now: Duration) -> bool {
        let is_silent = self
            .asked_at
            .is_some_and(|asked_at| now >= asked_at + SILENCE);
        !is_silent || calls < MAX_SILENT_CALLS
    }
}
