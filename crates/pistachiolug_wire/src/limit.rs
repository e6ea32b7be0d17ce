//! Rate limits of customers. For each customer, one agent enforces the limit for all agents.

use serde::{Deserialize, Serialize};

/// Request to the agent that enforces the limit of a customer to admit a call; posted to `/internal/limit`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// Name of the customer.
    pub customer: String,
    /// Limit in tokens per minute, by the lists of the asking agent.
    pub rate: u64,
    /// Estimated cost of the call in tokens.
    pub cost: u32,
    /// Tokens to return to the customer because ended calls at the asking agent cost less than estimated; negative if
    /// they cost more.
    pub returned: i64,
}

/// Answer to an [`Ask`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Time after which the customer may retry, in milliseconds; 0 admits the call.
    pub retry_after_ms: u32,
}
