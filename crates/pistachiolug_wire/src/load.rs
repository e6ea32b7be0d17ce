//! Load of an agent, which it reports in each answer.

use serde::{Deserialize, Serialize};

/// Load of the backend server of one agent at the time of the message.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of calls that wait.
    pub queued: u32,
    /// Number of calls that run.
    pub running: u32,
    /// Number of tokens that waiting and running calls may still cost.
    pub owed_tokens: u64,
    /// Whether the instance is leaving and refuses new calls.
    pub leaving: bool,
}
