//! Segments: immutable sets of spent keys, which processes can cache because they never change.

use serde::{Deserialize, Serialize};

/// Number of marks at which a page's unsealed marks are sealed into a segment.
pub const MARKS_PER_SEGMENT: usize = 2048;

/// Fingerprint of a spent key whose row is no longer stored: the first eight bytes of the key's digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Mark(pub [u8; 8]);

/// Name of a segment within its shard, chosen at random by its writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Name(pub u128);

/// Reference from a page to a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reference {
    /// Name of the segment.
    pub name: Name,
    /// Latest timestamp of its keys in milliseconds since 1970; `None` if the keys carry no timestamp.
    pub newest_ms: Option<u64>,
}

/// Immutable set of spent keys.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Marks in ascending order.
    marks: Vec<Mark>,
}

impl Segment {
    /// Creates a segment from marks in any order.
    pub fn new(mut marks: Vec<Mark>) -> Self {
        marks.sort_unstable();
        Self { marks }
    }

    /// Returns whether a key is in the set; the probability of a false positive is 2^-64 per stored mark.
    pub fn contains(&self, mark: Mark) -> bool {
        self.marks.binary_search(&mark).is_ok()
    }
}
