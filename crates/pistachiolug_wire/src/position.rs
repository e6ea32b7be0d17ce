//! Position in the history of the key-value service.

use serde::{Deserialize, Serialize};

/// Position in the history of the key-value service; a later one compares as greater.
///
/// When the service is replaced by an earlier copy of itself, a new era begins: its revisions go back and are given out
/// again. Only revisions of one era can be compared.
// The order of the fields is that of the comparison.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Position {
    /// Era of the service; 0 if it doesn't name one.
    pub era: u64,
    /// Revision within the era; 0 is before the first write.
    pub revision: u64,
}

impl Position {
    /// Returns the position of a revision in an era.
    pub const fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }

    /// Returns the position of a revision at a service that names no eras.
    pub const fn without_era(revision: u64) -> Self {
        Self::new(0, revision)
    }
}
