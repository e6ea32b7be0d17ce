//! Neighbours that a member pulls from, and the pieces that they hold.

use std::time::Duration;

use crate::{
    bitmap::Bitmap,
    order::{self, Key},
};

/// State of one neighbour.
#[derive(Debug)]
pub struct Neighbour {
    /// Key of the member.
    pub key: Key,
    /// Pieces that it has reported to hold.
    pub have: Bitmap,
    /// Pieces that it is reading from the source.
    pub reading: Bitmap,
    /// Time until which no fetch is started from it.
    pub busy_until: Duration,
    /// Number of consecutive failures.
    pub failures: u32,
    /// Whether its first report has arrived, or has failed.
    pub has_reported: bool,
    /// Whether its engine serves the version.
    pub is_serving: bool,
}

/// Bounded set of neighbours, with the number of holders of each piece.
#[derive(Debug)]
pub struct Neighbours {
    all: Vec<Neighbour>,
    /// Number of neighbours in `all` that hold each piece.
    holders: Vec<u16>,
}

impl Neighbours {
    /// Creates an empty set for a version of `pieces` pieces.
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

    /// Returns the neighbour with a key; `None` if the member is not a neighbour.
    pub fn find(&mut self, key: Key) -> Option<&mut Neighbour> {
        self.all.iter_mut().find(|neighbour| neighbour.key == key)
    }

    /// Returns the allocated size of the tables in bytes.
    pub fn memory_bytes(&self) -> usize {
        let sets = self
            .all
            .iter()
            .map(|neighbour| neighbour.have.memory_bytes());
        let tables = self.holders.capacity() * size_of::<u16>();
        sets.sum::<usize>() + tables + self.all.capacity() * size_of::<Neighbour>()
    }

    /// Returns the number of neighbours that hold a piece.
    pub fn holders(&self, piece: u32) -> u16 {
        self.holders[piece as usize]
    }

    /// Chooses up to `count` neighbours, one per ring, besides those in `always`, and keeps the state of those that remain.
    ///
    /// Returns the number of comparisons.
    pub fn choose(
        &mut self,
        own_key: Key,
        count: u32,
        members: &[Key],
        always: &[Key],
        usable: impl Fn(Key) -> bool,
    ) -> u64 {
        let is_usable = |key: &Key| *key != own_key && usable(*key);
        let mut chosen: Vec<Key> = always.iter().copied().filter(is_usable).collect();
        for ring in 0..count {
            let is_free =
                |index: usize| usable(members[index]) && !chosen.contains(&members[index]);
            if let Some(index) = order::successor(own_key, ring, members, is_free) {
                chosen.push(members[index]);
            }
        }
        let pieces = self.holders.len();
        let previous: Vec<Key> = self.all.iter().map(|neighbour| neighbour.key).collect();
        for key in previous.iter().filter(|key| !chosen.contains(key)) {
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

    /// Returns whether a neighbour holds a piece or is reading it from the source.
    pub fn is_obtained(&self, piece: u32) -> bool {
        let mut all = self.all.iter();
        self.holders(piece) > 0 || all.any(|neighbour| neighbour.reading.contains(piece))
    }

    /// Replaces the set of pieces that a neighbour holds.
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

    /// Adds pieces to the set that a neighbour holds.
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

    /// Removes a piece from the set that a neighbour holds.
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
            reading: Bitmap::new(pieces),
            busy_until: Duration::ZERO,
            failures: 0,
            has_reported: false,
            is_serving: false,
        }
    }
}
