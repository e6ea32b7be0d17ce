//! Servers that limit the requests of all entries together: what entries tell each other of limits, and the demands and
//! grants between them.

use std::{net::SocketAddr, rc::Rc, sync::Arc, time::Duration};

use pistachiolug_routing::rate_limit;
use pistachiolug_wire::datagram::{Demand, Grant, Limit, MAX_TRANSIT};
use tokio::sync::futures::Notified;

use super::{State, cold_servers::record_round, find_engine};
use crate::{
    allowance::MAX_GRANTS,
    coordination::coordinator_share,
    peers::Coordinator,
    pool::{Choice, Pool, Requirements},
    versions::millis,
};

/// Demands and grants to send, with the entries that get them.
#[derive(Debug)]
pub struct Outgoing {
    /// Demands by the internal address of the server's coordinator.
    pub demands: Vec<(SocketAddr, Demand)>,
    /// Grants by the internal address of the entry.
    pub grants: Vec<(SocketAddr, Grant)>,
}

impl State {
    /// Chooses the server for a request. If a limited server that needs a grant would be better, its coordinator is asked for
    /// one.
    pub(super) fn choose(&self, pool: &mut Pool, requirements: &Requirements) -> Option<Choice> {
        let config = self.config()?;
        let engine = find_engine(&config, &requirements.service);
        let location = &self.options.location;
        let (now, mut random) = (self.now(), rand::rng());
        record_round(pool, now);
        let mut choice = pool.choose(requirements, engine, location, now, &mut random);
        if pool.want(
            requirements,
            engine,
            location,
            choice.as_ref(),
            now,
            &mut random,
        ) {
            let is_granted = self.take_demands(pool);
            if choice.is_none() && is_granted {
                choice = pool.choose(requirements, engine, location, now, &mut random);
            }
        }
        let mut choice = choice?;
        pool.use_grant(&mut choice);
        Some(choice)
    }

    /// Takes the demands that are due: those for servers that this entry coordinates are met at once as far as possible, the
    /// others wait to be sent. Returns whether this entry got a grant.
    fn take_demands(&self, pool: &mut Pool) -> bool {
        let now = self.now();
        let mut outgoing = self.outgoing_demands.borrow_mut();
        let mut allocations = self.allocations.borrow_mut();
        let mut has_own = false;
        for demand in pool.take_demands(now) {
            let waiting = self.count_waiting(&demand.service) as u32;
            let demand = Demand {
                incarnation: demand.incarnation,
                count: waiting.max(1),
                priority: demand.priority,
            };
            let coordinator = self.coordinator(demand.incarnation);
            if let Some(address) = coordinator.address {
                outgoing.push((address, demand));
            } else if let Some(rate) = self.allocated_rate(pool, demand.incarnation) {
                allocations.record_demand(self.options.internal, &demand, rate, now);
                has_own = true;
            }
        }
        if !outgoing.is_empty() {
            self.demand_recorded.notify_one();
        }
        if !has_own {
            return false;
        }
        let grants = allocations.grant(|server| self.allocated_rate(pool, server), now);
        drop(allocations);
        let mut is_granted = false;
        for (entry, grant) in grants {
            if entry == self.options.internal {
                let service = pool.add_grants(grant.incarnation, grant.count, wait(&grant), now);
                self.count_granted(service.as_ref(), grant.count);
                is_granted = true;
            } else {
                self.outgoing_grants.borrow_mut().push((entry, grant));
                self.demand_recorded.notify_one();
            }
        }
        is_granted
    }

