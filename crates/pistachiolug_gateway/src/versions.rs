//! Target versions of each model, and which versions may begin a request.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::server::Version;

/// Time before a target is due from which older versions are already excluded, because a request may wait at its server
/// and the target may have been learned late.
const ENFORCE_MARGIN: Duration = Duration::from_millis(800);

/// Time before a target version is due at which requests are withdrawn from a server that holds an older version and
/// has not begun them.
const WITHDRAW_MARGIN: Duration = Duration::from_millis(250);

/// Target versions by model; times are those of the process's clock.
#[derive(Debug)]
pub struct Versions {
    /// Time between the setting of a target and the moment from which no older version may begin a request.
    grace: Duration,
    /// Time after the process's start from which targets that were set before it are enforced.
    startup_grace: Duration,
    /// Targets by model in ascending order, without those that are superseded by a newer one that is due as well.
    targets: FxHashMap<String, Vec<Target>>,
}

#[derive(Debug, Clone, Copy)]
struct Target {
    version: Version,
    /// When no older version may begin a request any more.
    due: Duration,
}

impl Versions {
    /// Creates a record without targets.
    pub fn new(grace: Duration, startup_grace: Duration) -> Self {
        Self {
            grace,
            startup_grace,
            targets: FxHashMap::default(),
        }
    }

    /// Records the version that a model's servers should hold; returns `false` unless it is newer than all known ones.
    ///
    /// # Arguments
    /// `is_new` tells that the row was seen when it was written. Otherwise the target may have been set long before the
    /// process's start.
    pub fn record_target(
        &mut self,
        model: &str,
        version: Version,
        is_new: bool,
        now: Duration,
    ) -> bool {
        let due = if is_new {
            now + self.grace
        } else {
            self.startup_grace
        };
        let targets = self.targets.entry(model.to_owned()).or_default();
        let previous = targets.last().map_or(0, |target| target.version);
        if version <= previous {
            return false;
        }
        log::info!(model, version, before = previous; "target version set");
        // Of the targets that are due, only the newest is needed: it excludes all versions that the others exclude.
        let bound = targets.iter().rposition(|target| target.is_due(now));
        targets.drain(..bound.unwrap_or_default());
        targets.push(Target { version, due });
        true
    }

    /// Returns the newest target of a model; `None` if none was set.
    pub fn target(&self, model: &str) -> Option<Version> {
        self.targets.get(model)?.last().map(|target| target.version)
    }

    /// Returns the oldest version of a model that may begin a request now; `None` if any may.
    pub fn minimum(&self, model: &str, now: Duration) -> Option<Version> {
        let targets = self.targets.get(model)?.iter().rev();
        let mut due = targets.filter(|target| target.is_due(now));
        due.next().map(|target| target.version)
    }

    /// Returns how long a request that has not begun may still begin on version `held`; `None` if no newer target is
    /// known.
    pub fn time_to_begin(&self, model: &str, held: Version, now: Duration) -> Option<Duration> {
        let targets = self.targets.get(model)?.iter();
        let newer = targets.filter(|target| target.version > held);
        let due = newer.map(|target| target.due).min()?;
        Some(due.saturating_sub(now + WITHDRAW_MARGIN))
    }
}

impl Target {
    fn is_due(self, now: Duration) -> bool {
        now >= self.due.saturating_sub(ENFORCE_MARGIN)
    }
}
