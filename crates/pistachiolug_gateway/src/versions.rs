//! Versions that the servers of each model should hold, and which of them may begin a request.

use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::server::Version;

/// Time before a version's bound from which only it is accepted: a request may wait at its server, and the naming may
/// have been learned of late.
const VERSION_MARGIN: Duration = Duration::from_millis(800);

/// Time before a version's bound at which requests that have not begun on an older one are taken back.
const BEGIN_MARGIN: Duration = Duration::from_millis(250);

/// Named versions; times are those of the process's clock.
#[derive(Debug)]
pub struct Versions {
    /// Time after the naming of a version from which no older one may begin a request.
    allowed: Duration,
    /// Time after the process's start from which it is held to such times.
    startup_grace: Duration,
    /// By model, in order; those that a later one replaces in every respect are left out.
    named: FxHashMap<String, Vec<Named>>,
}

#[derive(Debug, Clone, Copy)]
struct Named {
    version: Version,
    /// When no older version may begin a request any more.
    due: Duration,
}

impl Versions {
    /// Creates an empty record.
    pub fn new(allowed: Duration, startup_grace: Duration) -> Self {
        Self {
            allowed,
            startup_grace,
            named: FxHashMap::default(),
        }
    }

    /// Notes the version that a model's servers should hold; `false` if it is known or older than a known one.
    ///
    /// # Arguments
    /// `fresh` tells that the naming was seen as it happened; otherwise it may lie long before the process's start.
    pub fn record_target(
        &mut self,
        model: &str,
        version: Version,
        fresh: bool,
        now: Duration,
    ) -> bool {
        let due = if fresh {
            now + self.allowed
        } else {
            self.startup_grace
        };
        let named = self.named.entry(model.to_owned()).or_default();
        let known = named.last().map_or(0, |known| known.version);
        if version <= known {
            return false;
        }
        log::info!(model, version, before = known; "version named");
        // Versions whose time has come are no less binding than the newest of them.
        let bound = named.iter().rposition(|known| known.is_due(now));
        named.drain(..bound.unwrap_or_default());
        named.push(Named { version, due });
        true
    }

    /// Returns the newest version of a model that was named; `None` if none was.
    pub fn target(&self, model: &str) -> Option<Version> {
        self.named.get(model)?.last().map(|known| known.version)
    }

    /// Returns the oldest version of a model that may begin a request now, if there is a bound.
    pub fn minimum(&self, model: &str, now: Duration) -> Option<Version> {
        let named = self.named.get(model)?.iter().rev();
        let mut due = named.filter(|known| known.is_due(now));
        due.next().map(|known| known.version)
    }

    /// Returns the time until a request that has not begun on a version of a model may not begin on it any more.
    pub fn time_to_begin(&self, model: &str, held: Version, now: Duration) -> Option<Duration> {
        let named = self.named.get(model)?.iter();
        let newer = named.filter(|known| known.version > held);
        let due = newer.map(|known| known.due).min()?;
        Some(due.saturating_sub(now + BEGIN_MARGIN))
    }
}

impl Named {
    fn is_due(self, now: Duration) -> bool {
        now >= self.due.saturating_sub(VERSION_MARGIN)
    }
}
