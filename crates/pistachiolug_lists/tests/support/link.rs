//! Link from one instance to the key-value service, with faults that a test sets.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use pistachiolug_platform::kv::{
    Entry, Error, Event, Lease, Position, Precondition, Range, Store, Swap, memory::Memory,
};
use tokio::time::sleep;

/// Behaviour of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Mode {
    /// Passes all calls on.
    Up,
    /// Fails every call.
    Down,
    /// Accepts watches but never returns an event.
    Hanging,
    /// Answers full reads as if nothing had been written yet.
    Outdated,
}

/// Store of one instance behind a link; clones share the mode.
#[derive(Debug, Clone)]
pub(crate) struct Link<S = Memory> {
    store: S,
    mode: Arc<AtomicU8>,
}

impl<S: Clone> Link<S> {
    pub(crate) fn new(store: &S) -> Self {
        Self {
            store: store.clone(),
            mode: Arc::new(AtomicU8::new(Mode::Up as u8)),
        }
    }

    pub(crate) fn set_mode(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::Release);
    }

    fn has_mode(&self, mode: Mode) -> bool {
        self.mode.load(Ordering::Acquire) == mode as u8
    }

    fn check_connected(&self) -> Result<(), Error> {
        if self.has_mode(Mode::Down) {
            return Err(Error::Unavailable {
                reason: "link is down".to_owned(),
            });
        }
        Ok(())
    }
}

impl<S: Store> Store for Link<S> {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.check_connected()?;
        self.store.get(key).await
    }

    async fn range(&self, prefix: &str) -> Result<Range, Error> {
        self.check_connected()?;
        if self.has_mode(Mode::Outdated) {
            return Ok(Range::default());
        }
        self.store.range(prefix).await
    }

    async fn swap(
        &self,
        key: &str,
        expect: Precondition,
        value: Option<&[u8]>,
        lease: Option<Lease>,
    ) -> Result<Swap, Error> {
        self.check_connected()?;
        self.store.swap(key, expect, value, lease).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Position,
        wait: Duration,
    ) -> Result<Vec<Event>, Error> {
        self.check_connected()?;
        if self.has_mode(Mode::Hanging) {
            sleep(wait).await;
            return Err(Error::Unavailable {
                reason: "watch timed out".to_owned(),
            });
        }
        let events = self.store.watch(prefix, after, wait).await?;
        self.check_connected()?;
        Ok(events)
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        self.check_connected()?;
        self.store.grant(ttl).await
    }

    async fn keep_alive(&self, lease: Lease) -> Result<(), Error> {
        self.check_connected()?;
        self.store.keep_alive(lease).await
    }
}
