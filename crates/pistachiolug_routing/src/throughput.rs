//! Throughput of a backend server: cost units that it completes a second while all its slots are busy.

use std::time::Duration;

/// Busy time after which a sample is taken.
const MIN_SAMPLE_TIME: Duration = Duration::from_secs(1);

/// Weight of a new sample in the moving average.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Throughput as an exponentially weighted moving average.
///
/// Only times with all slots busy are sampled; at other times the throughput is limited by the arrivals.
#[derive(Debug, Clone)]
pub struct Throughput {
    /// Average in units a second.
    rate: f64,
    /// Units completed in the current sample.
    sample_units: u64,
    /// Busy time in the current sample, without the time since `busy_since`.
    sample_time: Duration,
    /// Start of the time for which all slots have been busy; `None` while a slot is free.
    busy_since: Option<Duration>,
}

impl Throughput {
    /// Creates an average that starts at `rate` units a second.
    pub fn new(rate: f64) -> Self {
        Self {
            rate: rate.max(f64::MIN_POSITIVE),
            sample_units: 0,
            sample_time: Duration::ZERO,
            busy_since: None,
        }
    }

    /// Returns the average in units a second; always positive.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    /// Records completed units; they count only while all slots are busy.
    pub fn record_units(&mut self, units: u64) {
        if self.busy_since.is_some() {
            self.sample_units += units;
        }
    }

    /// Sets whether all slots are busy from `now` on, and ends the sample if its busy time is long enough.
    pub fn set_busy(&mut self, is_busy: bool, now: Duration) {
        if let Some(since) = self.busy_since.take() {
            self.sample_time += now.saturating_sub(since);
        }
        self.busy_since = is_busy.then_some(now);
        if self.sample_time >= MIN_SAMPLE_TIME {
            self.finish_sample();
        }
    }

    fn finish_sample(&mut self) {
        let sample_rate = self.sample_units as f64 / self.sample_time.as_secs_f64();
        if self.sample_units > 0 {
            self.rate += SAMPLE_WEIGHT * (sample_rate - self.rate);
        }
        self.sample_units = 0;
        self.sample_time = Duration::ZERO;
    }
}
