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
pub use pistachiolug_wire::position::Position;
use snafu::Snafu;

/// One stored value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key of the value.
    pub key: String,
    /// Value of at most 1 MiB.
    pub value: Bytes,
    /// Revision of the service at the write that stored the value; it grows with every write to the service.
    pub revision: u64,
}

/// All values under a prefix, exactly as they were at one position.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Range {
    /// Values ordered by key.
    pub entries: Vec<Entry>,
    /// Position of the service at which it held these entries and no others; their revisions are of its era. Processes
    /// that are at one position have the same rows, which the changes that they send each other rely on.
    pub position: Position,
}

/// Precondition of a write; if it does not hold, the write has no effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Precondition {
    /// The key has no value.
    Absent,
    /// The key still has the value that was stored at this revision.
    Revision(u64),
}

/// Result of a compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Swap {
    /// The write took effect.
    Done {
        /// Revision of the write.
        revision: u64,
    },
    /// The precondition did not hold, so nothing was written.
    Lost {
        /// Current value of the key; `None` if it has none.
        current: Option<Entry>,
    },
}

/// Change that a watch returns.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A value was stored.
    Put(Entry),
    /// A key was deleted, or the lease that it is bound to ended.
    Delete {
        /// Key that no longer has a value.
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

/// Id of a lease that keys can be bound to; the service deletes these keys when the lease ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Lease(pub i64);

/// Failure of a call to the service.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The service could not be reached or refused the call, which certainly had no effect.
    #[snafu(display("key-value service unavailable: {reason}"))]
    Unavailable {
        /// Cause.
        reason: String,
    },
    /// The call may have taken effect; callers have to read the key again before they rely on either.
    #[snafu(display("effect unknown: {reason}"))]
    Unknown {
        /// Cause.
        reason: String,
    },
    /// The service or the local rate limiter refused the call, which had no effect.
    #[snafu(display("throttled, come back in {} ms", after.as_millis()))]
    Throttled {
        /// Time until the next try.
        after: Duration,
    },
    /// The service doesn't have the events after the watch's start, because it dropped them or is in another era. Callers
    /// have to read the range again.
    #[snafu(display("revision compacted, oldest kept is {oldest}"))]
    Compacted {
        /// Oldest revision that a watch may start from; 0 if the service does not tell.
        oldest: u64,
    },
    /// The lease has ended or is unknown; the call had no effect.
    #[snafu(display("lease ended"))]
    LeaseEnded,
    /// The answer does not follow the protocol.
    #[snafu(display("malformed answer: {reason}"))]
    Malformed {
        /// Description of the violation.
        reason: String,
    },
}

/// Whether a call can change the state of the service, which decides the error of a call without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// The call only reads, so it can be repeated.
    Read,
    /// The call may change the service's state.
    Write,
}

impl Error {
    /// Creates the error of a call that certainly had no effect.
    pub fn unavailable(cause: impl ToString) -> Self {
        Self::Unavailable {
            reason: cause.to_string(),
        }
    }

    /// Creates the error of an answer that does not follow the protocol.
    pub fn malformed(cause: impl ToString) -> Self {
        Self::Malformed {
            reason: cause.to_string(),
        }
    }

    /// Converts an error of the HTTP client: [`Error::Unknown`] if the call may have changed the service's state.
    pub fn without_response(error: &client::Error, effect: Effect) -> Self {
        if error.is_unsent() || effect == Effect::Read {
            return Self::unavailable(error);
        }
        Self::Unknown {
            reason: error.to_string(),
        }
    }
}

/// Interface of the key-value service; every method counts as one call for the rate limit.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads one key; `None` if it has no value.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, Error>> + Send;

    /// Reads all keys that start with `prefix`.
    fn range(&self, prefix: &str) -> impl Future<Output = Result<Range, Error>> + Send;

    /// Stores `value`, or deletes the key if it is `None`, provided that the precondition holds.
    ///
    /// # Errors
    /// [`Error::Unknown`] if the write may have taken effect, [`Error::LeaseEnded`] if the lease has ended.
    fn swap(
        &self,
        key: &str,
        precondition: Precondition,
        value: Option<&[u8]>,
        lease: Option<Lease>,
    ) -> impl Future<Output = Result<Swap, Error>> + Send;

    /// Waits at most for `wait` until there are changes under `prefix` after a position.
    ///
    /// Returns an empty list if nothing has changed. All events are of the position's era. They may be repeated, so callers
    /// have to compare revisions.
    ///
    /// # Errors
    /// [`Error::Compacted`] if the service doesn't have all events after the position, or is in another era.
    fn watch(
        &self,
        prefix: &str,
        after: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<Vec<Event>, Error>> + Send;

    /// Grants a lease for `ttl`, which has to be in whole seconds and at least one second.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Renews a lease, which is then valid for its full time again.
    ///
    /// # Errors
    /// [`Error::LeaseEnded`] if the lease has ended.
    fn keep_alive(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;

    /// Returns the newest era that an answer of the service has named, also one to a failed call; 0 if there is none.
    ///
    /// Makes no call. Leases of an earlier era have ended.
    fn era(&self) -> u64 {
        0
    }
}

/// Returns the exclusive end of the range of keys that start with `prefix`, which is empty or ends with an ASCII
/// character.
fn prefix_end(prefix: &str) -> String {
    let mut end = prefix.to_owned();
    match end.pop() {
        Some(last) => end.push(char::from(last as u8 + 1)),
        None => end.push(char::MAX),
    }
    end
}
