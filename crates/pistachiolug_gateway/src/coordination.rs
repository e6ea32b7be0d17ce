//! Allocations of limited servers' rates that this entry may have to make for all entries.

use std::{net::SocketAddr, time::Duration};

use pistachiolug_routing::allocation::Allocation;
use pistachiolug_wire::datagram::{Demand, Grant};
use rustc_hash::FxHashMap;

/// Share of a limit that a coordinator gives out which does not hear from most entries, on top of their share: the other
/// entries may have a coordinator of their own.
const MINORITY_SHARE: f64 = 0.5;

/// Largest number of requests that one demand may ask for.
const MAX_DEMAND: u32 = 64;

/// Returns the share of a limit that a coordinator may give out. Whatever groups of entries do not hear from each other,
/// their coordinators together give out at most one and a quarter of the limit.
///
/// # Arguments
/// `heard` and `members` are the numbers of entries that the coordinator hears from and heard from lately, with itself.
pub fn coordinator_share(heard: usize, members: usize) -> f64 {
    if heard * 2 > members {
        return 1.0;
    }
    MINORITY_SHARE * heard as f64 / members.max(1) as f64
}

/// Allocations by the servers' incarnations.
#[derive(Debug, Default)]
pub struct Allocations {
    by_server: FxHashMap<u64, Allocation<SocketAddr>>,
}

impl Allocations {
    /// Records the demand of an entry for a server that this entry coordinates.
    ///
    /// # Arguments
    /// `per_second` is the rate of requests that may be given out.
    pub fn record_demand(
        &mut self,
        entry: SocketAddr,
        demand: &Demand,
        per_second: f64,
        now: Duration,
    ) {
        let allocation = self.update(demand.incarnation, per_second, now);
        allocation.set_demand(entry, demand.count.min(MAX_DEMAND), demand.priority, now);
    }

    /// Gives the grants of all servers that are due.
    ///
    /// # Arguments
    /// `rate` returns the rate of a server's requests that may be given out; `None` if this entry no longer coordinates it.
    pub fn grant(
        &mut self,
        rate: impl Fn(u64) -> Option<f64>,
        now: Duration,
    ) -> Vec<(SocketAddr, Grant)> {
        let mut grants = Vec::new();
        let servers: Vec<u64> = self.by_server.keys().copied().collect();
        for incarnation in servers {
            let Some(per_second) = rate(incarnation) else {
                self.by_server.remove(&incarnation);
                continue;
            };
            let allocation = self.update(incarnation, per_second, now);
            for (entry, count) in allocation.grant(now) {
                let wait = allocation.time_to_grant(entry, now);
                grants.push((entry, grant(incarnation, count, wait)));
            }
        }
        grants
    }

    /// Returns what an entry is told whose demand got no grant.
    pub fn refuse(&self, entry: SocketAddr, incarnation: u64, now: Duration) -> Option<Grant> {
        let allocation = self.by_server.get(&incarnation)?;
        let wait = allocation.time_to_grant(entry, now);
        Some(grant(incarnation, 0, wait))
    }

    fn update(
        &mut self,
        incarnation: u64,
        per_second: f64,
        now: Duration,
    ) -> &mut Allocation<SocketAddr> {
        let allocation = self.by_server.entry(incarnation);
        let allocation = allocation.or_insert_with(|| Allocation::new(per_second, now));
        allocation.set_rate(per_second, now);
        allocation
    }
}

fn grant(incarnation: u64, count: u32, wait: Duration) -> Grant {
    Grant {
        incarnation,
        count,
        wait_ms: wait.as_millis().min(u32::MAX.into()) as u32,
    }
}
