//! Fetches that the planner starts, and their outcomes.

use std::time::Duration;

use crate::order::Key;

/// Where a chunk is fetched from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Via {
    /// Neighbour that has reported to hold the chunk.
    Neighbour(Key),
    /// Member that the rendezvous order selects for the chunk, which may not hold it yet.
    Member(Key),
    /// Origin or weight store, by index.
    Source(usize),
}

/// Fetch of one piece.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Fetch {
    /// Index of the piece.
    pub piece: u32,
    /// Where the piece is fetched from.
    pub via: Via,
}

/// Outcome of a fetch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The chunk arrived and its digest is correct.
    Arrived,
    /// The digest of the received bytes is wrong.
    Corrupt,
    /// The peer does not hold the chunk.
    Absent {
        /// Time since the peer's own transfer last gained a chunk; `None` if it has no active transfer.
        idle: Option<Duration>,
    },
    /// The peer or source limits its rate.
    Busy {
        /// Delay before the next attempt.
        after: Duration,
    },
    /// The read timed out or failed, or returned too few bytes.
    Failed,
}

/// Fetch that has not ended yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct ActiveFetch {
    pub(super) fetch: Fetch,
    pub(super) since: Duration,
}
