//! Instances that need a version.

use std::net::SocketAddr;

use crate::order::Key;

/// Instance that needs the version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Unique name.
    pub name: String,
    /// Internal address of the instance's agent.
    pub address: SocketAddr,
    /// Region of the instance.
    pub region: String,
}

/// Set of the instances that need one version; identical at all agents that have the same lists.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Roster {
    /// Sorted by name, without duplicates.
    members: Vec<Member>,
    /// Keys of `members`, in the same order.
    keys: Vec<Key>,
}

impl Roster {
    /// Creates a roster from members in any order; of members with the same name only one is kept.
    pub fn new(mut members: Vec<Member>) -> Self {
        members.sort_by(|a, b| a.name.cmp(&b.name));
        members.dedup_by(|a, b| a.name == b.name);
        let keys = members.iter().map(|member| Key::of(&member.name)).collect();
        Self { members, keys }
    }

    /// Returns the members, sorted by name.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the member with a key; `None` if there is none.
    pub fn find(&self, key: Key) -> Option<&Member> {
        let index = self.keys.iter().position(|known| *known == key)?;
        self.members.get(index)
    }

    /// Returns the keys of the members in a region.
    pub fn keys_in_region(&self, region: &str) -> Vec<Key> {
        let pairs = self.members.iter().zip(&self.keys);
        pairs
            .filter(|(member, _)| member.region == region)
            .map(|(_, key)| *key)
            .collect()
    }

    /// Returns the distinct names of the members' regions in ascending order.
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
