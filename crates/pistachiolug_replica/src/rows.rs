//! Rows under one prefix as of one revision.

use std::collections::BTreeMap;

use pistachiolug_platform::kv::{Entry, Event, Range};

/// Row that changed, and whether it is still there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The row was stored.
    Put(Entry),
    /// The row is gone.
    Gone {
        /// Key.
        key: String,
    },
}

/// Rows of a prefix; never steps back to an older revision.
#[derive(Debug, Clone, Default)]
pub struct Rows {
    rows: BTreeMap<String, Entry>,
    /// Revision up to which all changes are contained; 0 before the first read.
    revision: u64,
}

impl Rows {
    /// Returns the revision up to which all changes are contained; 0 before the first read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the rows in order of their keys.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.rows.values()
    }

    /// Takes all rows as of a revision and returns what differs; an older view changes nothing.
    pub fn reset(&mut self, range: Range) -> Vec<Change> {
        if range.revision < self.revision {
            return Vec::new();
        }
        let mut old = std::mem::take(&mut self.rows);
        let mut changes = Vec::new();
        for entry in range.entries {
            let known = old.remove(&entry.key);
            if known.is_none_or(|known| known.revision != entry.revision) {
                changes.push(Change::Put(entry.clone()));
            }
            self.rows.insert(entry.key.clone(), entry);
        }
        let gone = old.into_keys().map(|key| Change::Gone { key });
        changes.extend(gone);
        self.revision = range.revision;
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
                Event::Put(entry) => {
                    self.rows.insert(entry.key.clone(), entry.clone());
                    changes.push(Change::Put(entry));
                }
                Event::Delete { key, .. } => {
                    if self.rows.remove(&key).is_some() {
                        changes.push(Change::Gone { key });
                    }
                }
            }
        }
        changes
    }
}
