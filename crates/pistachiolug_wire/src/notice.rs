//! Notices that an instance sends directly, ahead of the platform's lagging list.

use serde::{Deserialize, Serialize};

/// Tells an entry that an agent's instance has started to leave.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// Name of the leaving instance.
    pub instance: String,
    /// Fencing number of its incarnation; 0 before one is known.
    pub incarnation: u64,
}
