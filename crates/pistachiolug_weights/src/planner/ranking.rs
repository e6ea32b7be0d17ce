//! Rendezvous order of a region's members per piece. The first member of a piece reads it from the origin.

use std::cmp::Reverse;

use crate::order::Key;

/// Ranks of one member for all pieces of a version.
#[derive(Debug)]
pub struct Ranking {
    own_key: Key,
    pieces: Vec<Key>,
    /// Ranked members, including `own_key` unless it is excluded.
    members: Vec<Key>,
    /// Number of members ahead of `own_key` per piece; always consistent with `members`.
    ranks: Vec<u16>,
    /// Whether `own_key` is not one of the members.
    is_excluded: bool,
    /// Number of comparisons so far.
    steps: u64,
}

impl Ranking {
    /// Ranks `own_key` among `members` for each piece.
    pub fn new(own_key: Key, pieces: Vec<Key>, members: &[Key]) -> Self {
        let ranks = vec![0; pieces.len()];
        let mut ranking = Self {
            own_key,
            pieces,
            members: vec![own_key],
            ranks,
            is_excluded: false,
            steps: 0,
        };
        ranking.set_members(members);
        ranking
    }

    /// Replaces the set of members, at the cost of one comparison per piece and member that joined or left.
    ///
    /// Returns whether the set changed.
    pub fn set_members(&mut self, members: &[Key]) -> bool {
        let known = std::mem::take(&mut self.members);
        let joined: Vec<Key> = others(members, &known, self.own_key).collect();
        let left: Vec<Key> = others(&known, members, self.own_key).collect();
        for key in &joined {
            self.adjust_ranks(*key, |rank| rank.saturating_add(1));
        }
        for key in &left {
            self.adjust_ranks(*key, |rank| rank.saturating_sub(1));
        }
        self.members = members.to_vec();
        if !self.members.contains(&self.own_key) {
            self.members.push(self.own_key);
        }
        !joined.is_empty() || !left.is_empty()
    }

    /// Excludes `own_key` from the members, or includes it again.
    pub fn exclude_own(&mut self, is_excluded: bool) {
        self.is_excluded = is_excluded;
        self.members.retain(|key| *key != self.own_key);
        if !is_excluded {
            self.members.push(self.own_key);
        }
    }

    /// Returns whether `own_key` is not one of the members.
    pub fn is_excluded(&self) -> bool {
        self.is_excluded
    }

    /// Returns the number of members ahead of `own_key` for a piece; the largest number if `own_key` is excluded.
    pub fn rank(&self, piece: u32) -> u16 {
        if self.is_excluded {
            return u16::MAX;
        }
        self.ranks[piece as usize]
    }

    /// Returns the piece's score for a member. A member reads the pieces for which it is the first in descending order of
    /// this score.
    pub fn reading_order(&self, piece: u32, member: Key) -> (u64, Key) {
        self.pieces[piece as usize].score(member)
    }

    /// Returns the ranked members, including `own_key` unless it is excluded.
    pub fn members(&self) -> &[Key] {
        &self.members
    }

    /// Returns the pieces whose rank is below `below`, lowest ranks first. Within a rank, each member has its own
    /// order.
    pub fn pieces_below(&self, below: u16) -> Vec<u32> {
        let mut pieces: Vec<u32> = (0..self.ranks.len() as u32)
            .filter(|piece| self.rank(*piece) < below)
            .collect();
        pieces.sort_by_cached_key(|piece| {
            let order = self.reading_order(*piece, self.own_key);
            (self.rank(*piece), Reverse(order))
        });
        pieces
    }

    /// Returns the first `count` of `members` in the order of a piece.
    pub fn first(&mut self, piece: u32, members: &[Key], count: usize) -> Vec<Key> {
        let piece_key = self.pieces[piece as usize];
        self.steps += members.len() as u64;
        let mut best: Vec<(u64, Key)> = Vec::with_capacity(count + 1);
        for key in members {
            let score = key.score(piece_key);
            let position = best.partition_point(|other| *other > score);
            if position < count {
                best.insert(position, score);
                best.truncate(count);
            }
        }
        best.into_iter().map(|(_, key)| key).collect()
    }

    /// Returns the allocated size of the tables in bytes.
    pub fn memory_bytes(&self) -> usize {
        let keys = self.pieces.capacity() + self.members.capacity();
        keys * size_of::<Key>() + self.ranks.capacity() * size_of::<u16>()
    }

    /// Returns the number of comparisons so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    fn adjust_ranks(&mut self, key: Key, change: impl Fn(u16) -> u16) {
        self.steps += self.pieces.len() as u64;
        for (piece, rank) in self.pieces.iter().zip(&mut self.ranks) {
            if key.score(*piece) > self.own_key.score(*piece) {
                *rank = change(*rank);
            }
        }
    }
}

fn others<'a>(some: &'a [Key], without: &[Key], own_key: Key) -> impl Iterator<Item = Key> + 'a {
    let without: rustc_hash::FxHashSet<Key> = without.iter().copied().collect();
    some.iter()
        .copied()
        .filter(move |key| *key != own_key && !without.contains(key))
}
