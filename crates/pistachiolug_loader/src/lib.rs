//! Brings a model engine to the wanted version of its weights: pieces come from other agents or the origin, are
//! verified by their SHA-256 digests, staged at the engine, verified again and then loaded.

pub mod discovery;
pub mod engine;
pub mod exchange;
pub mod fetch;
pub mod load;
pub mod manifest;
pub mod metrics;
pub mod peer_server;
pub mod process;
pub mod row;
pub mod schedule;
pub mod state;
