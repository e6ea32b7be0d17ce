//! Retry budget: retries stay a bounded share of the traffic, so that they never multiply an overload.

/// Retries that each first attempt earns.
pub const SHARE: f64 = 0.2;

/// Largest number of saved retries.
pub const BURST: f64 = 20.0;

/// Token bucket that first attempts fill and retries empty.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Retries that may be made now; within `0.0..=BURST`.
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { saved: BURST }
    }
}

impl Budget {
    /// Counts a first attempt.
    pub fn earn(&mut self) {
        self.saved = (self.saved + SHARE).min(BURST);
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
