//! Rows under one prefix at one position.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use pistachiolug_platform::kv::{Entry, Event, Position, Range};

/// Largest number of kept removals; they are kept so that they can be sent to peers.
const MAX_REMOVALS: usize = 1000;

/// Largest number of kept gaps between two reads.
const MAX_GAPS: usize = 16;

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

/// Rows under a prefix; their position never goes back.
///
/// Two processes whose rows are at one position have the same rows. All that they tell each other relies on it, so no process may
/// take a position without the rows that the service had there.
#[derive(Debug, Clone, Default)]
pub struct Rows {
    /// Rows by key, exactly those of the service at `position`: no change up to it is missing, and none after it is included.
    entries: BTreeMap<String, Entry>,
    /// Position of the rows; the default before the first read.
    position: Position,
    /// Time up to which all changes are known to be included; `None` before the first read. Never goes back.
    complete_at: Option<Duration>,
    /// Time up to which answers of the service say so; `None` before the first one. Never goes back.
    answered_at: Option<Duration>,
    /// Keys of rows that were removed in this era, in the order in which this process learned of it, with revisions at which
    /// the rows were gone. A removal may have been made before that revision, and the row may have been put again since.
    removals: VecDeque<(String, u64)>,
    /// Revision after which `removals` is complete, except for `gaps`.
    removals_complete_after: u64,
    /// Revisions of the rows before and after a read, oldest first. Rows that came and went in between are unknown, so that
    /// `removals` isn't complete for a process whose rows are of a revision between the two.
    gaps: VecDeque<(u64, u64)>,
}

/// Changes between two positions of one era.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Delta {
    /// Position to which the changes have to be applied.
    pub base: Position,
    /// Revision after the changes.
    pub revision: u64,
    /// Rows that were added or replaced.
    pub entries: Vec<Entry>,
    /// Keys of the rows that were removed.
    pub removed: Vec<String>,
    /// Revisions between which rows may have come and gone that `removed` lacks.
    pub gaps: Vec<(u64, u64)>,
}

impl Rows {
    /// Returns the position up to which all changes are included; the default before the first read.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns whether rows were read at all.
    pub fn is_read(&self) -> bool {
        self.position != Position::default()
    }

    /// Returns the time up to which all changes are known to be included; `None` before the first read. A change that is
    /// applied next was made after it.
    pub fn complete_at(&self) -> Option<Duration> {
        self.complete_at
    }

    /// Returns the time up to which answers of the service say that all changes are included; `None` before the first
    /// one. Unlike [`Rows::complete_at`], it contains nothing that peers have told.
    pub fn answered_at(&self) -> Option<Duration> {
        self.answered_at
    }

    /// Records an answer of the service: the rows at `position` include all changes up to a time. Ignored if the rows are
    /// at another position.
    ///
    /// # Arguments
    /// `at` must not be later than the moment at which the service had no later changes: the time at which it was asked is
    /// safe, the arrival of its answer is not.
    pub fn confirm(&mut self, position: Position, at: Duration) {
        if position == self.position {
            self.answered_at = self.answered_at.max(Some(at));
            self.complete_at = self.complete_at.max(Some(at));
        }
    }

    /// Records what a peer that has rows at `position` knows of their completeness. Ignored if the rows are at another
    /// position.
    ///
    /// The time is too late by the transit of the peer's message, so it must be the peer's [`Rows::answered_at`]: told
    /// back and forth, the error would add up.
    pub fn confirm_by_peer(&mut self, position: Position, at: Duration) {
        if position == self.position {
            self.complete_at = self.complete_at.max(Some(at));
        }
    }

