//! Additive increase, multiplicative decrease (Chiu and Jain 1989).

use super::{Controller, MIN_SHARE, Sample, TARGET_SHARE};

/// Share of the link added per interval without congestion.
const SHARE_INCREASE: f64 = 0.05;

/// Factor applied per interval with congestion.
const DECREASE_FACTOR: f64 = 0.5;

/// Controller whose state is the current share.
#[derive(Debug, Clone, Copy)]
pub struct Aimd {
    share: f64,
}

impl Default for Aimd {
    fn default() -> Self {
        Self { share: MIN_SHARE }
    }
}

impl Controller for Aimd {
    fn update(&mut self, sample: Sample) -> f64 {
        let next = if sample.total > TARGET_SHARE {
            self.share * DECREASE_FACTOR
        } else {
            self.share + SHARE_INCREASE
        };
        self.share = next.clamp(MIN_SHARE, TARGET_SHARE);
        self.share
    }
}
