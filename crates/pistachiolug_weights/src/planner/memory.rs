//! Memory usage of a planner.

use std::time::Duration;

use super::{ActiveFetch, Planner};
use crate::order::Key;

impl Planner {
    /// Returns the allocated size of all tables in bytes.
    pub fn memory_bytes(&self) -> usize {
        let timed = size_of::<(Duration, u32)>();
        let queues = (self.assigned.capacity() + self.extra.capacity()) * size_of::<u32>();
        let deferred = self.deferred.capacity() * timed;
        let skipped = self.suspects.capacity() + self.idle_members.capacity();
        let members = skipped * size_of::<(Key, Duration)>()
            + (self.corrupt_counts.capacity() + self.banned.capacity()) * size_of::<(Key, u8)>()
            + self.home_members.capacity() * size_of::<Key>();
        let counts = self.absent_counts.capacity() + self.unmet_counts.capacity();
        let absent_counts =
            counts * size_of::<(u32, usize)>() + self.asked_until.capacity() * timed;
        let active_fetches = self.active_fetches.capacity() * size_of::<ActiveFetch>();
        let sets = self.held.memory_bytes() + self.in_flight.memory_bytes();
        self.ranking.memory_bytes()
            + self.neighbours.memory_bytes()
            + queues
            + deferred
            + members
            + absent_counts
            + active_fetches
            + sets
    }
}
