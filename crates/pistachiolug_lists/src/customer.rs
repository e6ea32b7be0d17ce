//! Rows of the customers list.

use pistachiolug_wire::digest::Digest;
use serde::{Deserialize, Serialize};

/// Customer with the plan it holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Unique name.
    pub name: String,
    /// Name of the plan.
    pub plan: String,
    /// Digests of the customer's bearer keys; the keys themselves are never stored.
    pub keys: Vec<Digest>,
    /// Limit of this customer in tokens a minute; 0 leaves the plan's.
    #[serde(default)]
    pub tokens_per_minute: u64,
}
