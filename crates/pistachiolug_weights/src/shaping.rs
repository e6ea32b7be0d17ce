//! Rate of transfers on a link that calls share.
//!
//! Each controller is told once per interval what passed the link and answers with the rate that transfers may use.

pub mod aimd;
pub mod logistic;

/// Share of the link that calls and transfers together should not exceed.
pub const TARGET_SHARE: f64 = 0.9;

/// Share of the link that transfers keep at any load, so that a roll-out always ends.
pub const MIN_SHARE: f64 = 0.05;

/// Share of the link that a fixed cap leaves to transfers.
pub const FIXED_SHARE: f64 = 0.25;

/// What passed the link in the last interval, as shares of its capacity.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sample {
    /// Calls and transfers together.
    pub total: f64,
    /// Transfers.
    pub transfers: f64,
}

/// Decides the rate of transfers as a share of the link.
pub trait Controller {
    /// Takes the last interval's sample and returns the share for the next one.
    fn update(&mut self, sample: Sample) -> f64;
}

/// Same share at any load.
#[derive(Debug, Clone, Copy, Default)]
pub struct Fixed;

impl Controller for Fixed {
    fn update(&mut self, _sample: Sample) -> f64 {
        FIXED_SHARE
    }
}
