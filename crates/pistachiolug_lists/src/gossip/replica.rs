//! Replica of the lists in one process.

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

/// Origin of the lists of this process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Source {
    /// No lists yet: the process serves no calls.
    None,
    /// Peers only; the key-value service has not responded yet.
    Peers,
    /// Key-value service, by a full read at the start or later.
    Service,
}

/// State of a replica, as shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Revision of the key-value service up to which all changes are included.
    pub revision: u64,
    /// Digest of all rows as written, including those that are not active.
    pub digest: Digest,
    /// Whether the process has lists from a trusted source and may serve calls.
    pub ready: bool,
    /// Origin of the lists.
    pub source: Source,
    /// Time in milliseconds since the key-value service confirmed the lists; `None` before the first confirmation.
    pub age_ms: Option<u64>,
    /// Whether this instance is a watcher of its zone.
    pub watcher: bool,
    /// Rows that are not active as written, with the reasons.
    pub problems: Vec<Problem>,
}

/// Replica of the lists; clones share the same state.
#[derive(Debug, Clone)]
pub struct Replica {
    inner: Arc<Mutex<Inner>>,
    active: ActiveLists,
    /// Revision of the last change of rows; notifies the task that pushes changes.
    changed: watch::Sender<u64>,
    /// Requests a pull at once.
    pull: Arc<Notify>,
}

#[derive(Debug)]
struct Inner {
    table: Table,
    source: Source,
    /// Latest time at which the key-value service is known to have had exactly these rows; never decreases.
    confirmed_at: Option<Instant>,
    is_watcher: bool,
    /// Whether a peer had other rows at the same revision, so that only the service can tell which are right.
    is_diverged: bool,
}

impl Replica {
    /// Creates an empty replica that installs its lists into `active`.
    pub fn new(active: ActiveLists) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                table: Table::default(),
                source: Source::None,
                confirmed_at: None,
                is_watcher: false,
                is_diverged: false,
            })),
            active,
            changed: watch::Sender::new(0),
            pull: Arc::default(),
        }
    }

    /// Returns the revision up to which all changes are included; 0 for an empty replica.
    pub fn revision(&self) -> u64 {
        self.inner().table.revision()
    }

    /// Returns the state of this replica for operators.
    pub fn report(&self) -> Report {
        let now = Instant::now();
        let inner = self.inner();
        Report {
            revision: inner.table.revision(),
            digest: inner.table.digest(),
            ready: self.active.is_ready(),
            source: inner.source,
            age_ms: inner.confirmed_at.map(|at| millis(now - at)),
            watcher: inner.is_watcher,
            problems: self.active.current().problems().to_vec(),
        }
    }

    /// Returns the time since the key-value service confirmed the rows; `None` before the first confirmation.
    pub fn age(&self) -> Option<Duration> {
        let confirmed_at = self.inner().confirmed_at;
        confirmed_at.map(|at| at.elapsed())
    }

    /// Returns whether a peer had other rows at the same revision, which only a full read of the service resolves.
    pub fn is_diverged(&self) -> bool {
        self.inner().is_diverged
    }

    /// Sets whether this instance is a watcher of its zone, for reports.
    pub fn set_watcher(&self, is_watcher: bool) {
        self.inner().is_watcher = is_watcher;
    }

    /// Applies a full read of the key-value service that was requested at `requested_at`.
    ///
    /// Returns `false` and changes nothing if the read is older than this replica.
    pub fn apply_snapshot(
        &self,
        changes: Vec<Change>,
        revision: u64,
        requested_at: Instant,
    ) -> bool {
        let mut inner = self.inner();
        let before = inner.table.digest();
        if !inner.table.apply_snapshot(changes, revision) {
            return false;
        }
        inner.is_diverged = false;
        inner.source = Source::Service;
        inner.confirm(requested_at);
        self.activate(inner, before);
        true
    }

    /// Applies the changes from a watch that was opened at `requested_at`.
    ///
    /// A watch without changes confirms the current rows.
    pub fn apply_events(&self, changes: Vec<Change>, requested_at: Instant) {
        let mut inner = self.inner();
        let before = inner.table.digest();
        let newest = changes.iter().map(|change| change.revision).max();
        let mut changed = false;
        for change in changes {
            changed |= inner.table.apply(change);
        }
        inner.table.advance(newest.unwrap_or(0));
        inner.confirm(requested_at);
        if changed {
            self.activate(inner, before);
        }
    }

    /// Applies a peer's rows, requested or received at `requested_at`; older rows than this replica's are ignored.
    ///
    /// Returns `false` if changes are missing between this replica's revision and the delta, so that a pull is needed.
    pub fn apply_delta(&self, delta: Delta, requested_at: Instant) -> bool {
        let mut inner = self.inner();
        let own_revision = inner.table.revision();
        if delta.revision < own_revision {
            return true;
        }
        let before = inner.table.digest();
        let is_empty = inner.source == Source::None;
        let is_contiguous = delta.whole || (own_revision >= delta.after && !is_empty);
        if delta.whole && (is_empty || delta.revision > own_revision) {
            inner.table.apply_snapshot(delta.changes, delta.revision);
        } else {
            for change in delta.changes {
                inner.table.apply(change);
            }
        }
        if !is_contiguous {
            self.activate(inner, before);
            return false;
        }
        inner.table.advance(delta.revision);
        if is_empty {
            inner.source = Source::Peers;
        }
        if inner.table.digest() == delta.digest {
            let age = Duration::from_millis(delta.age_ms);
            if let Some(confirmed_at) = requested_at.checked_sub(age) {
                inner.confirm(confirmed_at);
            }
        } else if inner.table.revision() == delta.revision {
            inner.is_diverged = true;
        }
        self.activate(inner, before);
        true
    }

    /// Returns the changes that the requesting instance lacks, or all rows if it has other rows at the same revision.
    ///
    /// `None` while this replica is empty.
    pub fn answer(&self, request: &PullRequest, sender: &str) -> Option<Delta> {
        let inner = self.inner();
        if inner.source == Source::None {
            return None;
        }
        let table = &inner.table;
        let is_diverged = request.after == table.revision() && request.digest != table.digest();
        let after = if is_diverged { 0 } else { request.after };
        Some(inner.delta(after, sender))
    }

    /// Returns the changes after a revision, for a push.
    pub fn delta(&self, after: u64, sender: &str) -> Delta {
        self.inner().delta(after, sender)
    }

    /// Subscribes to changes of the rows; the value is the revision of the last one.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// Requests a pull at once.
    pub fn request_pull(&self) {
        self.pull.notify_one();
    }

    /// Waits until a pull is requested.
    pub async fn pull_requested(&self) {
        self.pull.notified().await;
    }

    /// Returns the request for the changes that this replica lacks.
    pub fn pull_request(&self) -> PullRequest {
        let inner = self.inner();
        PullRequest {
            after: inner.table.revision(),
            digest: inner.table.digest(),
        }
    }

    /// Activates the lists that follow from the rows, and notifies the push task if the rows differ from `before`.
    ///
    /// Does nothing while the replica is empty.
    fn activate(&self, mut inner: MutexGuard<'_, Inner>, before: Digest) {
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
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    fn delta(&self, after: u64, sender: &str) -> Delta {
        let (changes, whole) = self.table.changes_after(after);
        let age = self.confirmed_at.map(|at| millis(at.elapsed()));
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
