//! Detection of suspensions of the machine, during which timers stand still although deadlines come closer.

use std::time::Duration;

use crate::{
    clock::{Clock, System},
    timer::Ticks,
};

/// Shortest suspension that is reported; shorter ones add up until they are as long.
const MIN_SUSPENSION: Duration = Duration::from_millis(10);

/// Detector that compares a clock that counts suspensions with one that does not.
#[derive(Debug, Clone, Copy)]
pub struct Detector {
    /// Suspended time that was reported or existed at the start.
    known: Duration,
}

impl Detector {
    /// Creates a detector that reports the suspensions from now on; the arguments are those of [`Detector::detect`].
    pub fn new(now: Duration, awake: Duration) -> Self {
        Self {
            known: now.saturating_sub(awake),
        }
    }

    /// Returns for how long the machine was suspended since the last call; `None` if it was not.
    ///
    /// # Arguments
    /// `now` is the time of a clock that counts suspensions. `awake`, the time of a clock that does not, must be read
    /// after `now`, so that a pause between the two reads is not taken for a suspension.
    pub fn detect(&mut self, now: Duration, awake: Duration) -> Option<Duration> {
        let suspended = now.saturating_sub(awake);
        let length = suspended.checked_sub(self.known)?;
        if length < MIN_SUSPENSION {
            return None;
        }
        self.known = suspended;
        Some(length)
    }
}

/// Logs each suspension of the machine and calls `handle` after it; never returns. The clock is checked at each tick.
pub async fn watch(clock: System, mut ticks: Ticks, handle: impl Fn()) {
    let now = clock.now();
    let mut detector = Detector::new(now, clock.awake_time());
    loop {
        ticks.next().await;
        let now = clock.now();
        if let Some(length) = detector.detect(now, clock.awake_time()) {
            log::info!(ms = length.as_millis() as u64; "instance was suspended");
            handle();
        }
    }
}
