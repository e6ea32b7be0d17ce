//! Key-value service in memory with faults drawn from a seed, for tests of its users.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::{
    sync::watch,
    task::yield_now,
    time::{sleep, timeout},
};

use super::{Entry, Error, Event, Lease, Precondition, Range, Store, Swap, end_of, state::State};

/// Chances of faults per call, each from 0 to 1.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// The call has no effect and says so.
    pub unavailable: f64,
    /// A write takes effect and its answer is lost.
    pub lost_response: f64,
    /// A write has no effect and its caller cannot know.
    pub lost_request: f64,
    /// Most times a call gives way to other tasks before it takes effect, and as often before it answers.
    pub max_yields: u32,
    /// Time that each call other than a watch takes, half of it before its effect.
    pub latency: Duration,
}

/// Number of calls by kind.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Reads of keys and ranges.
    pub reads: u64,
    /// Conditional writes.
    pub writes: u64,
    /// Watch calls.
    pub watches: u64,
    /// Bytes of written values.
    pub written_bytes: u64,
}

/// Store in memory; clones share it.
#[derive(Debug, Clone)]
pub struct Memory {
    inner: Arc<Mutex<Inner>>,
    /// Revision of the last write, which wakes watches.
    written: watch::Sender<u64>,
}

#[derive(Debug)]
struct Inner {
    state: State,
    faults: Faults,
    rng: StdRng,
    counts: Counts,
}

/// What the faults make of one call.
#[derive(Debug, Clone, Copy)]
struct Fate {
    unavailable: bool,
    lost_response: bool,
    lost_request: bool,
}

impl Memory {
    /// Creates an empty store whose faults follow from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Inner {
                state: State::default(),
                faults: Faults::default(),
                rng: StdRng::seed_from_u64(seed),
                counts: Counts::default(),
            })),
            written: watch::Sender::new(0),
        }
    }

    /// Changes the faults from now on.
    pub fn set_faults(&self, faults: Faults) {
        self.inner().faults = faults;
    }

    /// Returns the numbers of calls so far.
    pub fn counts(&self) -> Counts {
        self.inner().counts
    }

    /// Drops all history, so that watches from earlier revisions fail.
    pub fn compact(&self) {
        self.inner().state.compact();
    }

    /// Writes a value without a condition and without faults, as some other client would.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        self.write(key, Some(value))
    }

    /// Deletes a key without a condition and without faults, as some other client would.
    pub fn delete(&self, key: &str) -> u64 {
        self.write(key, None)
    }

    /// Reads a key without faults.
    pub fn peek(&self, key: &str) -> Option<Entry> {
        self.inner().state.get(key)
    }

    /// Ends leases that are over at `now`.
    pub fn expire(&self, now: Instant) {
        self.inner().state.expire(now);
        self.wake();
    }

    fn write(&self, key: &str, value: Option<&[u8]>) -> u64 {
        let mut inner = self.inner();
        let expect = match inner.state.get(key) {
            Some(entry) => Precondition::Revision(entry.revision),
            None => Precondition::Absent,
        };
        inner
            .state
            .swap(key, expect, value.map(<[u8]>::to_vec), None);
        let revision = inner.state.revision();
        drop(inner);
        self.wake();
        revision
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wake(&self) {
        let revision = self.inner().state.revision();
        self.written.send_replace(revision);
    }

    async fn give_way(&self) {
        let times = {
            let mut inner = self.inner();
            let most = inner.faults.max_yields;
            inner.rng.random_range(0..=most)
        };
        for _ in 0..times {
            yield_now().await;
        }
        let latency = self.inner().faults.latency;
        if !latency.is_zero() {
            sleep(latency / 2).await;
        }
    }

    fn draw(&self) -> Fate {
        let mut inner = self.inner();
        let faults = inner.faults;
        Fate {
            unavailable: inner.rng.random_bool(faults.unavailable),
            lost_response: inner.rng.random_bool(faults.lost_response),
            lost_request: inner.rng.random_bool(faults.lost_request),
        }
    }

    async fn read<T>(&self, read: impl FnOnce(&State) -> T) -> Result<T, Error> {
        self.give_way().await;
        let fate = self.draw();
        self.inner().counts.reads += 1;
        if fate.unavailable {
            return Err(unavailable());
        }
        let value = read(&self.inner().state);
        self.give_way().await;
        Ok(value)
    }
}

impl Store for Memory {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.read(|state| state.get(key)).await
    }

    async fn range(&self, prefix: &str) -> Result<Range, Error> {
        let end = end_of(prefix);
        self.read(|state| state.range(prefix, &end)).await
    }

    async fn swap(
        &self,
        key: &str,
        expect: Precondition,
        value: Option<&[u8]>,
        lease: Option<Lease>,
    ) -> Result<Swap, Error> {
        self.give_way().await;
        let fate = self.draw();
        let swap = {
            let mut inner = self.inner();
            inner.counts.writes += 1;
            inner.counts.written_bytes += value.map_or(0, <[u8]>::len) as u64;
            if fate.unavailable {
                return Err(unavailable());
            }
            if fate.lost_request {
                return Err(unknown());
            }
            if lease.is_some_and(|lease| !inner.state.has_lease(lease)) {
                return Err(Error::LeaseEnded);
            }
            inner
                .state
                .swap(key, expect, value.map(<[u8]>::to_vec), lease)
        };
        self.wake();
        self.give_way().await;
        if fate.lost_response {
            return Err(unknown());
        }
        Ok(swap)
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Vec<Event>, Error> {
        self.inner().counts.watches += 1;
        if self.draw().unavailable {
            return Err(unavailable());
        }
        let end = end_of(prefix);
        let mut written = self.written.subscribe();
        let events = async {
            loop {
                let events = self.inner().state.events_after(after, prefix, &end);
                let events = events.map_err(|oldest| Error::Compacted { oldest })?;
                if !events.is_empty() || written.changed().await.is_err() {
                    return Ok(events);
                }
            }
        };
        timeout(wait, events).await.unwrap_or(Ok(Vec::new()))
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        self.inner().counts.writes += 1;
        Ok(self.inner().state.grant(ttl, Instant::now()))
    }

    async fn keep_alive(&self, lease: Lease) -> Result<(), Error> {
        self.inner().counts.writes += 1;
        let renewed = self.inner().state.keep_alive(lease, Instant::now());
        renewed.map(drop).ok_or(Error::LeaseEnded)
    }
}

fn unavailable() -> Error {
    Error::unavailable("fault on order")
}

fn unknown() -> Error {
    Error::Unknown {
        reason: "fault on order".to_owned(),
    }
}
