//! Token bucket of one sender's share of a rate.

use std::time::Duration;

/// Time whose requests a bucket holds at most, so that a sender that was suspended sends no burst.
const CAPACITY_TIME: Duration = Duration::from_millis(250);

/// Tokens of one sender, one per request. The rate is an argument, since it may change at any moment; times are those of the
/// process's clock.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Bucket {
    /// Tokens at `filled_at`; never negative.
    tokens: f64,
    filled_at: Duration,
}

impl Bucket {
    /// Takes out the tokens above `most`. A sender that learns of a rate starts with few tokens, because it may have sent
    /// requests without one just before.
    pub fn restrict(&mut self, most: f64, per_second: f64, now: Duration) {
        self.tokens = self.level(per_second, now).min(most);
        self.filled_at = now;
    }

    /// Returns whether a request may be sent.
    pub fn has_token(&self, per_second: f64, now: Duration) -> bool {
        self.level(per_second, now) >= 1.0
    }

    /// Takes a token, and returns whether there was one.
    pub fn take(&mut self, per_second: f64, now: Duration) -> bool {
        let level = self.level(per_second, now);
        if level < 1.0 {
            return false;
        }
        self.tokens = level - 1.0;
        self.filled_at = now;
        true
    }

    /// Returns the time until the next token; zero if there is one.
    pub fn time_to_token(&self, per_second: f64, now: Duration) -> Duration {
        let missing = (1.0 - self.level(per_second, now)).max(0.0);
        Duration::from_secs_f64(missing / per_second)
    }

    fn level(&self, per_second: f64, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        let capacity = (per_second * CAPACITY_TIME.as_secs_f64()).max(1.0);
        (self.tokens + per_second * elapsed).min(capacity)
    }
}
