//! Monotonic clocks, passed as arguments so that tests can control the time.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use nix::time::{ClockId, clock_gettime};

/// Source of monotonic time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the time since the clock's start.
    fn now(&self) -> Duration;
}

/// Monotonic clock of the machine, which also counts the time for which the machine is suspended. Clones share the time.
///
/// Timers, and [`Instant`], do not count that time. Runs on Linux only.
#[derive(Debug, Clone)]
pub struct System {
    start: Instant,
    /// Time since the machine's boot at `start`; `None` if the machine does not tell it.
    booted_before: Option<Duration>,
    /// Nanoseconds added by [`System::suspend`].
    added_nanos: Arc<AtomicU64>,
}

impl Default for System {
    fn default() -> Self {
        let booted_before = match time_since_boot() {
            Ok(time) => Some(time),
            Err(error) => {
                log::warn!(error:%; "clock does not count suspensions");
                None
            }
        };
        Self {
            start: Instant::now(),
            booted_before,
            added_nanos: Arc::default(),
        }
    }
}

impl System {
    /// Returns the time since the clock's start without the time for which the machine was suspended.
    pub fn awake_time(&self) -> Duration {
        self.start.elapsed()
    }

    /// Moves the clock forward as a suspension of the machine would, for tests.
    pub fn suspend(&self, by: Duration) {
        self.added_nanos.fetch_add(to_nanos(by), Ordering::AcqRel);
    }
}

impl Clock for System {
    fn now(&self) -> Duration {
        let added = Duration::from_nanos(self.added_nanos.load(Ordering::Acquire));
        // A clock that could be read at the start does not fail later; if it did, the time would go on without the
        // suspensions.
        let now = self
            .booted_before
            .and_then(|before| Some(time_since_boot().ok()?.saturating_sub(before)));
        now.unwrap_or_else(|| self.awake_time()) + added
    }
}

/// Returns the time since the machine's boot, including the time for which it was suspended.
fn time_since_boot() -> nix::Result<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from)
}

fn to_nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}

/// Clock for tests, which moves only through [`Manual::advance`].
#[derive(Debug, Clone, Default)]
pub struct Manual {
    nanos: Arc<AtomicU64>,
}

impl Manual {
    /// Moves the clock forward.
    pub fn advance(&self, by: Duration) {
        self.nanos.fetch_add(to_nanos(by), Ordering::AcqRel);
    }
}

impl Clock for Manual {
    fn now(&self) -> Duration {
        Duration::from_nanos(self.nanos.load(Ordering::Acquire))
    }
}
