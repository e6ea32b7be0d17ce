//! Fetches that the planner orders and their outcomes.

use std::time::Duration;

use crate::order::Key;

/// Where a chunk is fetched from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Via {
    /// Neighbour that has said that it holds the chunk.
    Neighbour(Key),
    /// Member that the order names for the chunk, which may not hold it yet.
    Member(Key),
    /// Origin or store, by index.
    Source(usize),
}

/// One fetch to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Fetch {
    /// Index of the piece.
    pub piece: u32,
    /// Where from.
    pub via: Via,
}

/// How a fetch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The chunk arrived and its digest is right.
    Arrived,
    /// Bytes arrived whose digest is wrong.
    Corrupt,
    /// The peer does not hold the chunk.
    Absent {
        /// Time since the peer's own transfer last gained a chunk; `None` when it has none under way.
        idle: Option<Duration>,
    },
    /// The peer or source limits its rate.
    Busy {
        /// When to come back.
        after: Duration,
    },
    /// The peer or source could not be read in time, or sent too few bytes.
    Failed,
}

/// Fetch under way.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flight {
    pub(super) fetch: Fetch,
    pub(super) since: Duration,
}
