//! Line from one place to the key-value service, which a test cuts or makes lie.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

use pistachiolug_platform::kv::{
    Entry, Error, Event, Expect, Lease, Range, Store, Swap, memory::Memory,
};
use tokio::time::sleep;

/// What the line does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum Mode {
    /// Works.
    Up,
    /// Refuses every call.
    Down,
    /// Takes watches and never reports an event.
    Silent,
    /// Answers readings as of the start of the service.
    Old,
}

/// Store of one place; clones share the mode.
#[derive(Debug, Clone)]
pub(crate) struct Line<S = Memory> {
    store: S,
    mode: Arc<AtomicU8>,
}

impl<S: Clone> Line<S> {
    pub(crate) fn new(store: &S) -> Self {
        Self {
            store: store.clone(),
            mode: Arc::new(AtomicU8::new(Mode::Up as u8)),
        }
    }

    pub(crate) fn set(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::Release);
    }

    fn is(&self, mode: Mode) -> bool {
        self.mode.load(Ordering::Acquire) == mode as u8
    }

    fn check(&self) -> Result<(), Error> {
        if self.is(Mode::Down) {
            return Err(Error::Unavailable {
                reason: "line is cut".to_owned(),
            });
        }
        Ok(())
    }
}

impl<S: Store> Store for Line<S> {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.check()?;
        self.store.get(key).await
    }

    async fn range(&self, prefix: &str) -> Result<Range, Error> {
        self.check()?;
        if self.is(Mode::Old) {
            return Ok(Range::default());
        }
        self.store.range(prefix).await
    }

    async fn swap(
        &self,
        key: &str,
        expect: Expect,
        value: Option<&[u8]>,
        lease: Option<Lease>,
    ) -> Result<Swap, Error> {
        self.check()?;
        self.store.swap(key, expect, value, lease).await
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Vec<Event>, Error> {
        self.check()?;
        if self.is(Mode::Silent) {
            sleep(wait).await;
            return Err(Error::Unavailable {
                reason: "watch gave no sign".to_owned(),
            });
        }
        let events = self.store.watch(prefix, after, wait).await?;
        self.check()?;
        Ok(events)
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        self.check()?;
        self.store.grant(ttl).await
    }

    async fn keep_alive(&self, lease: Lease) -> Result<(), Error> {
        self.check()?;
        self.store.keep_alive(lease).await
    }
}
