//! Stored values, history and leases of a key-value service. The store in memory and the stand-in are built on it.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{Entry, Event, Lease, Position, Precondition, Range, Swap};

/// Maximum number of events that are kept for watches; beyond it, the older half is compacted.
const MAX_HISTORY_EVENTS: usize = 100_000;

/// State of the service.
#[derive(Debug, Clone, Default)]
pub struct State {
    /// Number of times that the state was replaced by an earlier copy.
    era: u64,
    /// Revision of the last write.
    revision: u64,
    /// Revision of the last compacted event.
    compacted: u64,
    values: BTreeMap<String, Stored>,
    /// Events after `compacted`, in order of revision.
    history: Vec<Event>,
    leases: BTreeMap<i64, LeaseTerm>,
    next_lease: i64,
}

#[derive(Debug, Clone)]
struct Stored {
    entry: Entry,
    lease: Option<Lease>,
}

#[derive(Debug, Clone)]
struct LeaseTerm {
    ttl: Duration,
    expires_at: Instant,
}

impl State {
    /// Returns the number of times that the state was replaced by an earlier copy.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Replaces the state by an earlier copy, which begins a new era: writes and leases since the copy are lost, and
    /// their revisions and ids are given out again.
    pub fn restore(&mut self, copy: Self) {
        *self = Self {
            era: self.era + 1,
            ..copy
        };
    }

    /// Returns the revision of the last write.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Reads one key.
    pub fn get(&self, key: &str) -> Option<Entry> {
        self.values.get(key).map(|stored| stored.entry.clone())
    }

    /// Reads all keys from `start` to `end`, without `end`.
    pub fn range(&self, start: &str, end: &str) -> Range {
        Range {
            entries: self
                .values
                .range(start.to_owned()..end.to_owned())
                .map(|(_, stored)| stored.entry.clone())
                .collect(),
            position: Position::new(self.era, self.revision),
        }
    }

    /// Writes a value, or deletes the key if `value` is `None`, provided that the precondition holds.
    pub fn swap(
        &mut self,
        key: &str,
        precondition: Precondition,
        value: Option<Vec<u8>>,
        lease: Option<Lease>,
    ) -> Swap {
        let current = self.get(key);
        let is_met = match precondition {
            Precondition::Absent => current.is_none(),
            Precondition::Revision(revision) => current
                .as_ref()
                .is_some_and(|entry| entry.revision == revision),
        };
        if !is_met {
            return Swap::Lost { current };
        }
        match value {
            Some(value) => self.put(key, value, lease),
            None => self.delete(key),
        }
        Swap::Done {
            revision: self.revision,
        }
    }

    /// Returns the events after a revision for the keys from `start` to `end`, without `end`.
    ///
    /// # Errors
    /// Returns the oldest available revision if some of these events are compacted.
    pub fn events_after(&self, after: u64, start: &str, end: &str) -> Result<Vec<Event>, u64> {
        if after < self.compacted {
            return Err(self.compacted + 1);
        }
        Ok(self
            .history
            .iter()
            .filter(|event| event.revision() > after)
            .filter(|event| (start..end).contains(&event_key(event)))
            .cloned()
            .collect())
    }

    /// Grants a lease.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> Lease {
        self.next_lease += 1;
        let term = LeaseTerm {
            ttl,
            expires_at: now + ttl,
        };
        self.leases.insert(self.next_lease, term);
        Lease(self.next_lease)
    }

    /// Renews a lease and returns its time to live; `None` if it has ended.
    pub fn keep_alive(&mut self, lease: Lease, now: Instant) -> Option<Duration> {
        let term = self.leases.get_mut(&lease.0)?;
        term.expires_at = now + term.ttl;
        Some(term.ttl)
    }

    /// Returns whether a lease was granted and has not ended yet.
    pub fn has_lease(&self, lease: Lease) -> bool {
        self.leases.contains_key(&lease.0)
    }

    /// Ends all leases; the next call of [`State::expire`] deletes their keys.
    pub fn end_leases(&mut self) {
        self.leases.clear();
    }

    /// Ends the leases that have expired at `now`, deletes their keys, and returns whether there were any keys.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.leases.retain(|_, term| term.expires_at > now);
        let expired_keys: Vec<String> = self
            .values
            .iter()
            .filter(|(_, stored)| {
                stored
                    .lease
                    .is_some_and(|lease| !self.leases.contains_key(&lease.0))
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in &expired_keys {
            self.delete(key);
        }
        !expired_keys.is_empty()
    }

    /// Drops all history, so that watches from earlier revisions fail.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted = self.revision;
    }

    fn put(&mut self, key: &str, value: Vec<u8>, lease: Option<Lease>) {
        self.revision += 1;
        let entry = Entry {
            key: key.to_owned(),
            value: value.into(),
            revision: self.revision,
        };
        self.record(Event::Put(entry.clone()));
        self.values.insert(key.to_owned(), Stored { entry, lease });
    }

    fn delete(&mut self, key: &str) {
        if self.values.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        self.record(Event::Delete {
            key: key.to_owned(),
            revision: self.revision,
        });
    }

    fn record(&mut self, event: Event) {
        self.history.push(event);
        if self.history.len() > MAX_HISTORY_EVENTS {
            let dropped = self.history.len() / 2;
            self.compacted = self.history[dropped - 1].revision();
            self.history.drain(..dropped);
        }
    }
}

fn event_key(event: &Event) -> &str {
    match event {
        Event::Put(entry) => &entry.key,
        Event::Delete { key, .. } => key,
    }
}
