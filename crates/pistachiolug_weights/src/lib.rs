//! Spread of weights: manifests, verified chunks, and the pull of a wanted version.

pub mod bitmap;
pub mod exchange;
pub mod manifest;
pub mod order;
pub mod planner;
pub mod roster;
pub mod shaping;
pub mod staging;
pub mod swarm;
