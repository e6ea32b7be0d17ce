//! State of the lists at one place.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use pistachiolug_wire::digest::Digest;
use serde::Serialize;
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};

use super::message::{Delta, PullRequest};
use crate::{
    active::ActiveLists,
    table::{Change, Problem, Table},
};

/// Where the lists in force came from at first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// From nowhere: the process serves no call.
    None,
    /// From peers only, while the service gave no answer.
    Peers,
    /// From the key-value service.
    Service,
}

/// What a place tells about its lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Revision in force.
    pub revision: u64,
    /// Digest of the rows as written.
    pub digest: Digest,
    /// Whether the process may serve.
    pub ready: bool,
    /// Where the lists came from at first.
    pub source: Source,
    /// Time since the service confirmed the lists, in milliseconds; `None` before the first time.
    pub age_ms: Option<u64>,
    /// Whether this place watches for its zone.
    pub watcher: bool,
    /// Rows kept out.
    pub problems: Vec<Problem>,
}

/// Lists of one place; clones share them.
#[derive(Debug, Clone)]
pub struct Replica {
    inner: Arc<Mutex<Inner>>,
    active: ActiveLists,
    /// Revision of the last change of rows, which wakes pushes.
    changed: watch::Sender<u64>,
    /// Wakes the next pull.
    behind: Arc<Notify>,
}

#[derive(Debug)]
struct Inner {
    table: Table,
    source: Source,
    /// Time at which the service surely had no other rows than these; never falls.
    confirmed: Option<Instant>,
    watcher: bool,
    /// Whether a peer at the same revision had other rows, so that only the service can tell.
    doubted: bool,
}

impl Replica {
    /// Creates a place without lists.
    pub fn new(active: ActiveLists) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                table: Table::default(),
                source: Source::None,
                confirmed: None,
                watcher: false,
                doubted: false,
            })),
            active,
            changed: watch::Sender::new(0),
            behind: Arc::default(),
        }
    }

    /// Returns the revision of this place.
    pub fn revision(&self) -> u64 {
        self.inner().table.revision()
    }

    /// Returns what this place tells about its lists.
    pub fn report(&self) -> Report {
        let now = Instant::now();
        let inner = self.inner();
        Report {
            revision: inner.table.revision(),
            digest: inner.table.digest(),
            ready: self.active.is_ready(),
            source: inner.source,
            age_ms: inner.confirmed.map(|at| millis(now - at)),
            watcher: inner.watcher,
            problems: self.active.current().problems().to_vec(),
        }
    }

    /// Returns the time since the service confirmed the lists.
    pub fn age(&self) -> Option<Duration> {
        let confirmed = self.inner().confirmed;
        confirmed.map(|at| at.elapsed())
    }

    /// Tells whether only a reading of the service can tell which rows are right.
    pub fn is_diverged(&self) -> bool {
        self.inner().doubted
    }

    /// Notes whether this place watches for its zone.
    pub fn set_watcher(&self, watcher: bool) {
        self.inner().watcher = watcher;
    }

    /// Takes a complete reading of the service that was asked for at `asked`.
    ///
    /// Returns `false` for a reading older than the lists in force.
    pub fn apply_snapshot(&self, changes: Vec<Change>, revision: u64, asked: Instant) -> bool {
        let mut inner = self.inner();
        let before = inner.table.digest();
        if !inner.table.apply_snapshot(changes, revision) {
            return false;
        }
        inner.doubted = false;
        inner.source = Source::Service;
        inner.confirm(asked);
        self.put_in_force(inner, before);
        true
    }

    /// Takes changes that a watch gave which was opened at `asked`; none confirm what is there.
    pub fn apply_events(&self, changes: Vec<Change>, asked: Instant) {
        let mut inner = self.inner();
        let before = inner.table.digest();
        let newest = changes.iter().map(|change| change.revision).max();
        let mut changed = false;
        for change in changes {
            changed |= inner.table.apply(change);
        }
        inner.table.advance(newest.unwrap_or(0));
        inner.confirm(asked);
        if changed {
            self.put_in_force(inner, before);
        }
    }

    /// Takes a peer's rows, asked for at `asked`.
    ///
    /// Returns `false` when the rows do not connect to those of this place, so that it has to ask for more.
    pub fn apply_delta(&self, delta: Delta, asked: Instant) -> bool {
        let mut inner = self.inner();
        let own = inner.table.revision();
        if delta.revision < own {
            return true;
        }
        let before = inner.table.digest();
        let cold = inner.source == Source::None;
        let connects = delta.whole || (own >= delta.after && !cold);
        if delta.whole && (cold || delta.revision > own) {
            inner.table.apply_snapshot(delta.changes, delta.revision);
        } else {
            for change in delta.changes {
                inner.table.apply(change);
            }
        }
        if !connects {
            self.put_in_force(inner, before);
            return false;
        }
        inner.table.advance(delta.revision);
        if cold {
            inner.source = Source::Peers;
        }
        if inner.table.digest() == delta.digest {
            let age = Duration::from_millis(delta.age_ms);
            if let Some(confirmed) = asked.checked_sub(age) {
                inner.confirm(confirmed);
            }
        } else if inner.table.revision() == delta.revision {
            inner.doubted = true;
        }
        self.put_in_force(inner, before);
        true
    }

    /// Returns what a place lacks that is at `ask`; `None` before this place has lists.
    pub fn answer(&self, ask: &PullRequest, sender: &str) -> Option<Delta> {
        let inner = self.inner();
        if inner.source == Source::None {
            return None;
        }
        let table = &inner.table;
        let same = ask.after == table.revision() && ask.digest != table.digest();
        let after = if same { 0 } else { ask.after };
        Some(inner.delta(after, sender))
    }

    /// Returns the changes after a revision, to push them.
    pub fn delta(&self, after: u64, sender: &str) -> Delta {
        self.inner().delta(after, sender)
    }

    /// Subscribes to changes of the rows.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Asks for a pull at once.
    pub fn request_pull(&self) {
        self.behind.notify_one();
    }

    /// Waits until a pull is asked for.
    pub async fn pull_requested(&self) {
        self.behind.notified().await;
    }

    /// Returns what a place asks its peers for.
    pub fn pull_request(&self) -> PullRequest {
        let inner = self.inner();
        PullRequest {
            after: inner.table.revision(),
            digest: inner.table.digest(),
        }
    }

    fn put_in_force(&self, mut inner: MutexGuard<'_, Inner>, before: Digest) {
        if inner.source == Source::None {
            return;
        }
        let same_rows = inner.table.digest() == before;
        let revision = inner.table.revision();
        if same_rows && self.active.is_ready() && self.active.current().revision() == revision {
            return;
        }
        self.active.replace_trusted(Arc::new(inner.table.resolve()));
        drop(inner);
        if !same_rows {
            self.changed.send_replace(revision);
        }
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn confirm(&mut self, at: Instant) {
        self.confirmed = self.confirmed.max(Some(at));
    }

    fn delta(&self, after: u64, sender: &str) -> Delta {
        let (changes, whole) = self.table.changes_after(after);
        let age = self.confirmed.map(|at| millis(at.elapsed()));
        Delta {
            sender: sender.to_owned(),
            after,
            revision: self.table.revision(),
            digest: self.table.digest(),
            age_ms: age.unwrap_or(u64::MAX),
            whole,
            changes,
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
