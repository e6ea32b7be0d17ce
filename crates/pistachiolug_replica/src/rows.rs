//! Rows under one prefix as of one revision.

use std::collections::{BTreeMap, VecDeque};

use pistachiolug_platform::kv::{Entry, Event, Range};

/// Removals that are remembered, so that others can be told of them.
const REMOVALS: usize = 1000;

/// Row that changed, and whether it is still there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The row was stored.
    Put(Entry),
    /// The row is gone.
    Removed {
        /// Key.
        key: String,
    },
}

/// Rows of a prefix; never steps back to an older revision.
#[derive(Debug, Clone, Default)]
pub struct Rows {
    entries: BTreeMap<String, Entry>,
    /// Revision up to which all changes are contained; 0 before the first read.
    revision: u64,
    /// Removals with their revisions, in order.
    removals: VecDeque<(String, u64)>,
    /// Revision from which `removals` is complete.
    removals_since: u64,
}

/// Changes between two revisions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// Revision that the changes build on.
    pub base_revision: u64,
    /// Revision that they lead to.
    pub revision: u64,
    /// Rows that were stored.
    pub entries: Vec<Entry>,
    /// Keys that were removed.
    pub removed: Vec<String>,
}

impl Rows {
    /// Returns the revision up to which all changes are contained; 0 before the first read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the rows in order of their keys.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Takes all rows as of a revision and returns what differs; an older view changes nothing.
    pub fn reset(&mut self, range: Range) -> Vec<Change> {
        if range.revision < self.revision {
            return Vec::new();
        }
        if self.revision == 0 {
            self.removals_since = range.revision;
        }
        let mut old = std::mem::take(&mut self.entries);
        let mut changes = Vec::new();
        for entry in range.entries {
            let known = old.remove(&entry.key);
            if known.is_none_or(|known| known.revision != entry.revision) {
                changes.push(Change::Put(entry.clone()));
            }
            self.entries.insert(entry.key.clone(), entry);
        }
        self.revision = range.revision;
        for key in old.into_keys() {
            self.note_removal(&key, range.revision);
            changes.push(Change::Removed { key });
        }
        changes
    }

    /// Takes the events of a watch in order of their revisions and returns what differs.
    pub fn apply(&mut self, events: Vec<Event>) -> Vec<Change> {
        let mut changes = Vec::new();
        // Several rows of one transaction share its revision.
        let contained = self.revision;
        for event in events {
            let revision = event.revision();
            if revision <= contained {
                continue;
            }
            self.revision = self.revision.max(revision);
            match event {
                Event::Put(entry) => changes.push(self.put(entry)),
                Event::Delete { key, revision } => changes.extend(self.remove(key, revision)),
            }
        }
        changes
    }

    /// Returns the changes after a revision; `None` if the removals since then are not all known.
    pub fn delta(&self, after: u64) -> Option<Delta> {
        if after == 0 || after < self.removals_since {
            return None;
        }
        let entries = self.entries.values().filter(|entry| entry.revision > after);
        let removed = self.removals.iter().filter(|(_, at)| *at > after);
        Some(Delta {
            base_revision: after,
            revision: self.revision,
            entries: entries.cloned().collect(),
            removed: removed.map(|(key, _)| key.clone()).collect(),
        })
    }

    /// Takes changes that build on the revision of now; others change nothing.
    pub fn merge(&mut self, delta: Delta) -> Vec<Change> {
        if delta.base_revision != self.revision || delta.revision <= self.revision {
            return Vec::new();
        }
        self.revision = delta.revision;
        let mut changes = Vec::new();
        for key in delta.removed {
            changes.extend(self.remove(key, delta.revision));
        }
        for entry in delta.entries {
            changes.push(self.put(entry));
        }
        changes
    }

    fn put(&mut self, entry: Entry) -> Change {
        self.entries.insert(entry.key.clone(), entry.clone());
        Change::Put(entry)
    }

    fn remove(&mut self, key: String, revision: u64) -> Option<Change> {
        self.entries.remove(&key)?;
        self.note_removal(&key, revision);
        Some(Change::Removed { key })
    }

    fn note_removal(&mut self, key: &str, revision: u64) {
        self.removals.push_back((key.to_owned(), revision));
        if self.removals.len() > REMOVALS
            && let Some((_, forgotten)) = self.removals.pop_front()
        {
            self.removals_since = forgotten;
        }
    }
}
