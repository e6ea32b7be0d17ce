//! Interfaces to the platform: key-value service, instance list, model engine, plain service and weight sources.
//!
//! Each interface is a small trait with an HTTP adapter, so that another platform needs one adapter.

pub mod directory;
pub mod engine;
pub mod kv;
pub mod plain;
pub mod source;
