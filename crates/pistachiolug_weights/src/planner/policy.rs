//! What a spread saves first.

use std::time::Duration;

/// What a spread saves first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// Time until all members hold the version.
    #[default]
    TimeFirst,
    /// Bytes read from the origin.
    BytesFirst,
}

/// Origin copies of a version that a time-first spread may read.
const TIME_FIRST_COPIES: usize = 4;

impl Policy {
    /// Returns how many members of each of `regions` regions may read a chunk from the origin without any fault.
    pub fn readers_per_region(self, regions: usize) -> u16 {
        match self {
            Self::TimeFirst => (TIME_FIRST_COPIES / regions.max(1)).max(1) as u16,
            Self::BytesFirst => 1,
        }
    }
}

/// Bounds and intervals of one transfer.
#[derive(Debug, Clone, Copy)]
pub struct Tuning {
    /// What the spread saves first.
    pub policy: Policy,
    /// Fetches at once.
    pub slots: usize,
    /// Fetches at once from one neighbour.
    pub neighbour_slots: usize,
    /// Fetches at once from one source.
    pub source_slots: usize,
    /// Neighbours.
    pub neighbour_count: u32,
    /// Number of sources.
    pub source_count: usize,
    /// Time without progress after which the next member in the order takes over.
    pub stall_timeout: Duration,
    /// Interval between two questions to members ahead in the order.
    pub ask_interval: Duration,
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
        }
    }
}
