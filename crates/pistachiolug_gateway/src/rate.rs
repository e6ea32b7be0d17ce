//! Rate at which places at servers come free.

use std::time::Duration;

/// Window over which the rate is measured.
const WINDOW: Duration = Duration::from_millis(500);

/// Weight of a new window.
const WEIGHT: f64 = 0.4;

/// Rate that is assumed at first, per second.
pub const FIRST: f64 = 20.0;

/// Estimator of the rate.
#[derive(Debug)]
pub struct Rate {
    per_second: f64,
    /// Places freed in the running window.
    freed: u32,
    /// Start of the running window.
    since: Duration,
}

impl Rate {
    /// Creates an estimator.
    pub fn new(now: Duration) -> Self {
        Self {
            per_second: FIRST,
            freed: 0,
            since: now,
        }
    }

    /// Returns the places that come free a second.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Counts a place that has come free.
    pub fn count(&mut self, now: Duration) {
        self.freed += 1;
        let window = now.saturating_sub(self.since);
        if window >= WINDOW {
            let sample = f64::from(self.freed) / window.as_secs_f64();
            self.per_second += WEIGHT * (sample - self.per_second);
            self.freed = 0;
            self.since = now;
        }
    }
}
