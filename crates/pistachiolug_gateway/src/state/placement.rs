//! Where requests may be served now, by the configuration and the operators' evacuations.

use super::State;
use crate::{
    call::Call,
    placement::{Regions, Zones},
    pool::Requirements,
};

impl State {
    /// Returns the zones whose servers may get a request now. A configuration that is newer than the request's binds it too,
    /// unless it no longer has the route or key.
    pub fn zones(&self, call: &Call) -> Zones {
        let regions = self.regions(call);
        let region_by_zone = &self.options.location.regions;
        Zones::new(&regions, region_by_zone, self.evacuations.borrow().zones())
    }

    fn regions(&self, call: &Call) -> Regions {
        let config = self.config();
        let newer = config.filter(|config| config.version() != call.config_version);
        let authorized = newer.and_then(|config| call.authorize(&config, &self.options.names));
        authorized.map_or_else(|| call.authorized.regions(), |newer| newer.regions())
    }

    /// Excludes the zones from a waiting request that are evacuated now.
    pub(super) fn update_evacuated(&self, requirements: &mut Requirements) {
        let evacuations = self.evacuations.borrow();
        requirements.zones.set_evacuated(evacuations.zones());
    }

    /// Returns whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.evacuations.borrow().zones().contains(zone)
    }

    /// Handles the operators' order to evacuate a zone.
    pub fn evacuate(&self, zone: &str) {
        if self.evacuations.borrow_mut().order(zone) {
            log::info!(zone; "zone evacuated");
            self.count_evacuated();
        }
    }

    /// Handles the end of such an order.
    ///
    /// # Arguments
    /// `is_restored` is whether the order is missing from an earlier copy of the rows.
    pub fn cancel_evacuation(&self, zone: &str, is_restored: bool) {
        if is_restored {
            log::info!(zone; "evacuation missing from an earlier copy of the rows");
            let now = self.now();
            self.evacuations.borrow_mut().miss(zone, now);
        } else if self.evacuations.borrow_mut().cancel(zone) {
            self.reopen_zone(zone);
        }
    }

    /// Ends the evacuations whose orders have been missing for too long.
    pub(super) fn end_missing_evacuations(&self) {
        let ended = self.evacuations.borrow_mut().end_missing(self.now());
        for zone in ended {
            self.reopen_zone(&zone);
        }
    }

    fn reopen_zone(&self, zone: &str) {
        log::info!(zone; "zone no longer evacuated");
        let now = self.now();
        self.with_pool(|pool| pool.reopen_zone(zone, now));
        self.count_evacuated();
    }

    fn count_evacuated(&self) {
        let count = self.evacuations.borrow().zones().len();
        let count = i64::try_from(count).unwrap_or(i64::MAX);
        self.metrics.evacuated_zones.set(count);
    }
}
