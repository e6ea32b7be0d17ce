//! What the staged pieces tell an agent that has just started about its predecessor, without any I/O.
//!
//! A predecessor may have been killed while an order of its was not answered, or before it had checked a load. It staged
//! pieces of another version only when it knew that the load before was whole and that no order could be accepted any more;
//! see [`crate::orders::Orders`].

use std::collections::BTreeMap;

use crate::manifest::{Digest, Manifest};

/// Pieces that an engine stages, and the manifests of the versions that they may belong to.
#[derive(Debug, Clone, Copy)]
pub struct Evidence<'a> {
    /// Digests of the staged pieces by index; `None` where no piece is staged.
    pub pieces: &'a [Option<Digest>],
    /// Known manifests by version.
    pub manifests: &'a BTreeMap<u64, Manifest>,
}

/// Order of a predecessor that the engine may still accept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// There is none.
    None,
    /// One for this version, of which single staged pieces may have become corrupt since.
    For(u64),
    /// One for a version of which no manifest is known.
    Unidentified,
}

impl Evidence<'_> {
    /// Returns whether further manifests would not change [`Evidence::pending_order`]: no order can be for the pieces, or all of
    /// them are of known versions.
    pub fn determines_order(&self) -> bool {
        let is_known = |index| self.versions_at(index).next().is_some();
        self.pieces.contains(&None) || (0..self.pieces.len()).all(is_known)
    }

    /// Returns whether no piece is staged.
    pub fn is_empty(&self) -> bool {
        self.pieces.iter().all(Option::is_none)
    }

    /// Returns the known versions, each with the number of its staged pieces.
    pub fn counts(&self) -> Vec<(u64, usize)> {
        let count = |version| {
            let indices = 0..self.pieces.len();
            indices
                .filter(|index| self.matches(version, *index))
                .count()
        };
        let versions = self.manifests.keys().copied();
        versions.map(|version| (version, count(version))).collect()
    }

    /// Returns whether the pieces show that the engine took whole ones when it loaded `held`: all of them are staged, or an
    /// agent has staged pieces of a newer version since.
    pub fn proves(&self, held: u64) -> bool {
        let is_newer = |index: &usize| {
            !self.matches(held, *index) && self.versions_at(*index).any(|version| version > held)
        };
        self.is_whole(held) || (0..self.pieces.len()).any(|index| is_newer(&index))
    }

    /// Returns the order that the engine may still accept. Its pieces were staged when it was sent, and none of another
    /// version has been staged since.
    ///
    /// # Arguments
    /// `held` is the version that the engine has loaded; `None` if it has none.
    pub fn pending_order(&self, held: Option<u64>) -> Order {
        if self.pieces.contains(&None) {
            return Order::None;
        }
        let known: Vec<usize> = (0..self.pieces.len())
            .filter(|index| self.versions_at(*index).next().is_some())
            .collect();
        if known.is_empty() {
            return Order::Unidentified;
        }
        let has_all_known =
            |version: &u64| known.iter().all(|index| self.matches(*version, *index));
        let mut versions = self.manifests.keys().copied().rev();
        match versions.find(has_all_known) {
            Some(version) if Some(version) > held => Order::For(version),
            _ => Order::None,
        }
    }

    fn is_whole(&self, version: u64) -> bool {
        (0..self.pieces.len()).all(|index| self.matches(version, index))
    }

    fn matches(&self, version: u64, index: usize) -> bool {
        let manifest = self.manifests.get(&version);
        let digest = manifest.and_then(|manifest| manifest.digests.get(index));
        digest.is_some() && digest == self.pieces[index].as_ref()
    }

    fn versions_at(&self, index: usize) -> impl Iterator<Item = u64> {
        let versions = self.manifests.keys().copied();
        versions.filter(move |version| self.matches(*version, index))
    }
}
