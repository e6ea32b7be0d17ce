//! Customers' limits, each kept by one agent for all.

use serde::{Deserialize, Serialize};

/// Asks the agent that keeps a customer's limit whether a call may pass; posted to `/internal/limit`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Customer's name.
    pub customer: String,
    /// Limit in tokens a minute, by the asking agent's lists.
    pub rate: u64,
    /// Estimated cost of the call in tokens.
    pub cost: u32,
    /// Tokens that the customer's ended calls at the asking agent were charged too much; negative for too little.
    pub returned: i64,
}

/// Answers an [`Ask`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Time after which the customer may come back, in milliseconds; 0 lets the call pass.
    pub retry_after_ms: u32,
}
