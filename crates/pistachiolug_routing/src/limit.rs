//! Token buckets that enforce customers' rate limits.

use std::time::Duration;

/// Seconds in a minute; limits are given in tokens a minute.
const SECONDS_PER_MINUTE: f64 = 60.0;

/// Token bucket whose level may become negative by the cost of one call.
///
/// A call of any cost passes while the level is positive, and its whole cost is then taken. So a call that costs more
/// than the bucket holds is delayed but not impossible, and over time no more than the rate passes.
#[derive(Debug, Clone, PartialEq)]
pub struct Bucket {
    /// Tokens that can be spent; negative after a call that cost more than was left.
    level: f64,
    /// Time of the last refill.
    refilled_at: Duration,
}

impl Bucket {
    /// Creates a full bucket that holds `burst` tokens.
    pub fn new(burst: u64, now: Duration) -> Self {
        Self {
            level: burst as f64,
            refilled_at: now,
        }
    }

    /// Takes the cost of a call.
    ///
    /// # Arguments
    /// `rate` is in tokens a minute, `burst` and `cost` are in tokens.
    ///
    /// # Errors
    /// Returns the time until the level is positive again.
    pub fn take(
        &mut self,
        rate: u64,
        burst: u64,
        cost: u64,
        now: Duration,
    ) -> Result<(), Duration> {
        self.refill(rate, burst, now);
        if self.level > 0.0 {
            self.level -= cost as f64;
            return Ok(());
        }
        let seconds =
            (1.0 - self.level) * SECONDS_PER_MINUTE / (rate as f64).max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    /// Returns tokens that a call was charged in excess; a negative number charges the call for more.
    pub fn refund(&mut self, tokens: i64) {
        self.level += tokens as f64;
    }

    /// Returns whether the bucket is full at `now`; a full bucket can be dropped, since a new one starts full.
    pub fn is_full(&mut self, rate: u64, burst: u64, now: Duration) -> bool {
        self.refill(rate, burst, now);
        self.level >= burst as f64
    }

    /// Returns the tokens that can be spent at `now`; negative after a call that cost more than was left.
    pub fn level(&mut self, rate: u64, burst: u64, now: Duration) -> f64 {
        self.refill(rate, burst, now);
        self.level
    }

    fn refill(&mut self, rate: u64, burst: u64, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.level = (self.level + elapsed * rate as f64 / SECONDS_PER_MINUTE).min(burst as f64);
        self.refilled_at = now;
    }
}
