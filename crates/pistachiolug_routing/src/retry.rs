//! Retry budget: retries stay a bounded share of the traffic, so that they never multiply an overload.

/// Retries that each first attempt earns.
pub const SHARE: f64 = 0.2;

/// Largest number of saved retries.
pub const BURST: f64 = 20.0;

/// Token bucket that first attempts fill and retries empty.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Retries that may be made now; within `0.0..=burst`.
    saved: f64,
    share: f64,
    burst: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self::new(SHARE, BURST)
    }
}

impl Budget {
    /// Creates a full budget.
    ///
    /// # Arguments
    /// `share` is the retries that each first attempt earns, `burst` the largest number of saved ones.
    pub fn new(share: f64, burst: f64) -> Self {
        Self {
            saved: burst,
            share,
            burst,
        }
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + self.share).min(self.burst);
    }

    /// Lowers the largest number of saved retries, as when more processes share it.
    pub fn bound(&mut self, burst: f64) {
        self.burst = burst;
        self.saved = self.saved.min(burst);
    }

    /// Takes one retry, or returns `false` when the budget is used up.
    pub fn spend(&mut self) -> bool {
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }

    /// Returns the retries that may be made now.
    pub fn saved(&self) -> f64 {
        self.saved
    }
}
