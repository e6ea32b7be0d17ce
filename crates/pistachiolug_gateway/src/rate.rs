//! Rate at which places at servers come free or are taken.

use std::time::Duration;

/// Window over which the rate is measured.
const WINDOW: Duration = Duration::from_millis(500);

/// Weight of a new window.
const WEIGHT: f64 = 0.4;

/// Rate at which places are assumed to come free at first, per second.
pub const INITIAL_PER_SECOND: f64 = 20.0;

/// Estimator of the rate.
#[derive(Debug)]
pub struct Rate {
    per_second: f64,
    /// Places counted in the running window.
    counted: u32,
    /// Start of the running window.
    since: Duration,
}

impl Rate {
    /// Creates an estimator that assumes a rate at first.
    pub fn new(now: Duration, per_second: f64) -> Self {
        Self {
            per_second,
            counted: 0,
            since: now,
        }
    }

    /// Returns the places a second.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Returns the places a second, less the longer none has been counted.
    pub fn decayed_per_second(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.since);
        if since < WINDOW {
            return self.per_second;
        }
        let windows = since.as_secs_f64() / WINDOW.as_secs_f64();
        let kept = (1.0 - WEIGHT).powf(windows);
        let sample = f64::from(self.counted) / since.as_secs_f64();
        self.per_second * kept + sample * (1.0 - kept)
    }

    /// Counts a place.
    pub fn count(&mut self, now: Duration) {
        self.counted += 1;
        let window = now.saturating_sub(self.since);
        if window >= WINDOW {
            let sample = f64::from(self.counted) / window.as_secs_f64();
            self.per_second += WEIGHT * (sample - self.per_second);
            self.counted = 0;
            self.since = now;
        }
    }
}
