//! Predicted queueing time of a call, and the time after which a refused caller should try again.

use std::time::Duration;

/// Shortest time that a caller is told to wait before a new attempt.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time that a caller is told to wait before a new attempt, without the jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(60);

/// Largest jitter as a fraction of the time, so that refused callers don't all return at once.
const RETRY_JITTER: f64 = 0.25;

/// Work that a backend server does before a call starts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Cost units of the waiting calls that are served earlier.
    pub queued: u64,
    /// Estimated cost units that are left of the running calls.
    pub owed: u64,
    /// Number of running calls.
    pub running: u32,
    /// Whether a slot is free, or a run can be paused at once to free one.
    pub has_free_slot: bool,
}

/// Predicts the time until a call starts.
///
/// Without a free slot, the call waits until the first of the running calls ends. If the remaining costs of n running
/// calls are uniformly distributed, the smallest of them is about 2/(n+1) of the mean. As the calls share the rate,
/// this takes 2/(n+1) of the time for all of the remaining units.
///
/// # Arguments
/// `rate` is the throughput of the backend server in units a second.
pub fn predict(backlog: &Backlog, rate: f64) -> Duration {
    if backlog.has_free_slot && backlog.queued == 0 {
        return Duration::ZERO;
    }
    let until_first_end = 2.0 * backlog.owed as f64 / f64::from(backlog.running + 1);
    let until_slot = if backlog.has_free_slot {
        0.0
    } else {
        until_first_end
    };
    let seconds = (backlog.queued as f64 + until_slot) / rate.max(f64::MIN_POSITIVE);
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// Returns the time after which a refused caller should try again.
///
/// By then the queue is expected to be short enough for a call with as much time left as the refused one had.
///
/// # Arguments
/// `wait` is the predicted wait and `time_left` the time in which the call had to start; `random` in 0..1 sets the
/// jitter.
pub fn retry_after(wait: Duration, time_left: Duration, random: f64) -> Duration {
    let excess = wait.saturating_sub(time_left);
    let base = excess.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
    base.mul_f64(1.0 + RETRY_JITTER * random)
}
