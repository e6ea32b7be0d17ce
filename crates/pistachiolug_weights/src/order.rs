//! Deterministic orders that every instance computes from the same names: which members read a chunk, and from which
//! neighbours a member pulls.

use pistachiolug_wire::digest::Digest;

/// Hash of a name or digest from which the orders are computed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(u64);

impl Key {
    /// Returns the key of a name.
    pub fn of(name: &str) -> Self {
        Self::from(&Digest::of(name.as_bytes()))
    }

    /// Returns the rank value of `self` for `object`. The member with the largest value comes first (rendezvous
    /// hashing, Thaler and Ravishankar 1998).
    pub fn score(self, object: Self) -> (u64, Self) {
        (mix(self.0 ^ mix(object.0)), self)
    }

    /// Returns the position on one of several independent rings.
    pub fn ring_position(self, ring: u32) -> u64 {
        mix(self.0 ^ mix(u64::from(ring) + 1))
    }

    /// Returns the raw hash.
    pub fn value(self) -> u64 {
        self.0
    }
}

impl From<&Digest> for Key {
    fn from(digest: &Digest) -> Self {
        let (prefix, _) = digest.as_bytes().split_at(8);
        Self(
            prefix
                .iter()
                .fold(0, |sum, byte| sum << 8 | u64::from(*byte)),
        )
    }
}

/// Mixes all bits (finalizer of `SplitMix64`, Steele, Lea and Flood 2014).
const fn mix(value: u64) -> u64 {
    let value = (value ^ value >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ value >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ value >> 31
}

/// Returns the index of the member that follows `own_key` on a ring, among the members for which `usable` returns true;
/// `None` if there is none.
///
/// Each member has exactly one predecessor per ring, so uploads are spread evenly, and a membership change of one
/// member moves one link per ring.
pub fn successor(
    own_key: Key,
    ring: u32,
    members: &[Key],
    usable: impl Fn(usize) -> bool,
) -> Option<usize> {
    let start = own_key.ring_position(ring);
    let distance = |index: &usize| members[*index].ring_position(ring).wrapping_sub(start);
    (0..members.len())
        .filter(|index| members[*index] != own_key && usable(*index))
        .min_by_key(distance)
}
