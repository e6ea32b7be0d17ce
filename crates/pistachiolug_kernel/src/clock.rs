//! Monotonic clocks, passed as arguments so that tests can control the time.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

/// Source of monotonic time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the time since the clock's start.
    fn now(&self) -> Duration;
}

/// Monotonic clock of the machine.
#[derive(Debug, Clone, Copy)]
pub struct System {
    start: Instant,
}

impl Default for System {
    fn default() -> Self {
        Self {
            start: Instant::now(),
        }
    }
}

impl Clock for System {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }
}

/// Clock for tests, which moves only through [`Manual::advance`].
#[derive(Debug, Clone, Default)]
pub struct Manual {
    nanos: Arc<AtomicU64>,
}

impl Manual {
    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        let nanos = u64::try_from(by.as_nanos()).unwrap_or(u64::MAX);
        self.nanos.fetch_add(nanos, Ordering::AcqRel);
    }
}

impl Clock for Manual {
    fn now(&self) -> Duration {
        Duration::from_nanos(self.nanos.load(Ordering::Acquire))
    }
}
