//! Stored values, history and leases of a key-value service, behind the memory store and the stand-in.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use super::{Entry, Event, Lease, Precondition, Range, Swap};

/// Number of events kept for watches; older ones are compacted.
const HISTORY: usize = 100_000;

/// State of the service.
#[derive(Debug, Default)]
pub struct State {
    /// Revision of the last write.
    revision: u64,
    /// Revision of the last compacted event.
    compacted: u64,
    values: BTreeMap<String, Stored>,
    /// Events after `compacted`, in order of revision.
    history: Vec<Event>,
    leases: BTreeMap<i64, Term>,
    next_lease: i64,
}

#[derive(Debug)]
struct Stored {
    entry: Entry,
    lease: Option<Lease>,
}

#[derive(Debug)]
struct Term {
    ttl: Duration,
    ends: Instant,
}

impl State {
    /// Returns the revision of the last write.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Reads one key.
    pub fn get(&self, key: &str) -> Option<Entry> {
        self.values.get(key).map(|stored| stored.entry.clone())
    }

    /// Reads all keys from `start` up to but without `end`.
    pub fn range(&self, start: &str, end: &str) -> Range {
        Range {
            entries: self
                .values
                .range(start.to_owned()..end.to_owned())
                .map(|(_, stored)| stored.entry.clone())
                .collect(),
            revision: self.revision,
        }
    }

    /// Applies a conditional write.
    pub fn swap(
        &mut self,
        key: &str,
        expect: Precondition,
        value: Option<Vec<u8>>,
        lease: Option<Lease>,
    ) -> Swap {
        let current = self.get(key);
        let holds = match expect {
            Precondition::Absent => current.is_none(),
            Precondition::Revision(revision) => current
                .as_ref()
                .is_some_and(|entry| entry.revision == revision),
        };
        if !holds {
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

    /// Returns events after a revision, or the oldest revision kept if they are compacted.
    pub fn events_after(&self, after: u64, start: &str, end: &str) -> Result<Vec<Event>, u64> {
        if after < self.compacted {
            return Err(self.compacted + 1);
        }
        Ok(self
            .history
            .iter()
            .filter(|event| event.revision() > after)
            .filter(|event| (start..end).contains(&key_of(event)))
            .cloned()
            .collect())
    }

    /// Grants a lease.
    pub fn grant(&mut self, ttl: Duration, now: Instant) -> Lease {
        self.next_lease += 1;
        let term = Term {
            ttl,
            ends: now + ttl,
        };
        self.leases.insert(self.next_lease, term);
        Lease(self.next_lease)
    }

    /// Renews a lease; `None` when it has ended.
    pub fn keep_alive(&mut self, lease: Lease, now: Instant) -> Option<Duration> {
        let term = self.leases.get_mut(&lease.0)?;
        term.ends = now + term.ttl;
        Some(term.ttl)
    }

    /// Tells whether a lease was granted and has not ended.
    pub fn has_lease(&self, lease: Lease) -> bool {
        self.leases.contains_key(&lease.0)
    }

    /// Ends all leases; the next expiry deletes their keys.
    pub fn end_leases(&mut self) {
        self.leases.clear();
    }

    /// Ends leases whose time is over and deletes their keys.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.leases.retain(|_, term| term.ends > now);
        let dead: Vec<String> = self
            .values
            .iter()
            .filter(|(_, stored)| {
                stored
                    .lease
                    .is_some_and(|lease| !self.leases.contains_key(&lease.0))
            })
            .map(|(key, _)| key.clone())
            .collect();
        for key in &dead {
            self.delete(key);
        }
        !dead.is_empty()
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
        if self.history.len() > HISTORY {
            let dropped = self.history.len() / 2;
            self.compacted = self.history[dropped - 1].revision();
            self.history.drain(..dropped);
        }
    }
}

fn key_of(event: &Event) -> &str {
    match event {
        Event::Put(entry) => &entry.key,
        Event::Delete { key, .. } => key,
    }
}
