//! Exclusion of instances that left or were lost, in spite of the platform's instance list.
//!
//! The list lags behind, so it only proposes instances. An instance that said that it is leaving, or whose connection
//! was lost, gets no calls, even if it is still listed, until a probe shows a process that is ready. The probe must
//! have started after the last such observation. A process that leaves is never ready again, so a successful probe
//! proves that a newer incarnation is running.

use std::time::Duration;

use pistachiolug_wire::instance::{Instance, State};
use rustc_hash::FxHashMap;

/// Backoff before the first probe of an excluded instance.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Longest backoff between two probes of one instance.
const MAX_BACKOFF: Duration = Duration::from_secs(30);

/// Largest number of doublings; by then the backoff has reached [`MAX_BACKOFF`].
const MAX_DOUBLINGS: u32 = 7;

/// Time for which an exclusion is kept after its instance was last listed, because an older list may still be read.
const UNLISTED_RETENTION: Duration = Duration::from_secs(600);

/// Largest number of exclusions.
pub const MAX_EXCLUSIONS: usize = 4096;

/// Reason why an instance is excluded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// The instance said that it is leaving.
    Left,
    /// A connection was refused, broke and could not be opened again, or got no more data.
    Lost,
}

/// Excluded instances by name; at most [`MAX_EXCLUSIONS`].
#[derive(Debug, Default)]
pub struct Exclusions {
    rows: FxHashMap<String, Exclusion>,
}

#[derive(Debug)]
struct Exclusion {
    cause: Cause,
    /// Time of the last observation; only a probe that started later counts.
    observed_at: Duration,
    /// Time at which the next probe is due.
    next_probe_at: Duration,
    /// Number of probes that were started since the instance was excluded.
    probes: u32,
    /// Last time at which the list had this instance, or the time of the exclusion.
    listed_at: Duration,
}

impl Exclusions {
    /// Excludes an instance, or updates the time and cause if it is excluded already.
    ///
    /// The cause [`Cause::Left`] is never replaced by [`Cause::Lost`].
    ///
    /// # Arguments
    /// `now` is monotonic time; `random` in 0..1 is the jitter of the probes, which differs between processes.
    pub fn exclude(&mut self, name: &str, cause: Cause, now: Duration, random: f64) {
        if let Some(row) = self.rows.get_mut(name) {
            row.observed_at = now;
            if cause == Cause::Left {
                row.cause = cause;
            }
            return;
        }
        if self.rows.len() >= MAX_EXCLUSIONS && !self.evict() {
            return;
        }
        let row = Exclusion {
            cause,
            observed_at: now,
            next_probe_at: now + backoff(0, random),
            probes: 0,
            listed_at: now,
        };
        self.rows.insert(name.to_owned(), row);
    }

    /// Returns whether an instance may get calls: it is live according to its row and not excluded.
    pub fn admits(&self, instance: &Instance) -> bool {
        instance.state == State::Live && !self.rows.contains_key(&instance.name)
    }

    /// Returns why an instance is excluded; `None` if it is not.
    pub fn cause(&self, name: &str) -> Option<Cause> {
        self.rows.get(name).map(|row| row.cause)
    }

    /// Returns at most `max_probes` instances whose probe is due, and schedules their next probe.
    pub fn take_due_probes(
        &mut self,
        now: Duration,
        random: f64,
        max_probes: usize,
    ) -> Vec<String> {
        let due = self
            .rows
            .iter_mut()
            .filter(|(_, row)| row.next_probe_at <= now);
        due.take(max_probes)
            .map(|(name, row)| {
                row.probes = row.probes.saturating_add(1);
                row.next_probe_at = now + backoff(row.probes, random);
                name.clone()
            })
            .collect()
    }

    /// Readmits an instance after a successful probe; returns `false` if it was not excluded or stays so.
    ///
    /// The instance stays excluded unless the probe started after the last observation.
    pub fn readmit(&mut self, name: &str, probe_started_at: Duration) -> bool {
        let is_newer = self
            .rows
            .get(name)
            .is_some_and(|row| row.observed_at < probe_started_at);
        if is_newer {
            self.rows.remove(name);
        }
        is_newer
    }

    /// Records which excluded instances are listed and drops the exclusions of those that have not been listed for
    /// long.
    pub fn update_listed(&mut self, instances: &[Instance], now: Duration) {
        for instance in instances {
            if let Some(row) = self.rows.get_mut(&instance.name) {
                row.listed_at = now;
            }
        }
        self.rows
            .retain(|_, row| now.saturating_sub(row.listed_at) < UNLISTED_RETENTION);
    }

    /// Returns the number of excluded instances.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns whether no instance is excluded.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Drops one exclusion to make room: a lost instance if there is one, and among equals the one listed least
    /// recently.
    fn evict(&mut self) -> bool {
        let oldest = self
            .rows
            .iter()
            .min_by_key(|(_, row)| (row.cause == Cause::Left, row.listed_at))
            .map(|(name, _)| name.clone());
        oldest.is_some_and(|name| self.rows.remove(&name).is_some())
    }
}

/// Returns the time until the next probe, with a jitter of up to half of it.
fn backoff(probes: u32, random: f64) -> Duration {
    let doubled = INITIAL_BACKOFF * 2_u32.pow(probes.min(MAX_DOUBLINGS));
    doubled
        .min(MAX_BACKOFF)
        .mul_f64(0.5 + random.clamp(0.0, 1.0) / 2.0)
}
