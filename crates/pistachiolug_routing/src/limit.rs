//! Token buckets of customers' limits.

use std::time::Duration;

/// Seconds in the minute that limits are stated for.
const MINUTE: f64 = 60.0;

/// Bucket that refills steadily and may go into debt by one call.
///
/// A call passes while the level is positive, however large it is, and its cost is then taken; so a call larger than the
/// bucket is late, never impossible, and over time no more than the rate passes.
#[derive(Debug, Clone, PartialEq)]
pub struct Bucket {
    /// Tokens that may still be spent; negative while in debt.
    level: f64,
    /// Time up to which the bucket was refilled.
    at: Duration,
}

impl Bucket {
    /// Creates a full bucket of `burst` tokens.
    pub fn new(burst: u64, now: Duration) -> Self {
        Self {
            level: burst as f64,
            at: now,
        }
    }

    /// Takes the cost of a call.
    ///
    /// # Errors
    /// The time until the bucket is out of debt.
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
        let seconds = (1.0 - self.level) * MINUTE / (rate as f64).max(f64::MIN_POSITIVE);
        Err(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }

    /// Gives back tokens that a call was charged too much; negative for too little.
    pub fn refund(&mut self, tokens: i64) {
        self.level += tokens as f64;
    }

    /// Tells whether the bucket is full, so that it can be forgotten.
    pub fn is_full(&mut self, rate: u64, burst: u64, now: Duration) -> bool {
        self.refill(rate, burst, now);
        self.level >= burst as f64
    }

    /// Returns the tokens that may be spent now.
    pub fn level(&mut self, rate: u64, burst: u64, now: Duration) -> f64 {
        self.refill(rate, burst, now);
        self.level
    }

    fn refill(&mut self, rate: u64, burst: u64, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.level = (self.level + elapsed * rate as f64 / MINUTE).min(burst as f64);
        self.at = now;
    }
}
