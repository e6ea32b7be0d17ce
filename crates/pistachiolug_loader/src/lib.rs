//! Keeps the model engine at the required version of its weights. Pieces are fetched from other agents or from the
//! origin, verified against their SHA-256 digests, staged at the engine, verified again and then loaded.

pub mod ahead;
pub mod discovery;
pub mod engine;
pub mod exchange;
pub mod fetch;
pub mod layers;
pub mod load;
pub mod manifest;
pub mod metrics;
pub mod orders;
pub mod pacing;
pub mod peer_server;
pub mod plan;
pub mod predecessor;
pub mod process;
pub mod row;
pub mod schedule;
pub mod stage;
pub mod staged;
pub mod state;
pub mod transfer;
pub mod versions;
