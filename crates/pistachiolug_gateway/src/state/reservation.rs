//! Reservation of slots: which of a service's requests are short of slots, here and at other entries, and what that means
//! for a request.

use std::{sync::Arc, time::Duration};

use pistachiolug_wire::datagram::Shortage;

use super::{State, find_engine};
use crate::{
    pool::Requirements,
    queue::Rank,
    reservation::{Claim, Ledger, Unmet},
    server::hash_id,
};

/// Priorities of one service in a beacon, the most urgent ones.
const SHORTAGES_PER_SERVICE: usize = 1;

/// Services in a beacon that are short of slots; the beacon has to fit into one packet.
const MAX_SHORTAGES: usize = 16;

impl State {
    /// Returns the shortages of this entry for its beacon.
    pub(super) fn shortages(&self) -> Vec<Shortage> {
        let now = self.now();
        let ledgers = self.ledgers.borrow();
        let shortages = ledgers.iter().flat_map(|(service, ledger)| {
            let unmet = ledger.unmet(now);
            let counts = unmet.iter().take(SHORTAGES_PER_SERVICE);
            let counts: Vec<(u8, u32)> = counts.collect();
            counts.into_iter().map(|(priority, count)| Shortage {
                service: hash_id(service),
                priority,
                count: count.try_into().unwrap_or(u16::MAX),
            })
        });
        shortages.take(MAX_SHORTAGES).collect()
    }

    /// Counts the arrival of a request.
    pub fn record_arrival(&self, requirements: &Requirements) {
        self.with_ledger(requirements, |ledger, claim, now| {
            ledger.record_request(claim, now);
        });
    }

    /// Counts a request that found no free slot.
    pub fn record_shortage(&self, requirements: &Requirements) {
        self.with_ledger(requirements, |ledger, claim, now| {
            ledger.record_shortage(claim, now);
        });
    }

    /// Counts a request that got a slot, unless a server had it before.
    pub(super) fn record_slot(&self, requirements: &Requirements) {
        if requirements.tried.is_empty() && !requirements.is_exempt {
            self.with_ledger(requirements, |ledger, claim, now| {
                ledger.record_slot(claim, now);
            });
        }
    }

    fn with_ledger(
        &self,
        requirements: &Requirements,
        action: impl FnOnce(&mut Ledger, &Claim<'_>, Duration),
    ) {
        // Plain services have queues of their own, in which no slots are reserved.
        if requirements.model.is_none() {
            return;
        }
        let now = self.now();
        let mut ledgers = self.ledgers.borrow_mut();
        let ledger = ledgers.entry(Arc::clone(&requirements.service));
        action(ledger.or_default(), &requirements.claim(), now);
    }

    /// Returns whether the request's priority or workspace is below its floor.
    pub fn is_below_floor(&self, requirements: &Requirements) -> bool {
        let ledgers = self.ledgers.borrow();
        let ledger = ledgers.get(&requirements.service);
        !requirements.is_exempt
            && ledger.is_some_and(|ledger| ledger.is_below_floor(&requirements.claim()))
    }

    /// Returns whether first attempts that are less urgent than one of this rank compete for the slots of a service.
    pub fn has_less_urgent(&self, service: &str, rank: Rank) -> bool {
        let ledgers = self.ledgers.borrow();
        let ledger = ledgers.get(service).filter(|_| !rank.is_late);
        ledger.is_some_and(|ledger| ledger.has_less_urgent(rank.priority, self.now()))
    }

    /// Sets the slots that the request leaves to more urgent ones now.
    pub fn update_reservation(&self, requirements: &mut Requirements) {
        requirements.slots_left = 0.0;
        if requirements.is_exempt || self.is_below_floor(requirements) {
            return;
        }
        requirements.slots_left = self.slots_left(&requirements.service, &requirements.claim());
    }

    /// Returns the mean number of slots of each engine of a service that a request leaves; 0 for plain services.
    pub(super) fn slots_left(&self, service: &Arc<str>, claim: &Claim<'_>) -> f64 {
        let mut unmet = Unmet::default();
        if let Some(ledger) = self.ledgers.borrow().get(service) {
            unmet = ledger.unmet(self.now());
        }
        if let Some(peers) = self.peer_shortages.borrow().get(&hash_id(service)) {
            unmet.merge(peers);
        }
        let config = self.config();
        let engine = config
            .as_ref()
            .and_then(|config| find_engine(config, service));
        let engines = self.pool.borrow().count_listed(service);
        engine.map_or(0.0, |engine| unmet.slots_left(claim, engines, engine.slots))
    }

    /// Returns the priorities of a service that were asked for here.
    pub(super) fn priorities(&self, service: &str) -> Vec<u8> {
        let ledgers = self.ledgers.borrow();
        let ledger = ledgers.get(service);
        ledger.map_or_else(Vec::new, |ledger| ledger.priorities().collect())
    }
}
