//! Requests that wait for a free server, in the order in which they go.

use std::collections::BTreeMap;

/// Order among waiting requests; smaller goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Requests that can be on time go before those that are late already.
    pub is_late: bool,
    /// Rank of workspace or route; 0 goes first.
    pub priority: u8,
}

/// Place in a line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    rank: Rank,
    number: u64,
}

/// Line of waiting requests.
#[derive(Debug)]
pub struct Queue<T> {
    waiting: BTreeMap<Position, T>,
    next: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            waiting: BTreeMap::new(),
            next: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Adds a request behind all that go no later.
    pub fn push(&mut self, rank: Rank, waiter: T) -> Position {
        let place = Position {
            rank,
            number: self.next,
        };
        self.next += 1;
        self.waiting.insert(place, waiter);
        place
    }

    /// Takes a request out of the line; `None` if it was called meanwhile.
    pub fn remove(&mut self, place: Position) -> Option<T> {
        self.waiting.remove(&place)
    }

    /// Returns the number of requests that would go before a new one.
    pub fn count_ahead(&self, rank: Rank) -> usize {
        let behind = Position {
            rank,
            number: u64::MAX,
        };
        self.waiting.range(..behind).count()
    }

    /// Returns the request that goes first.
    pub fn first(&self) -> Option<&T> {
        self.waiting.first_key_value().map(|(_, waiter)| waiter)
    }

    /// Takes the request that goes first.
    pub fn pop(&mut self) -> Option<T> {
        self.waiting.pop_first().map(|(_, waiter)| waiter)
    }

    /// Tells whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}
