//! Orders that every instance computes alike from the same names: who reads a chunk, and who pulls from whom.

use pistachiolug_wire::digest::Digest;

/// Hash of a name or digest that orders are built from.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u64);

impl Key {
    /// Returns the key of a name.
    pub fn of(name: &str) -> Self {
        Self::from(&Digest::of(name.as_bytes()))
    }

    /// Returns the rank value of `self` for `object`; the member with the largest value comes first
    /// (rendezvous hashing, Thaler and Ravishankar 1998).
    pub fn score(self, object: Self) -> (u64, Self) {
        (mix(self.0 ^ mix(object.0)), self)
    }

    /// Returns the position on one of several independent rings.
    pub fn position(self, ring: u32) -> u64 {
        mix(self.0 ^ mix(u64::from(ring) + 1))
    }

    /// Returns the raw hash.
    pub fn value(self) -> u64 {
        self.0
    }
}

impl From<&Digest> for Key {
    fn from(digest: &Digest) -> Self {
        let (head, _) = digest.as_bytes().split_at(8);
        Self(head.iter().fold(0, |sum, byte| sum << 8 | u64::from(*byte)))
    }
}

/// Mixes all bits (finalizer of `SplitMix64`, Steele, Lea and Flood 2014).
const fn mix(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}

/// Returns the successor of `me` on a ring, over the members for which `usable` holds.
///
/// Each member has exactly one predecessor per ring, so uploads spread evenly, and a change of one member moves one
/// link per ring.
pub fn successor(
    me: Key,
    ring: u32,
    members: &[Key],
    usable: impl Fn(usize) -> bool,
) -> Option<usize> {
    let start = me.position(ring);
    let distance = |index: &usize| members[*index].position(ring).wrapping_sub(start);
    (0..members.len())
        .filter(|index| members[*index] != me && usable(*index))
        .min_by_key(distance)
}
