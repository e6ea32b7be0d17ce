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

    /// Returns the requests that would be served before a new one of this rank.
    pub fn ahead(&self, rank: Rank) -> impl Iterator<Item = &T> {
        let bound = Position {
            rank,
            sequence: u64::MAX,
        };
        self.waiting.range(..bound).map(|(_, waiter)| waiter)
    }

    /// Returns all requests with their positions, in the order in which they are served.
    pub fn iter(&self) -> impl Iterator<Item = (Position, &T)> {
        let waiting = self.waiting.iter();
        waiting.map(|(position, waiter)| (*position, waiter))
    }

    /// Returns all requests with their positions, those first that are `preferred`, each group in the order of the queue.
    pub fn iter_preferring<'a>(
        &'a self,
        preferred: &'a impl Fn(&T) -> bool,
    ) -> impl Iterator<Item = (Position, &'a T)> {
        let first = self.iter().filter(move |(_, waiter)| preferred(waiter));
        let others = self.iter().filter(move |(_, waiter)| !preferred(waiter));
        first.chain(others)
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
