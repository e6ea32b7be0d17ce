//! Queue of the requests that wait for a free slot, in the order in which they are served.

use std::collections::BTreeMap;

/// Rank of a waiting request; smaller ranks are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the request is a caller's retry, which can't be on time any more; first attempts are served first.
    pub is_late: bool,
    /// Priority of the workspace or route; 0 is served first.
    pub priority: u8,
}

/// Position in a queue: by rank, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    rank: Rank,
    sequence: u64,
}

/// Priority queue that keeps the order of arrival within a rank.
#[derive(Debug)]
pub struct Queue<T> {
    waiting: BTreeMap<Position, T>,
    next_sequence: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            next_sequence: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Adds a request behind all requests of the same or a smaller rank.
    pub fn push(&mut self, rank: Rank, waiter: T) -> Position {
        let position = Position {
            rank,
            sequence: self.next_sequence,
        };
        self.next_sequence += 1;
        self.waiting.insert(position, waiter);
        position
    }

    /// Removes a request; returns `None` if it was served or removed before.
    pub fn remove(&mut self, position: Position) -> Option<T> {
        self.waiting.remove(&position)
    }

    /// Returns the number of requests that would be served before a new one of this rank.
    pub fn count_ahead(&self, rank: Rank) -> usize {
        let bound = Position {
            rank,
            sequence: u64::MAX,
        };
        self.waiting.range(..bound).count()
    }

    /// Returns the request that is served next; `None` if the queue is empty.
    pub fn first(&self) -> Option<&T> {
        self.waiting.first_key_value().map(|(_, waiter)| waiter)
    }

    /// Removes and returns the request that is served next; `None` if the queue is empty.
    pub fn pop(&mut self) -> Option<T> {
        self.waiting.pop_first().map(|(_, waiter)| waiter)
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
