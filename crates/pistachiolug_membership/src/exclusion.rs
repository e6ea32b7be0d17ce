//! Direct signs about instances, which outrank the platform's lagging list.
//!
//! The list only proposes instances. An instance with a sign takes no calls, whatever the list says, until a probe
//! that began after the sign shows a process that is ready. A process that leaves is never ready again, so such a
//! probe proves a newer incarnation.

use std::time::Duration;

use pistachiolug_wire::instance::{Instance, State};
use rustc_hash::FxHashMap;

/// Wait before the first probe of an instance that left or was lost.
const FIRST_WAIT: Duration = Duration::from_millis(250);

/// Longest wait between two probes of one instance.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// Doublings after which the wait stays at its longest.
const DOUBLINGS: u32 = 7;

/// Time for which a sign outlives its instance's row, because an older list may still show it.
const GONE_KEEP: Duration = Duration::from_secs(600);

/// Largest number of signs kept.
pub const MAX_EXCLUSIONS: usize = 4096;

/// Why an instance takes no calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// It said that it is leaving.
    Left,
    /// Its connection was refused, broke without an answer to a new one, or went silent.
    Lost,
}

/// Exclusions of all instances; holds at most [`MAX_EXCLUSIONS`].
#[derive(Debug, Default)]
pub struct Exclusions {
    signs: FxHashMap<String, Exclusion>,
}

#[derive(Debug)]
struct Exclusion {
    cause: Cause,
    /// Time of the latest sign; a probe must begin later to count.
    seen: Duration,
    /// Time of the next probe.
    probe_at: Duration,
    /// Probes without success since the first sign.
    failures: u32,
    /// Latest time at which the list had a row of this name.
    listed: Duration,
}

impl Exclusions {
    /// Records a sign.
    ///
    /// # Arguments
    /// `now` is monotonic time; `random` in 0..1 spreads the probes of many processes.
    pub fn exclude(&mut self, name: &str, cause: Cause, now: Duration, random: f64) {
        if let Some(sign) = self.signs.get_mut(name) {
            sign.seen = now;
            if cause == Cause::Left {
                sign.cause = cause;
            }
            return;
        }
        if self.signs.len() >= MAX_EXCLUSIONS && !self.evict() {
            return;
        }
        let sign = Exclusion {
            cause,
            seen: now,
            probe_at: now + wait(0, random),
            failures: 0,
            listed: now,
        };
        self.signs.insert(name.to_owned(), sign);
    }

    /// Tells whether an instance may get calls.
    pub fn admits(&self, instance: &Instance) -> bool {
        instance.state == State::Live && !self.signs.contains_key(&instance.name)
    }

    /// Returns why an instance takes no calls, if a sign says so.
    pub fn cause(&self, name: &str) -> Option<Cause> {
        self.signs.get(name).map(|sign| sign.cause)
    }

    /// Takes at most `most` names whose probe is due and schedules their next one.
    pub fn take_due_probes(&mut self, now: Duration, random: f64, most: usize) -> Vec<String> {
        let due = self
            .signs
            .iter_mut()
            .filter(|(_, sign)| sign.probe_at <= now);
        due.take(most)
            .map(|(name, sign)| {
                sign.failures = sign.failures.saturating_add(1);
                sign.probe_at = now + wait(sign.failures, random);
                name.clone()
            })
            .collect()
    }

    /// Takes the success of a probe that began at `began`; tells whether it admits the instance again.
    pub fn readmit(&mut self, name: &str, began: Duration) -> bool {
        let newer = self.signs.get(name).is_some_and(|sign| sign.seen < began);
        if newer {
            self.signs.remove(name);
        }
        newer
    }

    /// Compares with a list and drops signs of instances that have long been gone from it.
    pub fn update_listed(&mut self, instances: &[Instance], now: Duration) {
        for instance in instances {
            if let Some(sign) = self.signs.get_mut(&instance.name) {
                sign.listed = now;
            }
        }
        self.signs
            .retain(|_, sign| now.saturating_sub(sign.listed) < GONE_KEEP);
    }

    /// Returns the number of signs.
    pub fn len(&self) -> usize {
        self.signs.len()
    }

    /// Tells whether there is no sign.
    pub fn is_empty(&self) -> bool {
        self.signs.is_empty()
    }

    /// Makes room by dropping the sign of a lost instance, or else of the leaver whose row has been gone longest.
    fn evict(&mut self) -> bool {
        let oldest = self
            .signs
            .iter()
            .min_by_key(|(_, sign)| (sign.cause == Cause::Left, sign.listed))
            .map(|(name, _)| name.clone());
        oldest.is_some_and(|name| self.signs.remove(&name).is_some())
    }
}

fn wait(failures: u32, random: f64) -> Duration {
    let doubled = FIRST_WAIT * 2_u32.pow(failures.min(DOUBLINGS));
    doubled
        .min(LONGEST_WAIT)
        .mul_f64(0.5 + random.clamp(0.0, 1.0) / 2.0)
}
