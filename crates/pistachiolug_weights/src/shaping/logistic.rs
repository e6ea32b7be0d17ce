//! Logistic rate factor with a guaranteed minimum.
//!
//! Source: Liu, Guo, Huang and Lui, "eBA: Efficient Bandwidth Guarantee Under Traffic Variability in Datacenters",
//! IEEE/ACM Transactions on Networking 25(1), 2017, equations 15 to 17, for one link and one flow of weight 1.

use super::{Controller, MIN_SHARE, Sample, TARGET_SHARE};

/// Product of the rate's coefficient and its interval (`alpha * tau_v` in the source). It is the weight of the factor
/// in the new rate, a geometric mean of the old rate and the factor.
const RATE_GAIN: f64 = 0.9;

/// Product of the factor's coefficient and its interval (`beta * tau_r`).
const FACTOR_GAIN: f64 = 1.5;

/// Controller with the link's factor and the flow's rate, both as shares of the link.
#[derive(Debug, Clone, Copy)]
pub struct Logistic {
    /// Rate factor of the link; at most 1.
    factor: f64,
    /// Rate before the minimum is applied; above 0.
    rate: f64,
}

impl Default for Logistic {
    fn default() -> Self {
        Self {
            factor: MIN_SHARE,
            rate: MIN_SHARE,
        }
    }
}

impl Controller for Logistic {
    fn update(&mut self, sample: Sample) -> f64 {
        let growth = (FACTOR_GAIN * (1.0 - sample.total / TARGET_SHARE)).exp();
        self.factor = (self.factor * growth).clamp(MIN_SHARE / 4.0, 1.0);
        self.rate = self.rate.powf(1.0 - RATE_GAIN) * self.factor.powf(RATE_GAIN);
        self.rate.clamp(MIN_SHARE, TARGET_SHARE)
    }
}
