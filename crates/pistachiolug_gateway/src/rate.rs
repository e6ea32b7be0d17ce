//! Estimate of the rate at which server slots become free or are taken.

use std::time::Duration;

/// Shortest window over which the rate is measured.
const WINDOW: Duration = Duration::from_millis(500);

/// Weight of the newest window in the moving average.
const WEIGHT: f64 = 0.4;

/// Initial estimate of the slots that become free per second.
pub const INITIAL_PER_SECOND: f64 = 20.0;

/// Moving average of a rate of slots.
#[derive(Debug)]
pub struct Rate {
    per_second: f64,
    /// Slots counted in the current window.
    window_count: u32,
    /// Start of the current window.
    window_start: Duration,
}

impl Rate {
    /// Creates an estimator with an initial rate per second.
    pub fn new(now: Duration, per_second: f64) -> Self {
        Self {
            per_second,
            window_count: 0,
            window_start: now,
        }
    }

    /// Returns the rate per second as of the last full window.
    pub fn per_second(&self) -> f64 {
        self.per_second
    }

    /// Returns the rate per second at `now`. It decays toward the rate of the current window once that is full, so that
    /// it falls while nothing is counted.
    pub fn decayed_per_second(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed < WINDOW {
            return self.per_second;
        }
        let windows = elapsed.as_secs_f64() / WINDOW.as_secs_f64();
        let kept = (1.0 - WEIGHT).powf(windows);
        let sample = f64::from(self.window_count) / elapsed.as_secs_f64();
        self.per_second * kept + sample * (1.0 - kept)
    }

    /// Counts one slot.
    pub fn count(&mut self, now: Duration) {
        self.window_count += 1;
        let elapsed = now.saturating_sub(self.window_start);
        if elapsed >= WINDOW {
            let sample = f64::from(self.window_count) / elapsed.as_secs_f64();
            self.per_second += WEIGHT * (sample - self.per_second);
            self.window_count = 0;
            self.window_start = now;
        }
    }
}
