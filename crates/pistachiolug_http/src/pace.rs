//! Pacing of bytes on a link.

use std::{
    future::Future,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::time::{Instant, sleep_until};

/// Time that an idle bucket may catch up on, so that late timers do not lower the rate.
const CREDIT: Duration = Duration::from_millis(20);

/// Delays bytes so that a rate is kept.
pub trait Pace: Send + Sync {
    /// Waits until `bytes` may pass.
    fn take(&self, bytes: usize) -> impl Future<Output = ()> + Send;
}

/// Lets all bytes pass at once.
#[derive(Debug, Clone, Copy, Default)]
pub struct Unpaced;

/// Token bucket whose takers are served in the order of their calls.
#[derive(Debug)]
pub struct Bucket {
    /// Bytes a second; 0 means no limit.
    rate: AtomicU64,
    /// Bytes taken so far.
    taken: AtomicU64,
    /// Time at which all bytes taken so far have passed.
    free: Mutex<Instant>,
}

impl Bucket {
    /// Creates a bucket of `rate` bytes a second; 0 means no limit.
    pub fn new(rate: u64) -> Self {
        Self {
            rate: AtomicU64::new(rate),
            taken: AtomicU64::new(0),
            free: Mutex::new(Instant::now()),
        }
    }

    /// Changes the rate for bytes that are taken later.
    pub fn set_rate(&self, rate: u64) {
        self.rate.store(rate, Ordering::Relaxed);
    }

    /// Returns the rate in bytes a second; 0 means no limit.
    pub fn rate(&self) -> u64 {
        self.rate.load(Ordering::Relaxed)
    }

    /// Returns the time until all bytes taken so far have passed.
    pub fn backlog(&self) -> Duration {
        let free = self.free.lock().unwrap_or_else(PoisonError::into_inner);
        free.saturating_duration_since(Instant::now())
    }

    /// Returns the bytes taken so far.
    pub fn taken(&self) -> u64 {
        self.taken.load(Ordering::Relaxed)
    }

    /// Reserves the time of `bytes` on the link and returns its end.
    fn reserve(&self, bytes: usize, rate: u64) -> Instant {
        let mut free = self.free.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let earliest = now.checked_sub(CREDIT).unwrap_or(now);
        let start = (*free).max(earliest);
        *free = start + Duration::from_secs_f64(bytes as f64 / rate as f64);
        *free
    }
}

impl Pace for Unpaced {
    async fn take(&self, _bytes: usize) {}
}

impl Pace for Bucket {
    async fn take(&self, bytes: usize) {
        self.taken.fetch_add(bytes as u64, Ordering::Relaxed);
        let rate = self.rate();
        if rate > 0 {
            sleep_until(self.reserve(bytes, rate)).await;
        }
    }
}
