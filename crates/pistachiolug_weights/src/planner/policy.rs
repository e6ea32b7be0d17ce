//! Policy and limits of transfers.

use std::time::Duration;

/// Resource that a distribution minimizes first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Time until all members hold the version.
    #[default]
    TimeFirst,
    /// Bytes read from the origin.
    BytesFirst,
}

/// Number of copies of a version that a time-first distribution reads from the origin if nothing fails, divided among
/// the regions; at least one copy is read for each region.
const MAX_TIME_FIRST_COPIES: usize = 4;

impl Policy {
    /// Returns how many members of each region may read a chunk from the origin if nothing fails.
    pub fn readers_per_region(self, regions: usize) -> u16 {
        match self {
            Self::TimeFirst => (MAX_TIME_FIRST_COPIES / regions.max(1)).max(1) as u16,
            Self::BytesFirst => 1,
        }
    }
}

/// Limits and intervals of one transfer.
#[derive(Debug, Clone, Copy)]
pub struct Tuning {
    /// Resource that the distribution minimizes first.
    pub policy: Policy,
    /// Maximum number of concurrent fetches.
    pub slots: usize,
    /// Maximum number of concurrent fetches from one neighbour.
    pub neighbour_slots: usize,
    /// Maximum number of concurrent fetches from one source.
    pub source_slots: usize,
    /// Maximum number of neighbours.
    pub neighbour_count: u32,
    /// Number of sources.
    pub source_count: usize,
    /// Time without progress after which the next member in the order takes over.
    pub stall_timeout: Duration,
    /// Interval between two requests to members ahead in the order.
    pub ask_interval: Duration,
    /// Time for which a member that failed is not used.
    pub suspect_time: Duration,
    /// Maximum number of members of the home region that read the source with the bytes-first policy. Few readers leave
    /// each one enough of the source's link for pieces to arrive one after the other instead of all at the end.
    pub max_readers: usize,
    /// Whether a reader that is done reads pieces of other readers that have several left.
    pub shares_reads: bool,
}

/// Pieces that a member may fetch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Scope {
    /// All missing pieces.
    #[default]
    All,
    /// Pieces that the member is the first to read for its region.
    Assigned,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            policy: Policy::TimeFirst,
            slots: 16,
            neighbour_slots: 3,
            source_slots: 2,
            neighbour_count: 8,
            source_count: 1,
            stall_timeout: Duration::from_secs(5),
            ask_interval: Duration::from_secs(1),
            suspect_time: Duration::from_secs(60),
            max_readers: usize::MAX,
            shares_reads: false,
        }
    }
}
