//! Key-value service in memory with random faults from a seed, for tests of its users.

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

use super::{
    Entry, Error, Event, Lease, Position, Precondition, Range, Store, Swap, prefix_end,
    state::State,
};

/// Faults to inject; the probabilities are per call and from 0 to 1.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Probability that a call has no effect and reports so.
    pub unavailable: f64,
    /// Probability that a write takes effect, but its answer is lost.
    pub lost_response: f64,
    /// Probability that a write has no effect, but its caller can't tell.
    pub lost_request: f64,
    /// Maximum number of times that a call yields to other tasks before it takes effect, and again before it answers.
    pub max_yields: u32,
    /// Duration of each call other than a watch; half of it passes before the call takes effect.
    pub latency: Duration,
}

/// Numbers of calls by kind, and of written bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Number of reads of keys and ranges.
    pub reads: u64,
    /// Number of conditional writes and of calls for leases.
    pub writes: u64,
    /// Number of watches.
    pub watches: u64,
    /// Total size of the written values in bytes.
    pub written_bytes: u64,
}

/// Store in memory; clones share its state.
#[derive(Debug, Clone)]
pub struct Memory {
    inner: Arc<Mutex<Shared>>,
    /// Revision of the last write; a change wakes the watches.
    written: watch::Sender<u64>,
}

#[derive(Debug)]
struct Shared {
    state: State,
    faults: Faults,
    rng: StdRng,
    counts: Counts,
}

/// Faults of one call.
#[derive(Debug, Clone, Copy)]
struct CallFaults {
    unavailable: bool,
    lost_response: bool,
    lost_request: bool,
}

impl Memory {
    /// Creates an empty store whose random faults depend on `seed`; it has no faults at first.
    pub fn new(seed: u64) -> Self {
        Self {
            inner: Arc::new(Mutex::new(Shared {
                state: State::default(),
                faults: Faults::default(),
                rng: StdRng::seed_from_u64(seed),
                counts: Counts::default(),
            })),
            written: watch::Sender::new(0),
        }
    }

    /// Sets the faults of all later calls.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Returns the numbers of calls so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    /// Drops all history, so that watches from earlier revisions fail.
    pub fn compact(&self) {
        self.lock().state.compact();
    }

    /// Returns a copy of the current state for [`Memory::restore`].
    pub fn copy(&self) -> State {
        self.lock().state.clone()
    }

    /// Replaces the state by an earlier copy: what was written since then is lost, and a new era begins. Waiting watches
    /// fail.
    pub fn restore(&self, copy: State) {
        self.lock().state.restore(copy);
        self.wake_watches();
    }

    /// Writes a value without a precondition and without faults, as another client would, and returns the revision.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        self.write(key, Some(value))
    }

    /// Deletes a key without a precondition and without faults, as another client would, and returns the revision.
    pub fn delete(&self, key: &str) -> u64 {
        self.write(key, None)
    }

    /// Reads a key without faults.
    pub fn peek(&self, key: &str) -> Option<Entry> {
        self.lock().state.get(key)
    }

    /// Ends the leases that have expired at `now`, and deletes their keys.
    pub fn expire(&self, now: Instant) {
        self.lock().state.expire(now);
        self.wake_watches();
    }

    fn write(&self, key: &str, value: Option<&[u8]>) -> u64 {
        let mut inner = self.lock();
        let precondition = match inner.state.get(key) {
            Some(entry) => Precondition::Revision(entry.revision),
            None => Precondition::Absent,
        };
        inner
            .state
            .swap(key, precondition, value.map(<[u8]>::to_vec), None);
        let revision = inner.state.revision();
        drop(inner);
        self.wake_watches();
        revision
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn wake_watches(&self) {
        let revision = self.lock().state.revision();
        self.written.send_replace(revision);
    }

    async fn yield_and_sleep(&self) {
        let yields = {
            let mut inner = self.lock();
            let max_yields = inner.faults.max_yields;
            inner.rng.random_range(0..=max_yields)
        };
        for _ in 0..yields {
            yield_now().await;
        }
        let latency = self.lock().faults.latency;
        if !latency.is_zero() {
            sleep(latency / 2).await;
        }
    }

    fn draw_faults(&self) -> CallFaults {
        let mut inner = self.lock();
        let faults = inner.faults;
        CallFaults {
            unavailable: inner.rng.random_bool(faults.unavailable),
            lost_response: inner.rng.random_bool(faults.lost_response),
            lost_request: inner.rng.random_bool(faults.lost_request),
        }
    }

    async fn read<T>(&self, read: impl FnOnce(&State) -> T) -> Result<T, Error> {
        self.yield_and_sleep().await;
        let call_faults = self.draw_faults();
        self.lock().counts.reads += 1;
        if call_faults.unavailable {
            return Err(unavailable());
        }
        let value = read(&self.lock().state);
        self.yield_and_sleep().await;
        Ok(value)
    }
}

impl Store for Memory {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.read(|state| state.get(key)).await
    }

    async fn range(&self, prefix: &str) -> Result<Range, Error> {
        let end = prefix_end(prefix);
        self.read(|state| state.range(prefix, &end)).await
    }

    async fn swap(
        &self,
        key: &str,
        precondition: Precondition,
        value: Option<&[u8]>,
        lease: Option<Lease>,
    ) -> Result<Swap, Error> {
        self.yield_and_sleep().await;
        let call_faults = self.draw_faults();
        let swap = {
            let mut inner = self.lock();
            inner.counts.writes += 1;
            inner.counts.written_bytes += value.map_or(0, <[u8]>::len) as u64;
            if call_faults.unavailable {
                return Err(unavailable());
            }
            if call_faults.lost_request {
                return Err(unknown());
            }
            if lease.is_some_and(|lease| !inner.state.has_lease(lease)) {
                return Err(Error::LeaseEnded);
            }
            inner
                .state
                .swap(key, precondition, value.map(<[u8]>::to_vec), lease)
        };
        self.wake_watches();
        self.yield_and_sleep().await;
        if call_faults.lost_response {
            return Err(unknown());
        }
        Ok(swap)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Position,
        wait: Duration,
    ) -> Result<Vec<Event>, Error> {
        self.lock().counts.watches += 1;
        if self.draw_faults().unavailable {
            return Err(unavailable());
        }
        let end = prefix_end(prefix);
        let mut written = self.written.subscribe();
        let events = async {
            loop {
                let events = {
                    let state = &self.lock().state;
                    if state.era() != after.era || state.revision() < after.revision {
                        return Err(Error::Compacted { oldest: 0 });
                    }
                    state.events_after(after.revision, prefix, &end)
                };
                let events = events.map_err(|oldest| Error::Compacted { oldest })?;
                if !events.is_empty() || written.changed().await.is_err() {
                    return Ok(events);
                }
            }
        };
        timeout(wait, events).await.unwrap_or(Ok(Vec::new()))
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        self.lock().counts.writes += 1;
        Ok(self.lock().state.grant(ttl, Instant::now()))
    }

    async fn keep_alive(&self, lease: Lease) -> Result<(), Error> {
        self.lock().counts.writes += 1;
        let renewed = self.lock().state.keep_alive(lease, Instant::now());
        renewed.map(drop).ok_or(Error::LeaseEnded)
    }

    fn era(&self) -> u64 {
        self.lock().state.era()
    }
}

fn unavailable() -> Error {
    Error::unavailable("injected fault")
}

fn unknown() -> Error {
    Error::Unknown {
        reason: "injected fault".to_owned(),
    }
}
