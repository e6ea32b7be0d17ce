//! Target versions of each model, and which versions may begin a request.
//!
//! The time allowed for a target counts from the moment at which it was set, which no entry knows. An entry knows a time
//! before which the target was not set: that of the last answer without it. Entries tell each other, and the latest of
//! these times counts.

use std::time::Duration;

use pistachiolug_wire::datagram;
use rustc_hash::FxHashMap;

use crate::{
    outage::{self, Disturbances},
    server::Version,
};

/// Time before a target is due from which older versions are already excluded. A request may wait at its server, and a server
/// may be silent for a second and begin what it has only then.
const ENFORCE_MARGIN: Duration = Duration::from_millis(1300);

/// Time before a target version is due at which requests are withdrawn from a server that holds an older version and
/// has not begun them.
const WITHDRAW_MARGIN: Duration = Duration::from_millis(250);

/// Smallest correction of the time of a target that is worth telling others.
const MIN_CORRECTION: Duration = Duration::from_millis(100);

/// Largest number of targets of a model that are kept; older ones are excluded by the oldest of these.
const MAX_TARGETS: usize = 32;

/// Target versions by model; times are those of the process's clock.
#[derive(Debug)]
pub struct Versions {
    /// Time between the setting of a target and the moment from which no older version may begin a request.
    grace: Duration,
    /// Time after the process's start from which targets are enforced that may have been set at any time.
    startup_grace: Duration,
    /// Targets by model in ascending order, at most [`MAX_TARGETS`] each.
    targets: FxHashMap<String, Vec<Target>>,
    /// Disturbances of the key-value service, after which the time allowed for a target that was not due counts anew.
    disturbances: Disturbances,
}

#[derive(Debug, Clone, Copy)]
struct Target {
    version: Version,
    /// Time after which the target was set; `None` if it may have been set at any time. Only grows.
    set_after: Option<Duration>,
    /// `set_after` as it was when the target was learned of. What a peer tells is too late by the transit of its message;
    /// if corrections were told on, the error would add up.
    told_set_after: Option<Duration>,
    /// When the target was learned of, or `set_after` was last corrected.
    changed_at: Duration,
}

/// What a record of a target has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Update {
    /// The target is newer than all known ones.
    New,
    /// A target was set later than known, or is earlier than the newest one and was not known.
    Corrected,
    /// Nothing that matters to others.
    Unchanged,
}

impl Versions {
    /// Creates a record without targets.
    pub fn new(grace: Duration, startup_grace: Duration) -> Self {
        Self {
            grace,
            startup_grace,
            targets: FxHashMap::default(),
            disturbances: Disturbances::default(),
        }
    }

    /// Records what the entry sees of the key-value service now, and returns what has changed.
    pub fn record_service(&mut self, view: &outage::View, now: Duration) -> Option<outage::Change> {
        self.disturbances.record(view, now)
    }

    /// Records the version that a model's servers should hold; a version older than the newest known one is ignored.
    ///
    /// # Arguments
    /// `set_after` is a time after which the target was set; `None` if it may have been set at any time.
    pub fn record_target(
        &mut self,
        model: &str,
        version: Version,
        set_after: Option<Duration>,
        now: Duration,
    ) -> Update {
        let targets = self.targets.entry(model.to_owned()).or_default();
        let last = targets.last().copied();
        let previous = last.map_or(0, |target| target.version);
        if version <= previous {
            return Update::Unchanged;
        }
        // Versions are set one after the other.
        let told_set_after = set_after.max(last.and_then(|target| target.told_set_after));
        let set_after = set_after.max(last.and_then(|target| target.set_after));
        if targets.len() >= MAX_TARGETS {
            targets.remove(0);
        }
        targets.push(Target {
            version,
            set_after,
            told_set_after,
            changed_at: now,
        });
        let max_age_ms = max_age_ms(set_after, now);
        log::info!(model, version, before = previous, max_age_ms:?; "target version set");
        Update::New
    }

