//! Stand-ins for the platform and the backend servers, for the demo, benchmarks and tests.
//!
//! Each keeps its own record of what ran, which is what invariant checks read.

pub mod directory;
pub mod engine;
pub mod kv;
pub mod origin;
pub mod plain;
pub mod relay;
pub mod reply;
