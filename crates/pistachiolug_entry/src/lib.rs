//! Entry: the process that receives calls through the load balancer of the platform and relays them to agents.

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
