//! Client of the key-value service that keeps within a rate budget, whatever its users ask for.

use std::{
    future::Future,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::time::{Instant, sleep, timeout};

use super::{
    Entry, Error, Event, Lease, Precondition, Range, Store, Swap,
    rate_limit::{CallKind, RateLimiter, Settings},
};

/// Longest time a call may wait for the budget; a longer wait is refused at once, with when to come back.
const QUEUE: Duration = Duration::from_millis(500);

/// Longest time a call may take, without the wait of a watch.
const TIMEOUT: Duration = Duration::from_millis(2_500);

/// Store behind a budget; clones share it.
///
/// A call that has no answer in time is [`Error::Unavailable`] for reads and [`Error::Unknown`] for writes.
#[derive(Debug, Clone)]
pub struct RateLimitedStore<S> {
    store: S,
    limiter: Arc<Mutex<RateLimiter>>,
    start: Instant,
}

impl<S: Store> RateLimitedStore<S> {
    /// Wraps a store.
    pub fn new(store: S, settings: Settings) -> Self {
        Self {
            store,
            limiter: Arc::new(Mutex::new(RateLimiter::new(settings))),
            start: Instant::now(),
        }
    }

    async fn call<T>(
        &self,
        kind: CallKind,
        within: Duration,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        self.enter(kind).await?;
        let result = timeout(within, call).await.unwrap_or_else(|_| {
            let reason = format!("no answer within {} ms", within.as_millis());
            Err(match kind {
                CallKind::Read => Error::Unavailable { reason },
                CallKind::Write => Error::Unknown { reason },
            })
        });
        self.note(&result);
        result
    }

    async fn enter(&self, kind: CallKind) -> Result<(), Error> {
        let deadline = self.start.elapsed() + QUEUE;
        loop {
            let now = self.start.elapsed();
            let Err(after) = self.with_limiter(|limiter| limiter.acquire(kind, now)) else {
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
        self.with_limiter(|limiter| match result {
            Err(Error::Unavailable { .. } | Error::Unknown { .. } | Error::Throttled { .. }) => {
                limiter.record_failure(now, rand::random());
            }
            _ => limiter.record_success(),
        });
    }

    fn with_limiter<T>(&self, change: impl FnOnce(&mut RateLimiter) -> T) -> T {
        let mut limiter = self.limiter.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut limiter)
    }
}

impl<S: Store> Store for RateLimitedStore<S> {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        self.call(CallKind::Read, TIMEOUT, self.store.get(key))
            .await
    }

    async fn range(&self, prefix: &str) -> Result<Range, Error> {
        self.call(CallKind::Read, TIMEOUT, self.store.range(prefix))
            .await
    }

    async fn swap(
        &self,
        key: &str,
        expect: Precondition,
        value: Option<&[u8]>,
        lease: Option<Lease>,
    ) -> Result<Swap, Error> {
        let swap = self.store.swap(key, expect, value, lease);
        self.call(CallKind::Write, TIMEOUT, swap).await
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Result<Vec<Event>, Error> {
        let watch = self.store.watch(prefix, after, wait);
        self.call(CallKind::Read, wait + TIMEOUT, watch).await
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        self.call(CallKind::Write, TIMEOUT, self.store.grant(ttl))
            .await
    }

    async fn keep_alive(&self, lease: Lease) -> Result<(), Error> {
        self.call(CallKind::Write, TIMEOUT, self.store.keep_alive(lease))
            .await
    }
}
