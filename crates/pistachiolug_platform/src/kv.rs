//! Key-value service with compare-and-swap, leases and watches.

pub mod etcd;
pub mod held_lease;
pub mod memory;
pub mod rate_limit;
pub mod rate_limited;
pub mod state;

use std::{future::Future, time::Duration};

use bytes::Bytes;
use pistachiolug_http::client;
use snafu::Snafu;

/// One stored value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key.
    pub key: String,
    /// Value of at most 1 MiB.
    pub value: Bytes,
    /// Service revision of the write that stored the value; grows with every write to the service.
    pub revision: u64,
}

/// All values under a prefix at one revision.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Range {
    /// Values ordered by key.
    pub entries: Vec<Entry>,
    /// Service revision the read was made at.
    pub revision: u64,
}

/// Condition under which a write takes effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The key holds nothing.
    Absent,
    /// The key holds the value stored at this revision.
    Revision(u64),
}

/// Answer to a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Swap {
    /// The write took effect at this revision.
    Done {
        /// Revision of the write.
        revision: u64,
    },
    /// The condition did not hold; nothing was written.
    Lost {
        /// What the key holds instead.
        current: Option<Entry>,
    },
}

/// Change seen by a watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A value was stored.
    Put(Entry),
    /// A key was deleted or its lease ended.
    Delete {
        /// Key.
        key: String,
        /// Revision of the deletion.
        revision: u64,
    },
}

impl Event {
    /// Returns the revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Put(entry) => entry.revision,
            Self::Delete { revision, .. } => *revision,
        }
    }
}

/// Lease that keys can be bound to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Lease(pub i64);

/// Reports a call to the service that has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The call surely had no effect.
    #[snafu(display("key-value service unavailable: {reason}"))]
    Unavailable {
        /// Cause.
        reason: String,
    },
    /// The call may have taken effect; read again before acting on it.
    #[snafu(display("effect unknown: {reason}"))]
    Unknown {
        /// Cause.
        reason: String,
    },
    /// The service or the local budget refused the call for its rate.
    #[snafu(display("throttled, come back in {} ms", after.as_millis()))]
    Throttled {
        /// When to try again.
        after: Duration,
    },
    /// The watch's start is no longer kept; read the range anew.
    #[snafu(display("revision compacted, oldest kept is {oldest}"))]
    Compacted {
        /// Oldest revision a watch may start from.
        oldest: u64,
    },
    /// The lease has ended.
    #[snafu(display("lease ended"))]
    LeaseEnded,
    /// The answer breaks the protocol.
    #[snafu(display("malformed answer: {reason}"))]
    Malformed {
        /// What was wrong.
        reason: String,
    },
}

/// How a call whose answer was lost is judged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// The call only reads.
    Read,
    /// The call may change the service's state.
    Write,
}

impl Error {
    /// Creates the error of a call that surely had no effect.
    pub fn unavailable(cause: impl ToString) -> Self {
        Self::Unavailable {
            reason: cause.to_string(),
        }
    }

    /// Creates the error of an answer that breaks the protocol.
    pub fn malformed(cause: impl ToString) -> Self {
        Self::Malformed {
            reason: cause.to_string(),
        }
    }

    /// Creates the error of a call without an answer.
    pub fn without_response(error: &client::Error, effect: Effect) -> Self {
        if error.unsent() || effect == Effect::Read {
            return Self::unavailable(error);
        }
        Self::Unknown {
            reason: error.to_string(),
        }
    }
}

/// Key-value service of the platform; every method is one call of its rate budget.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, Error>> + Send;

    /// Reads all keys that start with `prefix`.
    fn range(&self, prefix: &str) -> impl Future<Output = Result<Range, Error>> + Send;

    /// Stores `value`, or deletes the key for `None`, if `expect` holds.
    ///
    /// # Errors
    /// [`Error::Unknown`] when the write may have taken effect.
    fn swap(
        &self,
        key: &str,
        expect: Precondition,
        value: Option<&[u8]>,
        lease: Option<Lease>,
    ) -> impl Future<Output = Result<Swap, Error>> + Send;

    /// Waits up to `wait` for changes under `prefix` after revision `after`.
    ///
    /// Returns an empty list when nothing changed; events may repeat, so callers compare revisions.
    fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Vec<Event>, Error>> + Send;

    /// Grants a lease of `ttl` (whole seconds, at least one).
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Renews a lease for its full time.
    fn keep_alive(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;
}

/// Returns an end after all keys that start with `prefix`, which is empty or ends with an ASCII character.
fn end_of(prefix: &str) -> String {
    let mut end = prefix.to_owned();
    match end.pop() {
        Some(last) => end.push(char::from(last as u8 + 1)),
        None => end.push(char::MAX),
    }
    end
}
