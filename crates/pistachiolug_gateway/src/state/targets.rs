//! Target versions of models: what is known of them, and which versions may begin a request.

use std::time::Duration;

use pistachiolug_wire::datagram;

use super::State;
use crate::{
    link::CONGESTION_MARGIN,
    outage::{self, View},
    pool::Requirements,
    server::Version,
    versions::Update,
};

impl State {
    /// Sets the version that a model's servers should hold.
    ///
    /// # Arguments
    /// `set_after` is a time after which it was set; `None` if it may have been set at any time.
    pub fn set_target_version(
        &self,
        model: &str,
        version: Version,
        set_after: Option<Duration>,
    ) -> Update {
        let now = self.now();
        let mut versions = self.versions.borrow_mut();
        let update = versions.record_target(model, version, set_after, now);
        self.wake_for_target(update);
        update
    }

    /// Merges what another entry, or an agent, has sent of a target version. The datagram arrived after `arrived_after`.
    pub fn merge_target(&self, target: &datagram::Target, arrived_after: Duration) -> Update {
        let max_age = target
            .max_age_ms
            .map(|age_ms| Duration::from_millis(age_ms.into()) + datagram::MAX_TRANSIT);
        // One that may be older than this process may have been set at any time.
        let told = max_age.and_then(|max_age| arrived_after.checked_sub(max_age));
        let (now, model) = (self.now(), &target.model);
        // A newer one than the known ones was set after the rows were last known to be complete.
        let is_new = self.target_version(model) < Some(target.version);
        let set_after = told.max(self.with_rows(|rows| rows.complete_at()).filter(|_| is_new));
        let mut versions = self.versions.borrow_mut();
        let update = versions.merge_target(model, target.version, set_after, now);
        self.wake_for_target(update);
        update
    }

    fn wake_for_target(&self, update: Update) {
        if update != Update::Unchanged {
            self.move_deadlines();
        }
    }

    /// Returns the bound of a target version's age in milliseconds; `None` if it may have been set at any time.
    pub fn target_age_ms(&self, model: &str, version: Version) -> Option<u32> {
        let versions = self.versions.borrow();
        versions.told_age_ms(model, version, self.now())
    }

    /// Returns what to tell other entries of target versions that have changed within a time.
    pub fn target_updates(&self, within: Duration) -> Vec<datagram::Target> {
        let now = self.now();
        let versions = self.versions.borrow();
        versions.changed_since(now.saturating_sub(within), now)
    }

    /// Returns what to tell other entries of target versions that are not due.
    pub fn pending_targets(&self) -> Vec<datagram::Target> {
        self.versions.borrow().pending(self.now())
    }

    /// Returns the version that a model's servers should hold; `None` if none was set.
    pub fn target_version(&self, model: &str) -> Option<Version> {
        self.versions.borrow().target(model)
    }

    /// Returns the oldest version of a model that may begin a request now; `None` if any may.
    pub fn min_version(&self, model: &str) -> Option<Version> {
        self.versions.borrow().minimum(model, self.now())
    }

    /// Returns the oldest version of a model that may begin a request which waits on a congested link; `None` if any may.
    pub fn min_version_behind_congestion(&self, model: &str) -> Option<Version> {
        let arrives_at = self.now() + CONGESTION_MARGIN;
        self.versions.borrow().minimum(model, arrives_at)
    }

    /// Returns whether a server that is believed to hold a version must not run a request on another one.
    ///
    /// While older versions are allowed and the server has to load, it may be further than its record says.
    pub fn is_version_required(&self, model: &str, held: Version) -> bool {
        let is_newest = self.target_version(model) == Some(held);
        is_newest || self.min_version(model).is_some()
    }

    /// Returns how long a request that has not begun may still begin on version `held`; `None` if no newer one is
    /// known.
    pub fn time_to_begin(&self, model: &str, held: Version) -> Option<Duration> {
        let versions = self.versions.borrow();
        versions.time_to_begin(model, held, self.now())
    }

    /// Sets the versions that a server has to hold now.
    pub fn update_versions(&self, requirements: &mut Requirements) {
        let versions = self.versions.borrow();
        let model = requirements.model.as_deref();
        requirements.target_version = model.and_then(|model| versions.target(model));
        let now = self.now();
        requirements.min_version = model.and_then(|model| versions.minimum(model, now));
        requirements.min_version_behind_congestion =
            model.and_then(|model| versions.minimum(model, now + CONGESTION_MARGIN));
    }

    /// Records whether the key-value service is disturbed, which postpones the targets that are not due.
    pub(super) fn record_service(&self, now: Duration) {
        let fails = self.with_reachability(|store| store.fails());
        let view = self.with_peers(|peers| peers.service_view(fails, now));
        let change = self.versions.borrow_mut().record_service(&view, now);
        let View { heard, members, .. } = view;
        match change {
            Some(outage::Change::Began) => {
                log::warn!(heard, members; "key-value service disturbed for all entries; target versions that are not due are postponed");
                self.move_deadlines();
            }
            Some(outage::Change::Ended(disturbance)) => {
                let since_ms = now.saturating_sub(disturbance.since).as_millis() as u64;
                let reaching = view.reaching;
                log::info!(since_ms, heard, reaching, members; "key-value service no longer known to be disturbed");
            }
            None => {}
        }
    }
}
