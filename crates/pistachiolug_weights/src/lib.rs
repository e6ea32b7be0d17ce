//! Distribution of weights between instances: manifests, verified chunks, and transfers of required versions.

pub mod bitmap;
pub mod exchange;
pub mod manifest;
pub mod order;
pub mod planner;
pub mod roster;
pub mod shaping;
pub mod staging;
pub mod swarm;
