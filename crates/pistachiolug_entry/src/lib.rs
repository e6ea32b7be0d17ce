//! Entry: the process that callers reach through the platform's balancer.

pub mod call;
pub mod caller;
pub mod door;
pub mod error;
pub mod generate;
pub mod internal;
pub mod metrics;
pub mod openai;
pub mod plain;
pub mod process;
pub mod progress;
pub mod remote;
pub mod router;
