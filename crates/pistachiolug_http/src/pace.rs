//! Rate limits for the bytes on a link.

use std::{
    future::Future,
    ops::Range,
    sync::{
        Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::time::{Instant, sleep_until};

/// Longest idle time for which a bucket makes up, so that late timers do not lower the rate.
const MAX_CREDIT: Duration = Duration::from_millis(20);

/// Limiter that delays bytes to keep a rate.
pub trait Pace: Send + Sync {
    /// Waits until `bytes` more bytes may be transferred.
    fn take(&self, bytes: usize) -> impl Future<Output = ()> + Send;
}

/// Limiter without a limit.
#[derive(Debug, Clone, Copy, Default)]
pub struct Unpaced;

/// Token bucket that serves its callers in the order of their calls.
#[derive(Debug)]
pub struct Bucket {
    /// Rate in bytes per second; 0 means no limit.
    rate: AtomicU64,
    /// Number of bytes taken so far.
    taken: AtomicU64,
    /// Time at which all bytes taken so far are transferred at the rate.
    free_at: Mutex<Instant>,
}

impl Bucket {
    /// Creates a bucket of `rate` bytes per second; 0 means no limit.
    pub fn new(rate: u64) -> Self {
        Self {
            rate: AtomicU64::new(rate),
            taken: AtomicU64::new(0),
            free_at: Mutex::new(Instant::now()),
        }
    }

    /// Sets the rate in bytes per second for bytes that are taken from now on; 0 means no limit.
    pub fn set_rate(&self, rate: u64) {
        self.rate.store(rate, Ordering::Relaxed);
    }

    /// Returns the rate in bytes per second; 0 means no limit.
    pub fn rate(&self) -> u64 {
        self.rate.load(Ordering::Relaxed)
    }

    /// Returns the time until all bytes taken so far are transferred at the rate.
    pub fn backlog(&self) -> Duration {
        let free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        free_at.saturating_duration_since(Instant::now())
    }

    /// Returns the number of bytes taken so far.
    pub fn taken(&self) -> u64 {
        self.taken.load(Ordering::Relaxed)
    }

    /// Takes `bytes` without a wait; those who take bytes later wait longer.
    pub fn charge(&self, bytes: usize) {
        self.taken.fetch_add(bytes as u64, Ordering::Relaxed);
        let rate = self.rate();
        if rate > 0 {
            self.reserve(bytes, rate);
        }
    }

    /// Waits until all bytes taken before are transferred, and takes `bytes` more. They may be sent at once, so that an
    /// idle link does not delay them.
    pub async fn start(&self, bytes: usize) {
        self.taken.fetch_add(bytes as u64, Ordering::Relaxed);
        let rate = self.rate();
        if rate > 0 {
            sleep_until(self.reserve(bytes, rate).start).await;
        }
    }

    /// Reserves the time that `bytes` take on the link.
    fn reserve(&self, bytes: usize, rate: u64) -> Range<Instant> {
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        let earliest_start = now.checked_sub(MAX_CREDIT).unwrap_or(now);
        let start = (*free_at).max(earliest_start);
        *free_at = start + Duration::from_secs_f64(bytes as f64 / rate as f64);
        start..*free_at
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
            sleep_until(self.reserve(bytes, rate).end).await;
        }
    }
}
