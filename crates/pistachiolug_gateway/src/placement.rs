//! Where requests may be served: regions that the configuration allows, and availability zones that operators evacuate.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use rustc_hash::FxHashMap;

/// Time for which an evacuation stays in force whose row is missing because the key-value service has come back from an earlier
/// copy. Operators' rows are written again within that time.
const RESTORE_TIME: Duration = Duration::from_secs(5);

/// Regions in which the requests of a route or workspace may be served.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Regions {
    /// Names of the regions; `None` for all.
    allowed: Option<Arc<BTreeSet<String>>>,
}

impl Regions {
    /// Creates the set of the named regions; no names stand for all regions.
    pub fn new(names: impl IntoIterator<Item = String>) -> Self {
        let names: BTreeSet<String> = names.into_iter().collect();
        let allowed = (!names.is_empty()).then(|| Arc::new(names));
        Self { allowed }
    }

    /// Returns the regions that are in both sets, which may be none.
    #[must_use]
    pub fn intersect(&self, other: &Self) -> Self {
        let allowed = match (&self.allowed, &other.allowed) {
            (Some(own), Some(other)) => {
                let common = own.intersection(other).cloned();
                Some(Arc::new(common.collect()))
            }
            (allowed, None) | (None, allowed) => allowed.clone(),
        };
        Self { allowed }
    }

    /// Returns whether all regions are allowed.
    pub fn is_all(&self) -> bool {
        self.allowed.is_none()
    }

    fn contains(&self, region: Option<&String>) -> bool {
        let Some(allowed) = &self.allowed else {
            return true;
        };
        region.is_some_and(|region| allowed.contains(region))
    }
}

/// Availability zones whose servers may get a request.
#[derive(Debug, Clone, Default)]
pub struct Zones {
    /// Zones of the allowed regions; `None` for all.
    allowed: Option<Arc<BTreeSet<String>>>,
    /// Zones that are evacuated.
    evacuated: Arc<BTreeSet<String>>,
}

impl Zones {
    /// Returns the zones of the allowed regions that are not evacuated.
    ///
    /// # Arguments
    /// `region_by_zone` has the regions of all zones; a zone that is missing there is of no region.
    pub fn new(
        regions: &Regions,
        region_by_zone: &FxHashMap<String, String>,
        evacuated: &Arc<BTreeSet<String>>,
    ) -> Self {
        let allowed = (!regions.is_all()).then(|| {
            let zones = region_by_zone.iter();
            let allowed = zones.filter(|(_, region)| regions.contains(Some(region)));
            Arc::new(allowed.map(|(zone, _)| zone.clone()).collect())
        });
        Self {
            allowed,
            evacuated: Arc::clone(evacuated),
        }
    }

    /// Replaces the evacuated zones.
    pub fn set_evacuated(&mut self, evacuated: &Arc<BTreeSet<String>>) {
        self.evacuated = Arc::clone(evacuated);
    }

    /// Returns whether any zone is excluded.
    pub fn is_limited(&self) -> bool {
        self.allowed.is_some() || !self.evacuated.is_empty()
    }

    /// Returns whether servers of a zone may get the request.
    pub fn contains(&self, zone: &str) -> bool {
        let is_allowed = self.allowed.as_ref();
        is_allowed.is_none_or(|allowed| allowed.contains(zone)) && !self.evacuated.contains(zone)
    }
}

/// Evacuations that operators have ordered; times are those of the process's clock.
#[derive(Debug, Default)]
pub struct Evacuations {
    /// Zones that are evacuated.
    zones: Arc<BTreeSet<String>>,
    /// Zones whose rows are missing from an earlier copy, and when their evacuations end unless they are ordered again.
    missing: BTreeMap<String, Duration>,
}

impl Evacuations {
    /// Returns the evacuated zones.
    pub fn zones(&self) -> &Arc<BTreeSet<String>> {
        &self.zones
    }

    /// Records the order to evacuate a zone, and returns whether it is new.
    pub fn order(&mut self, zone: &str) -> bool {
        self.missing.remove(zone);
        if self.zones.contains(zone) {
            return false;
        }
        Arc::make_mut(&mut self.zones).insert(zone.to_owned())
    }

    /// Records that the order is taken back, and returns whether there was one.
    pub fn cancel(&mut self, zone: &str) -> bool {
        self.missing.remove(zone);
        Arc::make_mut(&mut self.zones).remove(zone)
    }

    /// Records that the order is missing from an earlier copy of the rows.
    pub fn miss(&mut self, zone: &str, now: Duration) {
        if self.zones.contains(zone) {
            self.missing.insert(zone.to_owned(), now + RESTORE_TIME);
        }
    }

    /// Ends the evacuations whose orders have been missing for too long, and returns their zones.
    pub fn end_missing(&mut self, now: Duration) -> Vec<String> {
        let due = self.missing.iter().filter(|(_, end_at)| **end_at <= now);
        let due: Vec<String> = due.map(|(zone, _)| zone.clone()).collect();
        for zone in &due {
            self.cancel(zone);
        }
        due
    }
}
