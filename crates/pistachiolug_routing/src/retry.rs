//! Retry budgets. They keep retries to a bounded share of the traffic, so that retries never amplify an overload.

use std::time::Duration;

/// Number of retries that each first attempt adds to the budget.
pub const RETRIES_PER_ATTEMPT: f64 = 0.2;

/// Largest number of retries that the budget holds.
pub const MAX_SAVED_RETRIES: f64 = 20.0;

/// Token bucket that first attempts fill and retries drain.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Number of retries that can be made; in `0.0..=MAX_SAVED_RETRIES`.
    available: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            available: MAX_SAVED_RETRIES,
        }
    }
}

impl Budget {
    /// Records a first attempt, which adds [`RETRIES_PER_ATTEMPT`] to the budget.
    pub fn record_attempt(&mut self) {
        self.available = (self.available + RETRIES_PER_ATTEMPT).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; returns `false` if less than one is left.
    pub fn try_spend(&mut self) -> bool {
        let is_allowed = self.available >= 1.0;
        if is_allowed {
            self.available -= 1.0;
        }
        is_allowed
    }

    /// Returns the number of retries that can be made; in `0.0..=MAX_SAVED_RETRIES`.
    pub fn available(&self) -> f64 {
        self.available
    }
}

/// Number of slices that a window is divided into.
const SLICES: usize = 20;

/// Retry budget of one process over a sliding window, as its part of a budget that many processes share.
///
/// Each process limits its retries to a share of its own requests plus its part of the common slack. The sum over all
/// processes then stays within the common budget, although they don't exchange messages about it.
#[derive(Debug, Clone)]
pub struct WindowBudget {
    length: Duration,
    /// Ring of the first attempts and retries per slice; a slice is at its number modulo [`SLICES`].
    slices: [(u32, u32); SLICES],
    /// Number of the newest slice, counted from time zero.
    newest: u64,
}

impl WindowBudget {
    /// Creates an empty window of the given length.
    pub fn new(length: Duration) -> Self {
        Self {
            length,
            slices: [(0, 0); SLICES],
            newest: 0,
        }
    }

    /// Records a first attempt.
    pub fn record_attempt(&mut self, now: Duration) {
        self.slice(now).0 += 1;
    }

    /// Records one retry if the budget allows it; returns `false` otherwise.
    ///
    /// # Arguments
    /// `share` is the number of retries allowed per first attempt. `slack` is the number of retries in the window that
    /// this process is allowed beyond that.
    pub fn try_spend(&mut self, share: f64, slack: f64, now: Duration) -> bool {
        self.slice(now);
        let sums = self
            .slices
            .iter()
            .fold((0, 0), |sums, slice| (sums.0 + slice.0, sums.1 + slice.1));
        let is_allowed = f64::from(sums.1) + 1.0 <= share * f64::from(sums.0) + slack;
        if is_allowed {
            self.slice(now).1 += 1;
        }
        is_allowed
    }

    /// Returns the slice of `now` after clearing the slices that have left the window.
    fn slice(&mut self, now: Duration) -> &mut (u32, u32) {
        let slice_seconds = self.length.as_secs_f64() / SLICES as f64;
        let number = (now.as_secs_f64() / slice_seconds.max(f64::MIN_POSITIVE)) as u64;
        let passed = number.saturating_sub(self.newest).min(SLICES as u64);
        for offset in 1..=passed {
            self.slices[((self.newest + offset) % SLICES as u64) as usize] = (0, 0);
        }
        // After a pause longer than the window all slices are cleared, so the skipped numbers don't matter.
        self.newest = self.newest.max(number);
        &mut self.slices[(self.newest % SLICES as u64) as usize]
    }
}
