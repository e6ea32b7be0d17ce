//! Backoff of a backend server: the time for which it has asked for no requests.
//!
//! The server has asked for it, so it is no failure, and only a restart of the server ends it early.

use std::time::Duration;

/// Longest backoff that is kept. After it a server that asked for more is tried again, so that a wrong value does not
/// take it out of service until its restart.
pub const MAX_BACKOFF: Duration = Duration::from_secs(600);

/// Time after which another request probes a server if the former one was not answered.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(300);

/// Parses the value of a `Retry-After` header in seconds, which may have a fraction; `None` if it is anything else, such
/// as a date.
pub fn parse_retry_after(value: &str) -> Option<Duration> {
    let value = value.trim();
    if !value
        .bytes()
        .all(|byte| byte.is_ascii_digit() || byte == b'.')
    {
        return None;
    }
    let seconds: f64 = value.parse().ok()?;
    Some(Duration::from_secs_f64(
        seconds.min(MAX_BACKOFF.as_secs_f64()),
    ))
}

/// Backoff of one incarnation of a server; times are those of the process's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct Backoff {
    /// End of the backoff; `None` if there was none, or if the server has answered a request since.
    until: Option<Duration>,
    /// When a request was last sent after the end of the backoff.
    probed_at: Option<Duration>,
}

impl Backoff {
    /// Begins or extends the backoff; an earlier end does not replace a later one. Returns whether it begins.
    pub fn extend(&mut self, retry_after: Duration, now: Duration) -> bool {
        if retry_after.is_zero() {
            return false;
        }
        let begins = !self.is_active(now);
        let until = now + retry_after.min(MAX_BACKOFF);
        self.until = self.until.max(Some(until));
        self.probed_at = None;
        begins
    }

    /// Returns the time left; `None` if the server may get requests.
    pub fn time_left(&self, now: Duration) -> Option<Duration> {
        let left = self.until?.saturating_sub(now);
        (!left.is_zero()).then_some(left)
    }

    /// Returns whether the server wants no requests.
    pub fn is_active(&self, now: Duration) -> bool {
        self.time_left(now).is_some()
    }

    /// Returns whether a request may be sent now. After the end of the backoff each entry sends one request at a time
    /// until the server has answered one: all entries come back at that moment.
    pub fn may_send(&self, now: Duration) -> bool {
        let is_probed = self
            .probed_at
            .is_some_and(|probed_at| now < probed_at + PROBE_INTERVAL);
        !self.is_active(now) && !is_probed
    }

    /// Records that a request was assigned to the server.
    pub fn record_assignment(&mut self, now: Duration) {
        if self.until.is_some() {
            self.probed_at = Some(now);
        }
    }

    /// Records that the server answered a request that was assigned at `assigned_at`.
    pub fn record_answer(&mut self, assigned_at: Duration) {
        if self.until.is_some_and(|until| until <= assigned_at) {
            *self = Self::default();
        }
    }
}