    /// Waits until there are demands or grants to send.
    pub fn wait_for_demand(&self) -> Notified<'_> {
        self.demand_recorded.notified()
    }

    /// Takes the demands and grants to send to other entries.
    pub fn take_outgoing(&self) -> Outgoing {
        Outgoing {
            demands: self.outgoing_demands.take(),
            grants: self.outgoing_grants.take(),
        }
    }

    /// Renews the demands of waiting requests, and gives the grants that are due.
    pub fn renew_grants(self: &Rc<Self>) {
        self.with_pool(|pool| self.take_demands(pool));
        let pool = self.pool.borrow();
        let rate = |server| self.allocated_rate(&pool, server);
        let grants = self.allocations.borrow_mut().grant(rate, self.now());
        drop(pool);
        for (entry, grant) in grants {
            self.pass_on_grant(entry, grant);
        }
    }

    /// Handles demands of another entry that believes this one to be the servers' coordinator.
    pub fn record_demands(self: &Rc<Self>, entry: SocketAddr, demands: &[Demand]) {
        let now = self.now();
        // An entry that has missed the end of a limit learns of it from an answer, and from what is told now.
        let ended = demands.iter().map(|demand| demand.incarnation);
        let ended: Vec<u64> = self.with_pool(|pool| {
            ended
                .filter(|server| pool.tell_ended_limit(*server, now))
                .collect()
        });
        let pool = self.pool.borrow();
        let mut allocations = self.allocations.borrow_mut();
        let rate = |server| self.allocated_rate(&pool, server);
        for demand in demands {
            if let Some(rate) = rate(demand.incarnation) {
                allocations.record_demand(entry, demand, rate, now);
            }
        }
        let grants = allocations.grant(rate, now);
        let ended = ended.into_iter().map(|incarnation| Grant {
            incarnation,
            count: 1,
            wait_ms: 0,
        });
        let is_granted = |server| {
            let mut grants = grants.iter();
            grants.any(|(granted, grant)| *granted == entry && grant.incarnation == server)
        };
        let refused = demands.iter().map(|demand| demand.incarnation);
        let refused = refused.filter(|server| !is_granted(*server));
        let refused = refused.filter_map(|server| allocations.refuse(entry, server, now));
        let answers = refused.chain(ended).map(|grant| (entry, grant));
        let answers: Vec<(SocketAddr, Grant)> = answers.chain(grants.iter().copied()).collect();
        drop((pool, allocations));
        for (entry, grant) in answers {
            self.pass_on_grant(entry, grant);
        }
    }

    fn pass_on_grant(self: &Rc<Self>, entry: SocketAddr, grant: Grant) {
        if entry == self.options.internal {
            self.record_grants(&[grant], self.now());
        } else {
            self.outgoing_grants.borrow_mut().push((entry, grant));
            self.demand_recorded.notify_one();
        }
    }

    /// Adds grants that arrived after `arrived_after`, and serves the queues of their services.
    pub fn record_grants(self: &Rc<Self>, grants: &[Grant], arrived_after: Duration) {
        for grant in grants {
            let (server, count) = (grant.incarnation, grant.count.min(MAX_GRANTS));
            let service =
                self.with_pool(|pool| pool.add_grants(server, count, wait(grant), arrived_after));
            self.count_granted(service.as_ref(), count);
            if let Some(service) = service.filter(|_| count > 0) {
                self.serve_queue(&service, None);
            }
        }
    }

    /// Counts grants as slots that have become free.
    fn count_granted(&self, service: Option<&Arc<str>>, count: u32) {
        for _ in 0..count {
            if let Some(service) = service {
                self.count_freed(service);
            }
        }
    }

    /// Returns the limits to tell other entries: all, or those that have changed within a time.
    pub fn limits(&self, within: Option<Duration>) -> Vec<Limit> {
        let now = self.now();
        let changed_after = within.map_or(Duration::ZERO, |within| now.saturating_sub(within));
        let limits = self.with_pool(|pool| pool.limits(changed_after, now));
        let age_ms = |at: Duration| millis(now.saturating_sub(at));
        let limits = limits.into_iter().map(|(incarnation, limit)| Limit {
            incarnation,
            millis_per_second: limit.per_second.map(|rate| (rate * 1000.0) as u64),
            max_age_ms: age_ms(limit.made_after),
            min_age_ms: age_ms(limit.made_before),
        });
        limits.collect()
    }

    /// Merges the limits that another entry knows, which arrived after `arrived_after`.
    pub fn merge_limits(&self, limits: &[Limit], arrived_after: Duration) {
        let now = self.now();
        for limit in limits {
            let max_age = Duration::from_millis(limit.max_age_ms.into()) + MAX_TRANSIT;
            let millis = limit.millis_per_second;
            let min_age = Duration::from_millis(limit.min_age_ms.into());
            // Counted from the arrival: the time for which the datagram waited here is no part of its age.
            let statement = rate_limit::Statement {
                per_second: millis.and_then(|millis| rate_limit::clamp(millis as f64 / 1000.0)),
                made_after: arrived_after.saturating_sub(max_age),
                made_before: arrived_after.saturating_sub(min_age),
            };
            let changed =
                self.with_pool(|pool| pool.merge_limit(limit.incarnation, statement, now));
            if let Some(record) = changed {
                self.log_limit(&record, statement.per_second, "entry");
            }
        }
    }

    fn coordinator(&self, server: u64) -> Coordinator {
        self.peers.borrow().coordinator(server, self.now())
    }

    /// Returns the rate of a server's requests that this entry may give out; `None` if the server has no limit, or if
    /// another entry coordinates it.
    fn allocated_rate(&self, pool: &Pool, server: u64) -> Option<f64> {
        let rate = pool.allocatable_rate(server, self.now())?;
        let coordinator = self.coordinator(server);
        if coordinator.address.is_some() {
            return None;
        }
        let share = coordinator_share(coordinator.heard, coordinator.members);
        Some(rate * share)
    }

    fn count_waiting(&self, service: &Arc<str>) -> usize {
        let queues = self.queues.borrow();
        queues.get(service).map_or(0, |queue| queue.iter().count())
    }
}

fn wait(grant: &Grant) -> Duration {
    Duration::from_millis(grant.wait_ms.into())
}