    /// Iterates over the rows in the order of their keys.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Replaces all rows with those of a later position and returns the differences; an earlier `range` is ignored.
    ///
    /// In a new era, all rows of the range count as changed: a revision may name other content than before.
    pub fn reset(&mut self, range: Range) -> Vec<Change> {
        if range.position < self.position {
            return Vec::new();
        }
        let Position { era, revision } = range.position;
        let is_new_era = era != self.position.era;
        if is_new_era && self.is_read() {
            let (era_before, revision_before) = (self.position.era, self.position.revision);
            log::warn!(era_before, era, revision_before, revision; "key-value service came back from an earlier copy");
        }
        if is_new_era || !self.is_read() {
            self.removals.clear();
            self.gaps.clear();
            self.removals_complete_after = revision;
        } else {
            self.record_gap(self.position.revision, revision);
        }
        let mut old = std::mem::take(&mut self.entries);
        let mut changes = Vec::new();
        for entry in range.entries {
            let old_entry = old.remove(&entry.key);
            let is_known = old_entry.is_some_and(|old_entry| old_entry.revision == entry.revision);
            if is_new_era || !is_known {
                changes.push(Change::Put(entry.clone()));
            }
            self.entries.insert(entry.key.clone(), entry);
        }
        self.position = range.position;
        for key in old.into_keys() {
            self.record_removal(&key, revision);
            changes.push(Change::Removed { key });
        }
        changes
    }

    /// Applies the events of a watch, which are in the order of their revisions, and returns the changes.
    ///
    /// Events up to the revision of the rows are ignored, as are those of another era.
    pub fn apply(&mut self, era: u64, events: Vec<Event>) -> Vec<Change> {
        let mut changes = Vec::new();
        if era != self.position.era {
            return changes;
        }
        // Events of one transaction have the same revision, so they are compared with the revision before all events.
        let known_revision = self.position.revision;
        for event in events {
            let revision = event.revision();
            if revision <= known_revision {
                continue;
            }
            self.position.revision = self.position.revision.max(revision);
            match event {
                Event::Put(entry) => changes.push(self.put(entry)),
                Event::Delete { key, revision } => changes.extend(self.remove(key, revision)),
            }
        }
        changes
    }

    /// Returns the changes after a position, each row at most once; `None` if that is the default or of another era, or some
    /// removals since then are unknown.
    pub fn delta(&self, after: Position) -> Option<Delta> {
        let after_revision = after.revision;
        let mut gaps = self.gaps.iter();
        if after == Position::default()
            || after.era != self.position.era
            || after_revision < self.removals_complete_after
            || gaps.any(|(from, to)| *from < after_revision && after_revision < *to)
        {
            return None;
        }
        let later_gaps = self.gaps.iter().filter(|(_, to)| *to > after_revision);
        let entries = self.entries.values();
        let entries = entries.filter(|entry| entry.revision > after_revision);
        let removed = self
            .removals
            .iter()
            .filter(|(_, gone_at)| *gone_at > after_revision);
        // A row that was put again is there, whenever that was.
        let removed = removed.filter(|(key, _)| !self.entries.contains_key(key));
        let removed: BTreeSet<&String> = removed.map(|(key, _)| key).collect();
        Some(Delta {
            base: after,
            revision: self.position.revision,
            entries: entries.cloned().collect(),
            removed: removed.into_iter().cloned().collect(),
            gaps: later_gaps.copied().collect(),
        })
    }

    /// Applies changes whose base is the position of the rows, and returns them; other changes are ignored.
    pub fn merge(&mut self, delta: Delta) -> Vec<Change> {
        if delta.base != self.position || delta.revision <= self.position.revision {
            return Vec::new();
        }
        self.position.revision = delta.revision;
        for (from, to) in delta.gaps {
            self.record_gap(from, to);
        }
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

    /// Removes a row that is gone at a revision. The removal is also recorded if these rows never had the row, because a peer
    /// between the two positions may have it.
    fn remove(&mut self, key: String, revision: u64) -> Option<Change> {
        self.record_removal(&key, revision);
        self.entries.remove(&key)?;
        Some(Change::Removed { key })
    }

    fn record_removal(&mut self, key: &str, revision: u64) {
        self.removals.push_back((key.to_owned(), revision));
        if self.removals.len() > MAX_REMOVALS
            && let Some((_, dropped_revision)) = self.removals.pop_front()
        {
            self.removals_complete_after = self.removals_complete_after.max(dropped_revision);
        }
    }

    fn record_gap(&mut self, from: u64, to: u64) {
        // No revision lies between the two.
        if to <= from + 1 {
            return;
        }
        self.gaps.push_back((from, to));
        if self.gaps.len() > MAX_GAPS
            && let Some((_, end)) = self.gaps.pop_front()
        {
            self.removals_complete_after = self.removals_complete_after.max(end);
        }
    }
}
