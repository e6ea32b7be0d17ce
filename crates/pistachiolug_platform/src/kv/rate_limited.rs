//! Key-value service behind a rate limiter, which holds no matter how many calls its users make.

use std::{
    future::Future,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use tokio::time::{Instant, sleep, timeout};

use super::{
    Entry, Error, Event, Lease, Position, Precondition, Range, Store, Swap,
    rate_limit::{CallKind, RateLimiter, Settings},
};

/// Maximum time that a call waits for the rate limiter; a call that had to wait longer is refused at once with the time
/// until the next try.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Timeout of a call; the wait of a watch comes on top.
const CALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Store whose calls pass a rate limiter, which clones share.
///
/// A call without an answer within the timeout fails with [`Error::Unavailable`] if it reads, and with
/// [`Error::Unknown`] if it writes.
#[derive(Debug, Clone)]
pub struct RateLimitedStore<S> {
    store: S,
    limiter: Arc<Mutex<RateLimiter>>,
    start: Instant,
}

impl<S: Store> RateLimitedStore<S> {
    /// Puts a rate limiter with these settings before a store.
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
        time_limit: Duration,
        call: impl Future<Output = Result<T, Error>>,
    ) -> Result<T, Error> {
        self.acquire(kind).await?;
        let result = timeout(time_limit, call).await.unwrap_or_else(|_| {
            let reason = format!("no answer within {} ms", time_limit.as_millis());
            Err(match kind {
                CallKind::Read => Error::Unavailable { reason },
                CallKind::Write => Error::Unknown { reason },
            })
        });
        self.record_result(&result);
        result
    }

    /// Waits until the limiter permits a call.
    async fn acquire(&self, kind: CallKind) -> Result<(), Error> {
        let deadline = self.start.elapsed() + MAX_WAIT;
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

    fn record_result<T>(&self, result: &Result<T, Error>) {
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
        self.call(CallKind::Read, CALL_TIMEOUT, self.store.get(key))
            .await
    }

    async fn range(&self, prefix: &str) -> Result<Range, Error> {
        self.call(CallKind::Read, CALL_TIMEOUT, self.store.range(prefix))
            .await
    }

    async fn swap(
        &self,
        key: &str,
        precondition: Precondition,
        value: Option<&[u8]>,
        lease: Option<Lease>,
    ) -> Result<Swap, Error> {
        let swap = self.store.swap(key, precondition, value, lease);
        self.call(CallKind::Write, CALL_TIMEOUT, swap).await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Position,
        wait: Duration,
    ) -> Result<Vec<Event>, Error> {
        let watch = self.store.watch(prefix, after, wait);
        self.call(CallKind::Read, wait + CALL_TIMEOUT, watch).await
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        self.call(CallKind::Write, CALL_TIMEOUT, self.store.grant(ttl))
            .await
    }

    async fn keep_alive(&self, lease: Lease) -> Result<(), Error> {
        self.call(CallKind::Write, CALL_TIMEOUT, self.store.keep_alive(lease))
            .await
    }

    fn era(&self) -> u64 {
        self.store.era()
    }
}
