//! Notices that an instance sends directly, because the instance list of the platform lags.

use serde::{Deserialize, Serialize};

/// Notice to an entry that the instance of an agent has started to leave; posted to `/internal/leaving`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leaving {
    /// Name of the leaving instance.
    pub instance: String,
    /// Fencing token of its incarnation; 0 before it has one.
    pub incarnation: u64,
}
