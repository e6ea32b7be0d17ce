//! Rate limit and backoff of the calls of one process. Pure: time and randomness are arguments.

use std::time::Duration;

/// Kind of a call; each kind has a rate limit of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Call that reads or watches.
    Read,
    /// Call that writes, or that grants or renews a lease.
    Write,
}

/// Limits of the calls of one process.
#[derive(Debug, Clone, Copy)]
pub struct Settings {
    /// Reads and watches per second.
    pub reads_per_second: f64,
    /// Writes and calls for leases per second.
    pub writes_per_second: f64,
    /// Number of calls of each kind that may be sent at once after a time without calls.
    pub burst: f64,
    /// Time without calls after the first failure.
    pub initial_backoff: Duration,
    /// Maximum time without calls after several failures in a row.
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

/// Rate limiter with two token buckets and a backoff; all times count from the same start.
#[derive(Debug, Clone)]
pub struct RateLimiter {
    settings: Settings,
    reads: Bucket,
    writes: Bucket,
    /// Number of failures since the last success.
    failures: u32,
    /// Time before which no call may be sent.
    paused_until: Duration,
}

/// Token bucket.
#[derive(Debug, Clone)]
struct Bucket {
    refill_per_second: f64,
    capacity: f64,
    tokens: f64,
    updated_at: Duration,
}

impl RateLimiter {
    /// Creates a limiter with full buckets.
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            reads: Bucket::new(settings.reads_per_second, settings.burst),
            writes: Bucket::new(settings.writes_per_second, settings.burst),
            failures: 0,
            paused_until: Duration::ZERO,
        }
    }

    /// Takes the permission for one call.
    ///
    /// # Errors
    /// Returns the time to wait until a call may be sent.
    pub fn acquire(&mut self, kind: CallKind, now: Duration) -> Result<(), Duration> {
        if let Some(wait) = self
            .paused_until
            .checked_sub(now)
            .filter(|wait| !wait.is_zero())
        {
            return Err(wait);
        }
        match kind {
            CallKind::Read => self.reads.take(now),
            CallKind::Write => self.writes.take(now),
        }
    }

    /// Records that the service answered, which resets the backoff.
    pub fn record_success(&mut self) {
        self.failures = 0;
    }

    /// Records a call without an answer and starts a backoff, which `jitter` from 0 to 1 makes 50 to 100 percent long.
    ///
    /// Concurrent calls count as one failure: a failure during a backoff does not extend it.
    pub fn record_failure(&mut self, now: Duration, jitter: f64) {
        if self.paused_until > now {
            return;
        }
        let doubled = self.settings.initial_backoff * 2_u32.saturating_pow(self.failures.min(16));
        let backoff = doubled.min(self.settings.max_backoff);
        self.failures += 1;
        self.paused_until = now + backoff.mul_f64(0.5 + jitter / 2.0);
    }
}

impl Bucket {
    fn new(refill_per_second: f64, capacity: f64) -> Self {
        Self {
            refill_per_second,
            capacity,
            tokens: capacity,
            updated_at: Duration::ZERO,
        }
    }

    fn take(&mut self, now: Duration) -> Result<(), Duration> {
        let refill = now.saturating_sub(self.updated_at).as_secs_f64() * self.refill_per_second;
        self.tokens = (self.tokens + refill).min(self.capacity);
        self.updated_at = self.updated_at.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64(
            (1.0 - self.tokens) / self.refill_per_second,
        ))
    }
}
