//! Sealed sets of spent keys: written once, never changed, so that readers keep them in memory.

use serde::{Deserialize, Serialize};

/// Number of marks in one segment.
pub const MARKS_PER_SEGMENT: usize = 2048;

/// First eight bytes of a key's digest, which stand for a key whose row is no longer kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Mark(pub [u8; 8]);

/// Name of a segment within its shard, drawn at random by its writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Name(pub u128);

/// Reference from a page to a segment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reference {
    /// Segment's name.
    pub name: Name,
    /// Newest creation time among its keys in milliseconds since 1970; `None` for keys without a time.
    pub newest_ms: Option<u64>,
}

/// Set of spent keys.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// In ascending order.
    marks: Vec<Mark>,
}

impl Segment {
    /// Creates a segment.
    pub fn new(mut marks: Vec<Mark>) -> Self {
        marks.sort_unstable();
        Self { marks }
    }

    /// Tells whether a key is in the set; a false yes has a chance of 2^-64 per kept mark.
    pub fn contains(&self, mark: Mark) -> bool {
        self.marks.binary_search(&mark).is_ok()
    }
}
