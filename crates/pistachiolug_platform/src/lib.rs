//! Interfaces to the platform: key-value service, instance list, model engine, plain service and sources of weights.
//!
//! Each interface is a small trait with an adapter over HTTP. Another platform only needs other adapters.

pub mod directory;
pub mod engine;
pub mod kv;
pub mod plain;
pub mod source;
