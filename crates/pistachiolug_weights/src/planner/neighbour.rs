//! Neighbours that a member pulls from, with what they hold.

use std::time::Duration;

use crate::{
    bitmap::Bitmap,
    order::{self, Key},
};

/// What is known of one neighbour.
#[derive(Debug)]
pub struct Neighbour {
    /// Key.
    pub key: Key,
    /// Pieces it has said to hold.
    pub have: Bitmap,
    /// Time before which it takes no fetch.
    pub busy_until: Duration,
    /// Failures in a row.
    pub failures: u32,
    /// Whether its state has been heard, or could not be.
    pub heard: bool,
    /// Whether its engine serves the version.
    pub serving: bool,
}

/// Bounded set of neighbours and how many of them hold each piece.
#[derive(Debug)]
pub struct Neighbours {
    all: Vec<Neighbour>,
    /// Number of neighbours in `all` that hold each piece.
    holders: Vec<u16>,
}

impl Neighbours {
    /// Creates an empty set over `pieces` pieces.
    pub fn new(pieces: usize) -> Self {
        Self {
            all: Vec::new(),
            holders: vec![0; pieces],
        }
    }

    /// Returns all neighbours.
    pub fn all(&self) -> &[Neighbour] {
        &self.all
    }

    /// Finds a neighbour.
    pub fn find(&mut self, key: Key) -> Option<&mut Neighbour> {
        self.all.iter_mut().find(|neighbour| neighbour.key == key)
    }

    /// Returns the bytes of its tables.
    pub fn memory_bytes(&self) -> usize {
        let sets = self
            .all
            .iter()
            .map(|neighbour| neighbour.have.memory_bytes());
        let tables = self.holders.capacity() * size_of::<u16>();
        sets.sum::<usize>() + tables + self.all.capacity() * size_of::<Neighbour>()
    }

    /// Returns how many neighbours hold a piece.
    pub fn holders(&self, piece: u32) -> u16 {
        self.holders[piece as usize]
    }

    /// Chooses up to `count` neighbours, one per ring, and keeps what is known of those that stay.
    ///
    /// Returns the number of comparisons.
    pub fn choose(
        &mut self,
        me: Key,
        count: u32,
        members: &[Key],
        usable: impl Fn(Key) -> bool,
    ) -> u64 {
        let mut chosen: Vec<Key> = Vec::new();
        for ring in 0..count {
            let free = |index: usize| usable(members[index]) && !chosen.contains(&members[index]);
            if let Some(index) = order::successor(me, ring, members, free) {
                chosen.push(members[index]);
            }
        }
        let pieces = self.holders.len();
        let gone: Vec<Key> = self.all.iter().map(|neighbour| neighbour.key).collect();
        for key in gone.iter().filter(|key| !chosen.contains(key)) {
            self.replace_have(*key, Bitmap::new(pieces));
        }
        self.all.retain(|neighbour| chosen.contains(&neighbour.key));
        for key in chosen {
            if self.find(key).is_none() {
                self.all.push(Neighbour::new(key, pieces));
            }
        }
        u64::from(count) * members.len() as u64
    }

    /// Takes over a neighbour's whole set.
    pub fn replace_have(&mut self, key: Key, have: Bitmap) {
        let Some(neighbour) = self.all.iter_mut().find(|known| known.key == key) else {
            return;
        };
        for piece in neighbour.have.iter() {
            self.holders[piece as usize] -= 1;
        }
        for piece in have.iter() {
            self.holders[piece as usize] += 1;
        }
        neighbour.have = have;
    }

    /// Adds pieces to a neighbour's set.
    pub fn add_have(&mut self, key: Key, pieces: &[u32]) {
        let Some(neighbour) = self.all.iter_mut().find(|known| known.key == key) else {
            return;
        };
        for piece in pieces {
            if neighbour.have.insert(*piece) {
                self.holders[*piece as usize] += 1;
            }
        }
    }

    /// Forgets that a neighbour holds a piece.
    pub fn remove_have(&mut self, key: Key, piece: u32) {
        let Some(neighbour) = self.all.iter_mut().find(|known| known.key == key) else {
            return;
        };
        if neighbour.have.contains(piece) {
            neighbour.have.remove(piece);
            self.holders[piece as usize] -= 1;
        }
    }
}

impl Neighbour {
    fn new(key: Key, pieces: usize) -> Self {
        Self {
            key,
            have: Bitmap::new(pieces),
            busy_until: Duration::ZERO,
            failures: 0,
            heard: false,
            serving: false,
        }
    }
}
