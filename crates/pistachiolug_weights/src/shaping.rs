//! Rate control of transfers on a link that they share with calls.
//!
//! Once per interval, a controller takes a sample of the traffic on the link and returns the rate that transfers may
//! use.

pub mod aimd;
pub mod logistic;

/// Share of the link that calls and transfers together should not exceed.
pub const TARGET_SHARE: f64 = 0.9;

/// Share of the link that transfers keep under any load, so that a rollout always finishes.
pub const MIN_SHARE: f64 = 0.05;

/// Share of the link that transfers may use under a fixed cap.
pub const FIXED_SHARE: f64 = 0.25;

/// Traffic on the link in the last interval, as shares of its capacity.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sample {
    /// Traffic of calls and transfers together.
    pub total: f64,
    /// Traffic of transfers.
    pub transfers: f64,
}

/// Controller of the transfers' share of the link.
pub trait Controller {
    /// Takes the sample of the last interval and returns the share for the next one.
    fn update(&mut self, sample: Sample) -> f64;
}

/// Controller that returns the same share under any load.
#[derive(Debug, Clone, Copy, Default)]
pub struct Fixed;

impl Controller for Fixed {
    fn update(&mut self, _sample: Sample) -> f64 {
        FIXED_SHARE
    }
}
