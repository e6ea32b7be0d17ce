//! Entry: the process that callers reach through the platform's balancer.

pub mod agent_client;
pub mod call;
pub mod caller;
pub mod generate;
pub mod internal_api;
pub mod metrics;
pub mod openai;
pub mod plain;
pub mod process;
pub mod progress;
pub mod public_api;
pub mod reply;
pub mod router;
