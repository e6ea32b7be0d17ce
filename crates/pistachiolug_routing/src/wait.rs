//! Predicted wait of a call, and when its caller should come back.

use std::time::Duration;

/// Shortest advised time until a new attempt.
const RETRY_LEAST: Duration = Duration::from_secs(1);

/// Longest advised time until a new attempt.
const RETRY_MOST: Duration = Duration::from_secs(60);

/// Part of the advised time by which attempts are spread, so that refused callers don't return in step.
const RETRY_SPREAD: f64 = 0.25;

/// Work in front of a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Units of waiting calls that are served earlier.
    pub queued: u64,
    /// Units that running calls may still cost.
    pub owed: u64,
    /// Number of running calls.
    pub running: u32,
    /// Whether a slot is free, or will be freed for the call at once.
    pub has_free_slot: bool,
}

/// Predicts the time until a call starts, for a backend server that works off `rate` units a second.
///
/// Without a free slot the first running call to end is awaited: of n calls with evenly spread rests, the shortest rest
/// is about 2/(n+1) of the mean.
pub fn predict(ahead: &Backlog, rate: f64) -> Duration {
    if ahead.has_free_slot && ahead.queued == 0 {
        return Duration::ZERO;
    }
    let first_end = 2.0 * ahead.owed as f64 / f64::from(ahead.running + 1);
    let blocked = if ahead.has_free_slot { 0.0 } else { first_end };
    let seconds = (ahead.queued as f64 + blocked) / rate.max(f64::MIN_POSITIVE);
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// Advises when to come back: once the queue is short enough for the caller's time, spread by `random` in 0..1.
pub fn retry_after(wait: Duration, time_left: Duration, random: f64) -> Duration {
    let excess = wait.saturating_sub(time_left);
    let base = excess.clamp(RETRY_LEAST, RETRY_MOST);
    base.mul_f64(1.0 + RETRY_SPREAD * random)
}
