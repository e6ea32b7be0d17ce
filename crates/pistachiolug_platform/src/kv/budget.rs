//! Client of the key-value service that keeps within a rate budget, whatever its users ask for.

use std::{
    future::Future,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::time::{Instant, sleep, timeout};

use super::{
    Entry, Error, Event, Expect, Lease, Range, Store, Swap,
    pace::{Kind, Pace, Settings},
};

/// Longest time a call may wait for the budget; a longer wait is refused at once, with when to come back.
const QUEUE: Duration = Duration::from_millis(500);

/// Longest time a call may take, without the wait of a watch.
const TIMEOUT: Duration = Duration::from_millis(2_500);

/// Store behind a budget; clones share it.
///
/// A call that has no answer in time is [`Error::Unavailable`] for reads and [`Error::Unknown`] for writes.
#[derive(Debug, Clone)]
pub struct Budget<S> {
    store: S,
    pace: Arc<Mutex<Pace>>,
    start: Instant,
}

impl<S: Store> Budget<S> {
    /// Wraps a store.
    pub fn new(store: S, settings: Settings) -> Self {
        Self {
            store,
            pace: Arc::new(Mutex::new(Pace::new(settings))),
            start: Instant::now(),
        }
    }

    async fn call<T>(
        &self,
        kind: Kind,
        within: Duration,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        self.enter(kind).await?;
        let result = timeout(within, call).await.unwrap_or_else(|_| {
            let reason = format!("no answer within {} ms", within.as_millis());
            Err(match kind {
                Kind::Read => Error::Unavailable { reason },
                Kind::Write => Error::Unknown { reason },
            })
        });
        self.note(&result);
        result
    }

    async fn enter(&self, kind: Kind) -> Result<(), Error> {
        let deadline = self.start.elapsed() + QUEUE;
        loop {
            let now = self.start.elapsed();
            let Err(after) = self.with_pace(|pace| pace.take(kind, now)) else {
                return Ok(());
            };
            if now + after > deadline {
                return Err(Error::Throttled { after });
            }
            sleep(after).await;
        }
    }

    fn note<T>(&self, result: &Result<T, Error>) {
        let now = self.start.elapsed();
        self.with_pace(|pace| match result {
            Err(Error::Unavailable { .. } | Error::Unknown { .. } | Error::Throttled { .. }) => {
                pace.fail(now, rand::random());
            }
            _ => pace.succeed(),
        });
    }

    fn with_pace<T>(&self, change: impl FnOnce(&mut Pace) -> T) -> T {
        let mut pace = self.pace.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut pace)
    }
}

impl<S: Store> Store for Budget<S> {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.call(Kind::Read, TIMEOUT, self.store.get(key)).await
    }

    async fn range(&self, prefix: &str) -> Result<Range, Error> {
        self.call(Kind::Read, TIMEOUT, self.store.range(prefix))
            .await
    }

    async fn swap(
        &self,
        key: &str,
        expect: Expect,
        value: Option<&[u8]>,
        lease: Option<Lease>,
    ) -> Result<Swap, Error> {
        let swap = self.store.swap(key, expect, value, lease);
        self.call(Kind::Write, TIMEOUT, swap).await
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Vec<Event>, Error> {
        let watch = self.store.watch(prefix, after, wait);
        self.call(Kind::Read, wait + TIMEOUT, watch).await
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        self.call(Kind::Write, TIMEOUT, self.store.grant(ttl)).await
    }

    async fn keep_alive(&self, lease: Lease) -> Result<(), Error> {
        self.call(Kind::Write, TIMEOUT, self.store.keep_alive(lease))
            .await
    }
}
