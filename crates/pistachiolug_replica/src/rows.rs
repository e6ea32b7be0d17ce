//! Rows under one prefix at one revision.

use std::collections::{BTreeMap, VecDeque};

use pistachiolug_platform::kv::{Entry, Event, Range};

/// Largest number of kept removals; they are kept so that they can be sent to peers.
const MAX_REMOVALS: usize = 1000;

/// Change of one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The row was added, or its value was replaced.
    Put(Entry),
    /// The row was removed.
    Removed {
        /// Key of the removed row.
        key: String,
    },
}

/// Rows under a prefix; their revision never decreases.
#[derive(Debug, Clone, Default)]
pub struct Rows {
    entries: BTreeMap<String, Entry>,
    /// Revision up to which all changes are included; 0 before the first read.
    revision: u64,
    /// Keys of removed rows with the revisions of the removals, oldest first.
    removals: VecDeque<(String, u64)>,
    /// Revision after which `removals` is complete.
    removals_complete_after: u64,
}

/// Changes between two revisions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// Revision to which the changes have to be applied.
    pub base_revision: u64,
    /// Revision after the changes.
    pub revision: u64,
    /// Rows that were added or replaced.
    pub entries: Vec<Entry>,
    /// Keys of the rows that were removed.
    pub removed: Vec<String>,
}

impl Rows {
    /// Returns the revision up to which all changes are included; 0 before the first read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Iterates over the rows in the order of their keys.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Replaces all rows with those of a newer revision and returns the differences; an older `range` is ignored.
    pub fn reset(&mut self, range: Range) -> Vec<Change> {
        if range.revision < self.revision {
            return Vec::new();
        }
        if self.revision == 0 {
            self.removals_complete_after = range.revision;
        }
        let mut old = std::mem::take(&mut self.entries);
        let mut changes = Vec::new();
        for entry in range.entries {
            let old_entry = old.remove(&entry.key);
            if old_entry.is_none_or(|old_entry| old_entry.revision != entry.revision) {
                changes.push(Change::Put(entry.clone()));
            }
            self.entries.insert(entry.key.clone(), entry);
        }
        self.revision = range.revision;
        for key in old.into_keys() {
            self.record_removal(&key, range.revision);
            changes.push(Change::Removed { key });
        }
        changes
    }

    /// Applies the events of a watch, which are in the order of their revisions, and returns the changes.
    ///
    /// Events up to the revision of the rows are ignored.
    pub fn apply(&mut self, events: Vec<Event>) -> Vec<Change> {
        let mut changes = Vec::new();
        // Events of one transaction have the same revision, so they are compared with the revision before all events.
        let known_revision = self.revision;
        for event in events {
            let revision = event.revision();
            if revision <= known_revision {
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

    /// Returns the changes after a revision; `None` if that is 0 or some removals since then are unknown.
    pub fn delta(&self, after: u64) -> Option<Delta> {
        if after == 0 || after < self.removals_complete_after {
            return None;
        }
        let entries = self.entries.values().filter(|entry| entry.revision > after);
        let removed = self
            .removals
            .iter()
            .filter(|(_, removed_at)| *removed_at > after);
        Some(Delta {
            base_revision: after,
            revision: self.revision,
            entries: entries.cloned().collect(),
            removed: removed.map(|(key, _)| key.clone()).collect(),
        })
    }

    /// Applies changes whose base revision is that of the rows, and returns them; other changes are ignored.
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
        self.record_removal(&key, revision);
        Some(Change::Removed { key })
    }

    fn record_removal(&mut self, key: &str, revision: u64) {
        self.removals.push_back((key.to_owned(), revision));
        if self.removals.len() > MAX_REMOVALS
            && let Some((_, dropped_revision)) = self.removals.pop_front()
        {
            self.removals_complete_after = dropped_revision;
        }
    }
}
