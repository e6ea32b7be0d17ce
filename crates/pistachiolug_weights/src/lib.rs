//! Distribution of weights between instances: manifests, verified chunks, and transfers of required versions.
//!
//! A piece is a distinct chunk of one version. It is identified by its index in the order of
//! [`staging::distinct_chunks`], while a chunk is identified by its digest and can belong to several versions.

pub mod bitmap;
pub mod exchange;
pub mod manifest;
pub mod order;
pub mod planner;
pub mod roster;
pub mod shaping;
pub mod staging;
pub mod swarm;
