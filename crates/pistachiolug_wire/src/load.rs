//! Load that rides on each answer of an agent.

use serde::{Deserialize, Serialize};

/// Load of one agent's backend server at the time of the message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Calls that wait.
    pub queued: u32,
    /// Calls that run.
    pub running: u32,
    /// Tokens that waiting and running calls may still cost.
    pub owed_tokens: u64,
    /// Whether the instance is leaving and refuses new calls.
    pub leaving: bool,
}
