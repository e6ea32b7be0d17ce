//! Throughput of a backend server: cost units it works off a second when all its slots are busy.

use std::time::Duration;

/// Shortest busy time that makes a sample.
const SAMPLE_TIME: Duration = Duration::from_secs(1);

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Estimator of the pace.
#[derive(Debug, Clone)]
pub struct Throughput {
    /// Units a second.
    rate: f64,
    /// Units worked off in the current sample.
    units: u64,
    /// Busy time of the current sample.
    busy: Duration,
    /// Since when all slots are busy, if they are.
    since: Option<Duration>,
}

impl Throughput {
    /// Creates an estimator that assumes `rate` units a second at first.
    pub fn new(rate: f64) -> Self {
        Self {
            rate: rate.max(f64::MIN_POSITIVE),
            units: 0,
            busy: Duration::ZERO,
            since: None,
        }
    }

    /// Returns the units a second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Counts units that were worked off.
    pub fn record_units(&mut self, units: u64) {
        if self.since.is_some() {
            self.units += units;
        }
    }

    /// Notes whether all slots are busy from now on.
    pub fn set_busy(&mut self, busy: bool, now: Duration) {
        if let Some(since) = self.since.take() {
            self.busy += now.saturating_sub(since);
        }
        self.since = busy.then_some(now);
        if self.busy >= SAMPLE_TIME {
            self.sample();
        }
    }

    fn sample(&mut self) {
        let sample = self.units as f64 / self.busy.as_secs_f64();
        if self.units > 0 {
            self.rate += SAMPLE_WEIGHT * (sample - self.rate);
        }
        self.units = 0;
        self.busy = Duration::ZERO;
    }
}
