//! Reservation of slots: which of a service's requests are short of slots, here and at other entries, and what that means
//! for a request.

use std::{sync::Arc, time::Duration};

use pistachiolug_wire::datagram::Shortage;

use super::{State, find_engine};
use crate::{
    metrics::{FLOOR, HELD_BACK},
    pool::Requirements,
    queue::Rank,
    reservation::{Claim, Ledger, Reserve},
    server::hash_id,
};

/// Services in a beacon that are short of slots; the beacon has to fit into one packet.
const MAX_SHORTAGES: usize = 16;

impl State {
    /// Returns the shortages of this entry for its beacon.
    pub(super) fn shortages(&self) -> Vec<Shortage> {
        let now = self.now();
        let ledgers = self.ledgers.borrow();
        let shortages = ledgers.iter();
        let shortages = shortages.filter_map(|(service, ledger)| ledger.shortage(service, now));
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
        if requirements.reserve.slots_left > 0.0 {
            self.metrics.reservations.get(HELD_BACK).inc();
        }
        self.with_ledger(requirements, |ledger, claim, now| {
            ledger.record_shortage(claim, now);
        });
    }

    /// Counts a request that got a slot, unless a server had it before.
    pub(super) fn record_slot(&self, requirements: &Requirements) {
        if requirements.tried.is_empty() && !requirements.is_exempt {
            if self.is_below_floor(requirements) {
                self.metrics.reservations.get(FLOOR).inc();
            }
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
        let peers = self.peer_shortages.borrow();
        let peers = peers.get(&hash_id(&requirements.service));
        let claim = requirements.claim();
        !requirements.is_exempt
            && ledger.is_some_and(|ledger| ledger.is_below_floor(&claim, peers, self.now()))
    }

    /// Returns whether first attempts that are less urgent than one of this rank compete for the slots of a service.
    pub fn has_less_urgent(&self, service: &str, rank: Rank) -> bool {
        let ledgers = self.ledgers.borrow();
        let ledger = ledgers.get(service).filter(|_| !rank.is_late);
        ledger.is_some_and(|ledger| ledger.has_less_urgent(rank.priority, self.now()))
    }

    /// Sets the slots that the request leaves to others now.
    pub fn update_reservation(&self, requirements: &mut Requirements) {
        requirements.reserve = if requirements.is_exempt {
            Reserve::default()
        } else {
            self.find_reserve(&requirements.service, &requirements.claim())
        };
    }

    /// Returns the slots of the engines of a service that a request leaves to others.
    pub(super) fn find_reserve(&self, service: &Arc<str>, claim: &Claim<'_>) -> Reserve {
        let config = self.config();
        let engine = config
            .as_ref()
            .and_then(|config| find_engine(config, service));
        let ledgers = self.ledgers.borrow();
        // Plain services have no ledger.
        let (Some(engine), Some(ledger)) = (engine, ledgers.get(service)) else {
            return Reserve::default();
        };
        let peers = self.peer_shortages.borrow();
        let engines = self.pool.borrow().count_listed(service);
        let peers = peers.get(&hash_id(service));
        ledger.reserve(claim, peers, engines, engine.slots, self.now())
    }

    /// Returns the priorities of a service that were asked for here.
    pub(super) fn priorities(&self, service: &str) -> Vec<u8> {
        let ledgers = self.ledgers.borrow();
        let ledger = ledgers.get(service);
        ledger.map_or_else(Vec::new, |ledger| ledger.priorities().collect())
    }
}
