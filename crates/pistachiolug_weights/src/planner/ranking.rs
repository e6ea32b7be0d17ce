//! Rendezvous order of a region's members per piece: its first member reads the piece from the origin.

use std::cmp::Reverse;

use crate::order::Key;

/// Ranks of one member over all pieces of a version.
#[derive(Debug)]
pub struct Ranking {
    me: Key,
    pieces: Vec<Key>,
    /// Members of the region, `me` included.
    members: Vec<Key>,
    /// Number of members ahead of `me` per piece; always in line with `members`.
    ranks: Vec<u16>,
    /// Comparisons made so far.
    steps: u64,
}

impl Ranking {
    /// Ranks `me` among `members` for each piece.
    pub fn new(me: Key, pieces: Vec<Key>, members: &[Key]) -> Self {
        let ranks = vec![0; pieces.len()];
        let mut ranking = Self {
            me,
            pieces,
            members: vec![me],
            ranks,
            steps: 0,
        };
        ranking.set_members(members);
        ranking
    }

    /// Takes over a changed set of members; costs one comparison per piece and member that joined or left.
    ///
    /// Returns whether anything changed.
    pub fn set_members(&mut self, members: &[Key]) -> bool {
        let known = std::mem::take(&mut self.members);
        let joined: Vec<Key> = others(members, &known, self.me).collect();
        let left: Vec<Key> = others(&known, members, self.me).collect();
        for key in &joined {
            self.shift(*key, |rank| rank.saturating_add(1));
        }
        for key in &left {
            self.shift(*key, |rank| rank.saturating_sub(1));
        }
        self.members = members.to_vec();
        if !self.members.contains(&self.me) {
            self.members.push(self.me);
        }
        !joined.is_empty() || !left.is_empty()
    }

    /// Returns the number of members ahead of `me` for a piece.
    pub fn rank(&self, piece: u32) -> u16 {
        self.ranks[piece as usize]
    }

    /// Returns the members of the region.
    pub fn members(&self) -> &[Key] {
        &self.members
    }

    /// Returns the pieces whose rank is below `below`, lowest ranks first and in an order of `me`'s own within a rank.
    pub fn pieces_below(&self, below: u16) -> Vec<u32> {
        let mut pieces: Vec<u32> = (0..self.ranks.len() as u32)
            .filter(|piece| self.rank(*piece) < below)
            .collect();
        pieces.sort_by_cached_key(|piece| {
            let score = self.pieces[*piece as usize].score(self.me);
            (self.rank(*piece), Reverse(score))
        });
        pieces
    }

    /// Returns the first `count` members for a piece among `members`.
    pub fn first(&mut self, piece: u32, members: &[Key], count: usize) -> Vec<Key> {
        let object = self.pieces[piece as usize];
        self.steps += members.len() as u64;
        let mut best: Vec<(u64, Key)> = Vec::with_capacity(count + 1);
        for key in members {
            let score = key.score(object);
            let place = best.partition_point(|other| *other > score);
            if place < count {
                best.insert(place, score);
                best.truncate(count);
            }
        }
        best.into_iter().map(|(_, key)| key).collect()
    }

    /// Returns the bytes of its tables.
    pub fn memory_bytes(&self) -> usize {
        let keys = self.pieces.capacity() + self.members.capacity();
        keys * size_of::<Key>() + self.ranks.capacity() * size_of::<u16>()
    }

    /// Returns the comparisons made so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    fn shift(&mut self, key: Key, change: impl Fn(u16) -> u16) {
        self.steps += self.pieces.len() as u64;
        for (piece, rank) in self.pieces.iter().zip(&mut self.ranks) {
            if key.score(*piece) > self.me.score(*piece) {
                *rank = change(*rank);
            }
        }
    }
}

fn others<'a>(some: &'a [Key], without: &[Key], me: Key) -> impl Iterator<Item = Key> + 'a {
    let without: rustc_hash::FxHashSet<Key> = without.iter().copied().collect();
    some.iter()
        .copied()
        .filter(move |key| *key != me && !without.contains(key))
}
