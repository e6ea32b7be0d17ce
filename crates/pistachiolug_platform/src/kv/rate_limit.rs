//! Rate budget and backoff of one process's calls. Pure: time and randomness are arguments.

use std::time::Duration;

/// Kind of a call, which decides its budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Read or watch.
    Read,
    /// Write or lease.
    Write,
}

/// Bounds of one process.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Reads and watches a second.
    pub reads_per_second: f64,
    /// Writes a second.
    pub writes_per_second: f64,
    /// Calls of each kind that may come at once after a quiet time.
    pub burst: f64,
    /// First time without calls after a failure.
    pub initial_backoff: Duration,
    /// Longest time without calls after failures in a row.
    pub max_backoff: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            reads_per_second: 20.0,
            writes_per_second: 16.0,
            burst: 16.0,
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(2),
        }
    }
}

/// State of the budget; all times since the same start.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    settings: Settings,
    reads: Bucket,
    writes: Bucket,
    /// Failures since the last success.
    failures: u32,
    /// No call goes out before this time.
    paused_until: Duration,
}

#[derive(Debug, Clone)]
struct Bucket {
    per_second: f64,
    most: f64,
    left: f64,
    at: Duration,
}

impl RateLimiter {
    /// Creates a full budget.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            reads: Bucket::new(settings.reads_per_second, settings.burst),
            writes: Bucket::new(settings.writes_per_second, settings.burst),
            failures: 0,
            paused_until: Duration::ZERO,
        }
    }

    /// Takes one call from the budget, or returns the time until one may go out.
    ///
    /// # Errors
    /// The time to wait.
    pub fn acquire(&mut self, kind: CallKind, now: Duration) -> Result<(), Duration> {
        if let Some(wait) = self
            .paused_until
            .checked_sub(now)
            .filter(|it| !it.is_zero())
        {
            return Err(wait);
        }
        match kind {
            CallKind::Read => self.reads.take(now),
            CallKind::Write => self.writes.take(now),
        }
    }

    /// Notes that the service answered.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Notes a call without an answer; `share` from 0 to 1 moves the end of the quiet time.
    ///
    /// Calls that were under way together count as one failure: a quiet time that has begun is not made longer.
    pub fn record_failure(&mut self, now: Duration, share: f64) {
        if self.paused_until > now {
            return;
        }
        let doubled = self.settings.initial_backoff * 2_u32.saturating_pow(self.failures.min(16));
        let backoff = doubled.min(self.settings.max_backoff);
        self.failures += 1;
        self.paused_until = now + backoff.mul_f64(0.5 + share / 2.0);
    }
}

impl Bucket {
    fn new(per_second: f64, most: f64) -> Self {
        Self {
            per_second,
            most,
            left: most,
            at: Duration::ZERO,
        }
    }

    fn take(&mut self, now: Duration) -> Result<(), Duration> {
        let grown = now.saturating_sub(self.at).as_secs_f64() * self.per_second;
        self.left = (self.left + grown).min(self.most);
        self.at = self.at.max(now);
        if self.left >= 1.0 {
            self.left -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.left) / self.per_second))
    }
}
