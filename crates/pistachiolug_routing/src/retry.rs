//! Retry budget: retries stay a bounded share of the traffic, so that they never multiply an overload.

use std::time::Duration;

/// Retries that each first attempt earns.
pub const RETRIES_PER_ATTEMPT: f64 = 0.2;

/// Largest number of saved retries.
pub const MAX_SAVED_RETRIES: f64 = 20.0;

/// Token bucket that first attempts fill and retries empty.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Retries that may be made now; within `0.0..=MAX_SAVED_RETRIES`.
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            saved: MAX_SAVED_RETRIES,
        }
    }
}

impl Budget {
    /// Counts a first attempt.
    pub fn record_attempt(&mut self) {
        self.saved = (self.saved + RETRIES_PER_ATTEMPT).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry, or returns `false` when the budget is used up.
    pub fn try_spend(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }

    /// Returns the retries that may be made now.
    pub fn available(&self) -> f64 {
        self.saved
    }
}

/// Parts that a window is counted in.
const PARTS: usize = 20;

/// Retries of one process over a sliding window, as its share of an allowance that many processes use together.
///
/// Each process keeps to a share of its own requests and to its part of what is allowed beyond them, so that the sum
/// over all of them stays within the allowance without a call between them.
#[derive(Debug, Clone)]
pub struct Window {
    length: Duration,
    /// Requests and retries by part of the window; the part of `now` is at its number modulo [`PARTS`].
    parts: [(u32, u32); PARTS],
    /// Number of the newest part since the start.
    newest: u64,
}

impl Window {
    /// Creates an empty window.
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            parts: [(0, 0); PARTS],
            newest: 0,
        }
    }

    /// Counts a first attempt.
    pub fn record_attempt(&mut self, now: Duration) {
        self.part(now).0 += 1;
    }

    /// Takes one retry, or returns `false` when the allowance is used up.
    ///
    /// # Arguments
    /// `share` is the retries allowed per first attempt, `slack` this process's part of those allowed beyond.
    pub fn try_spend(&mut self, share: f64, slack: f64, now: Duration) -> bool {
        self.part(now);
        let sums = self
            .parts
            .iter()
            .fold((0, 0), |sums, part| (sums.0 + part.0, sums.1 + part.1));
        let allowed = f64::from(sums.1) + 1.0 <= share * f64::from(sums.0) + slack;
        if allowed {
            self.part(now).1 += 1;
        }
        allowed
    }

    /// Returns the part of `now` and forgets those that have left the window.
    fn part(&mut self, now: Duration) -> &mut (u32, u32) {
        let part = self.length.as_secs_f64() / PARTS as f64;
        let number = (now.as_secs_f64() / part.max(f64::MIN_POSITIVE)) as u64;
        let passed = number.saturating_sub(self.newest).min(PARTS as u64);
        for old in 1..=passed {
            self.parts[((self.newest + old) % PARTS as u64) as usize] = (0, 0);
        }
        // After a long pause all parts are empty, whichever number they had.
        self.newest = self.newest.max(number);
        &mut self.parts[(self.newest % PARTS as u64) as usize]
    }
}
