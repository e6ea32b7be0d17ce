//! Size of a planner's tables.

use std::time::Duration;

use super::{Flight, Planner};
use crate::order::Key;

impl Planner {
    /// Returns the bytes of all tables.
    pub fn memory_bytes(&self) -> usize {
        let timed = size_of::<(Duration, u32)>();
        let queues = (self.queue.capacity() + self.extra.capacity()) * size_of::<u32>();
        let later = self.later.capacity() * timed;
        let passed = self.suspects.capacity() + self.idle.capacity();
        let members = passed * size_of::<(Key, Duration)>()
            + (self.strikes.capacity() + self.shunned.capacity()) * size_of::<(Key, u8)>()
            + self.home.capacity() * size_of::<Key>();
        let tried = self.tried.capacity() * size_of::<(u32, usize)>();
        let flights = self.flights.capacity() * size_of::<Flight>();
        let sets = self.held.memory_bytes() + self.flying.memory_bytes();
        self.ranking.memory_bytes()
            + self.neighbours.memory_bytes()
            + queues
            + later
            + members
            + tried
            + flights
            + sets
    }
}
