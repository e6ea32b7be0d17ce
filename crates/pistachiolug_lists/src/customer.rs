//! Rows of the customers list.

use pistachiolug_wire::digest::Digest;
use serde::{Deserialize, Serialize};

/// Customer, its plan and the digests of its bearer keys.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Name, unique among customers.
    pub name: String,
    /// Name of the customer's plan.
    pub plan: String,
    /// BLAKE3 digests of the customer's bearer keys; the keys themselves are never stored.
    pub keys: Vec<Digest>,
    /// Rate limit in tokens per minute; 0 means that the plan's limit applies.
    #[serde(default)]
    pub tokens_per_minute: u64,
}
