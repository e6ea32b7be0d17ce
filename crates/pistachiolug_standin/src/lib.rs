//! Stand-ins of the platform's services and of the backend servers, for the demonstration, benchmarks and tests.
//!
//! Invariant checks read the records that the stand-ins keep of what they served and ran.

pub mod directory;
pub mod engine;
pub mod kv;
pub mod origin;
pub mod plain;
pub mod relay;
pub mod reply;