    /// Records what another entry knows of a target.
    ///
    /// A newest target that may have been set at any time is ignored: the rows date it better.
    ///
    /// # Arguments
    /// `set_after` is a time after which the target was set; `None` if it may have been set at any time.
    pub fn merge_target(
        &mut self,
        model: &str,
        version: Version,
        set_after: Option<Duration>,
        now: Duration,
    ) -> Update {
        let targets = self.targets.entry(model.to_owned()).or_default();
        let index = match targets.binary_search_by_key(&version, |target| target.version) {
            Ok(index) => index,
            Err(index) if index == targets.len() => {
                return match set_after {
                    Some(_) => self.record_target(model, version, set_after, now),
                    None => Update::Unchanged,
                };
            }
            Err(index) => {
                let target = Target {
                    version,
                    set_after,
                    told_set_after: set_after,
                    changed_at: now,
                };
                targets.insert(index, target);
                raise_later(targets, index);
                log::info!(model, version; "earlier target version learned");
                return Update::Corrected;
            }
        };
        let target = &mut targets[index];
        let previous = target.set_after;
        target.set_after = previous.max(set_after);
        let is_told = previous.map(|previous| previous + MIN_CORRECTION);
        if set_after <= is_told {
            return Update::Unchanged;
        }
        target.changed_at = now;
        raise_later(targets, index);
        let max_age_ms = max_age_ms(set_after, now);
        log::info!(model, version, max_age_ms:?; "target version was set later than known");
        Update::Corrected
    }

    /// Returns the newest target of a model; `None` if none was set.
    pub fn target(&self, model: &str) -> Option<Version> {
        self.targets.get(model)?.last().map(|target| target.version)
    }

    /// Returns the bound of a target's age that others may rely on; `None` if the target is not known or may have been set
    /// at any time.
    pub fn told_age_ms(&self, model: &str, version: Version, now: Duration) -> Option<u32> {
        let mut targets = self.targets.get(model)?.iter();
        let target = targets.find(|target| target.version == version)?;
        max_age_ms(target.told_set_after, now)
    }

    /// Returns what to tell others of the models that have a target which has changed since a time.
    pub fn changed_since(&self, time: Duration, now: Duration) -> Vec<datagram::Target> {
        self.describe(now, |target| target.changed_at >= time)
    }

    /// Returns what to tell others of the models that have a target which is not due.
    pub fn pending(&self, now: Duration) -> Vec<datagram::Target> {
        self.describe(now, |target| now < self.due(target))
    }

    /// Describes the targets of models of which one is wanted, but for those that a newer due target makes needless.
    fn describe(
        &self,
        now: Duration,
        is_wanted: impl Fn(&Target) -> bool,
    ) -> Vec<datagram::Target> {
        let models = self.targets.iter();
        let models = models.filter(|(_, targets)| targets.iter().any(&is_wanted));
        let described = models.flat_map(|(model, targets)| {
            let due = targets.iter().rposition(|target| now >= self.due(target));
            let needed = &targets[due.unwrap_or_default()..];
            needed.iter().map(move |target| datagram::Target {
                model: model.clone(),
                version: target.version,
                max_age_ms: max_age_ms(target.told_set_after, now),
            })
        });
        described.collect()
    }

    /// Returns the oldest version of a model that may begin a request now; `None` if any may.
    pub fn minimum(&self, model: &str, now: Duration) -> Option<Version> {
        let targets = self.targets.get(model)?.iter().rev();
        let mut due =
            targets.filter(|target| now >= self.due(target).saturating_sub(ENFORCE_MARGIN));
        due.next().map(|target| target.version)
    }

    /// Returns how long a request that has not begun may still begin on version `held`; `None` if no newer target is
    /// known.
    pub fn time_to_begin(&self, model: &str, held: Version, now: Duration) -> Option<Duration> {
        let targets = self.targets.get(model)?.iter();
        let newer = targets.filter(|target| target.version > held);
        let due = newer.map(|target| self.due(target)).min()?;
        Some(due.saturating_sub(now + WITHDRAW_MARGIN))
    }

    /// Returns when no older version may begin a request any more. A target that may have been set at any time may have been
    /// due before the disturbances that are known.
    fn due(&self, target: &Target) -> Duration {
        target.set_after.map_or(self.startup_grace, |set_after| {
            let due = set_after + self.grace;
            self.disturbances.postpone(due, self.grace)
        })
    }
}

/// Corrects the targets after the one at `index`, which were set after it.
fn raise_later(targets: &mut [Target], index: usize) {
    let mut earlier = None;
    for target in &mut targets[index..] {
        target.set_after = target.set_after.max(earlier);
        earlier = target.set_after;
    }
}

/// Returns the bound of the age of a target that was set after a time.
fn max_age_ms(set_after: Option<Duration>, now: Duration) -> Option<u32> {
    set_after.map(|set_after| millis(now.saturating_sub(set_after)))
}

/// Returns whole milliseconds, rounded up so that an age is not understated.
pub(crate) fn millis(duration: Duration) -> u32 {
    duration
        .as_millis()
        .saturating_add(1)
        .try_into()
        .unwrap_or(u32::MAX)
}
