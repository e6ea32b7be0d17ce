//! Instances that need one version.

use std::net::SocketAddr;

use crate::order::Key;

/// Instance that needs the version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Unique name.
    pub name: String,
    /// Internal address of its agent.
    pub address: SocketAddr,
    /// Region.
    pub region: String,
}

/// Instances that need one version, the same at every agent that sees the same lists.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Roster {
    /// Sorted by name, without doubles.
    members: Vec<Member>,
    /// Keys of `members` in the same order.
    keys: Vec<Key>,
}

impl Roster {
    /// Builds a roster from members in any order.
    pub fn new(mut members: Vec<Member>) -> Self {
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members.dedup_by(|a, b| a.name == b.name);
        let keys = members.iter().map(|member| Key::of(&member.name)).collect();
        Self { members, keys }
    }

    /// Returns the members by name.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Finds a member by key.
    pub fn find(&self, key: Key) -> Option<&Member> {
        let index = self.keys.iter().position(|known| *known == key)?;
        self.members.get(index)
    }

    /// Returns the keys of the members of a region.
    pub fn keys_in_region(&self, region: &str) -> Vec<Key> {
        let pairs = self.members.iter().zip(&self.keys);
        pairs
            .filter(|(member, _)| member.region == region)
            .map(|(_, key)| *key)
            .collect()
    }

    /// Returns the names of all regions in order, each once.
    pub fn regions(&self) -> Vec<&str> {
        let mut regions: Vec<&str> = self
            .members
            .iter()
            .map(|member| member.region.as_str())
            .collect();
        regions.sort_unstable();
        regions.dedup();
        regions
    }
}
