//! Rates that the entries share: those that servers state, and those of cold servers.

use std::{sync::Arc, time::Duration};

use pistachiolug_routing::rate_limit::{self, Split};
use rustc_hash::FxHashMap;

use super::{Pool, Server};
use crate::{
    cold::{self, Coldness, Policy},
    config::Config,
};

/// What the configuration says of the rates of a service's servers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(super) struct Rules {
    /// Whether the servers have agents, which use a share of the limits that the servers state.
    has_agents: bool,
    /// Limit of cold servers, if there is one.
    cold: Option<Policy>,
}

/// What the rates of all servers have in common.
#[derive(Debug, Default)]
pub(super) struct Sharing {
    rules: FxHashMap<Arc<str>, Rules>,
    /// Whether any service limits its cold servers.
    has_cold_limits: bool,
    /// Hash of this entry's name.
    entry: u64,
    /// Number of registered entries.
    registered: u32,
    /// When the first server was listed; `None` before.
    first_listed_at: Option<Duration>,
    /// When the entry last ran a round.
    round_at: Option<Duration>,
}

impl Sharing {
    /// Returns the hash of this entry's name.
    pub(super) fn entry(&self) -> u64 {
        self.entry
    }

    /// Returns the quota of an incarnation that is listed.
    ///
    /// # Arguments
    /// `known` is its coldness if it was listed before; `stated` is the time for which its row says that it stays cold.
    pub(super) fn quota(
        &mut self,
        service: &str,
        known: Option<Coldness>,
        stated: Option<Duration>,
        now: Duration,
    ) -> Quota {
        let first_listed_at = self.first_listed_at;
        self.first_listed_at.get_or_insert(now);
        let coldness = match known {
            Some(mut coldness) => {
                if stated.is_some() {
                    coldness.record_row(stated, stated, now);
                }
                coldness
            }
            None => Coldness::new(stated, first_listed_at, now),
        };
        Quota {
            coldness,
            rules: self.rules.get(service).copied().unwrap_or_default(),
            entries: self.registered,
        }
    }
}

/// What limits the rate of one server, beside the limit that it states.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Quota {
    pub(super) coldness: Coldness,
    rules: Rules,
    /// Number of registered entries.
    entries: u32,
}

impl Server {
    /// Returns the requests per second that the server takes from all entries now; `None` if it does not limit them.
    pub fn rate(&self, now: Duration) -> Option<f64> {
        let rules = &self.quota.rules;
        let stated = self.limit().map(|limit| {
            if rules.has_agents {
                rate_limit::entries_rate(limit)
            } else {
                limit
            }
        });
        let cold = rules.cold.filter(|_| self.cold_left(now).is_some());
        let cold = cold.map(|policy| policy.per_second);
        match (stated, cold) {
            (Some(stated), Some(cold)) => Some(stated.min(cold)),
            (stated, cold) => stated.or(cold),
        }
    }

    /// Returns the time for which the server stays cold; `None` if it is warm, or if cold servers of its service have no limit.
    pub fn cold_left(&self, now: Duration) -> Option<Duration> {
        let policy = self.quota.rules.cold.as_ref()?;
        self.quota.coldness.time_left(policy, now)
    }

    /// Returns how the entries share the server's rate; `None` if it has none.
    pub(super) fn split(&self, now: Duration) -> Option<Split> {
        let per_second = self.rate(now)?;
        Some(Split::new(per_second, self.quota.entries))
    }

    /// Returns whether requests to the server need grants of its coordinator.
    pub(super) fn needs_grant(&self, now: Duration) -> bool {
        self.split(now) == Some(Split::Granted)
    }

    /// Returns whether the service limits its cold servers. Other entries may know that this one is cold.
    pub(super) fn has_cold_limit(&self) -> bool {
        self.quota.rules.cold.is_some()
    }

    /// Returns the requests per second that this entry may give out as the server's coordinator; `None` if it knows no limit.
    ///
    /// Entries may know sooner than this one that the server is cold, or that the rate is too low for an even split. What they
    /// ask for then is one entry's share.
    pub(super) fn allocatable_rate(&self, now: Duration) -> Option<f64> {
        let has_answered = self.statement.own_limit.is_some();
        let least = if self.quota.rules.has_agents {
            rate_limit::entries_rate(rate_limit::MIN_PER_SECOND)
        } else {
            rate_limit::MIN_PER_SECOND
        };
        let least = (!has_answered).then_some(least);
        let unknown = self.quota.rules.cold.map(|policy| policy.per_second);
        let per_second = self.rate(now).or(unknown).or(least)?;
        Some(match Split::new(per_second, self.quota.entries) {
            Split::Even(share) => share,
            Split::Granted => per_second,
        })
    }

    /// Sets what limits a server that is listed anew, also by what it has stated before.
    pub(super) fn begin_limits(&mut self, entry: u64, quota: Quota, now: Duration) {
        self.quota = quota;
        self.restrict(entry, now);
    }

    fn restrict(&mut self, entry: u64, now: Duration) {
        if let Some(split) = self.split(now) {
            let tokens = cold::first_tokens(entry, self.record.incarnation());
            self.allowance.begin(split, tokens, now);
        }
    }

    /// Changes what limits the server. If it has no limit before, the entry begins with few tokens.
    pub(super) fn change_limits<T>(
        &mut self,
        entry: u64,
        now: Duration,
        change: impl FnOnce(&mut Self) -> T,
    ) -> T {
        let was_limited = self.rate(now).is_some();
        let changed = change(self);
        if !was_limited {
            self.restrict(entry, now);
        }
        changed
    }
}

impl Pool {
    /// Applies what a configuration says of rates.
    ///
    /// # Arguments
    /// `entry` is a hash of this entry's name; `bound` is that of cold servers, without which they have no limit.
    pub fn apply_config(
        &mut self,
        config: &Config,
        entry: u64,
        bound: Option<&cold::Bound>,
        now: Duration,
    ) {
        let rules = config.services().map(|service| {
            let cold = service.cold.zip(bound);
            let rules = Rules {
                has_agents: service.engine.is_some(),
                cold: cold.map(|(policy, bound)| bound.apply(policy)),
            };
            (Arc::clone(&service.name), rules)
        });
        self.sharing.rules = rules.collect();
        self.sharing.entry = entry;
        let mut all = self.sharing.rules.values();
        self.sharing.has_cold_limits = all.any(|rules| rules.cold.is_some());
        for server in self.servers.values_mut() {
            let rules = self.sharing.rules.get(&server.record.service);
            let rules = rules.copied().unwrap_or_default();
            server.change_limits(entry, now, |server| server.quota.rules = rules);
        }
    }

    /// Records the number of registered entries; at least those that this entry hears from count.
    pub fn set_registered(&mut self, count: u32) {
        if self.sharing.registered != count {
            self.sharing.registered = count;
            for server in self.servers.values_mut() {
                server.quota.entries = count;
            }
        }
    }

    /// Records that the entry runs. After a suspension the servers of services that limit cold ones count as cold until the
    /// entry has read what it missed. Returns whether there are such servers.
    pub fn record_round(&mut self, now: Duration) -> bool {
        let previous = self.sharing.round_at.replace(now);
        let is_suspension = previous.is_some_and(|previous| cold::is_suspension(previous, now));
        if !self.sharing.has_cold_limits || !is_suspension {
            return false;
        }
        let entry = self.sharing.entry;
        for server in self.servers.values_mut() {
            server.change_limits(entry, now, |server| {
                server.quota.coldness.record_suspension(now);
            });
        }
        true
    }

    /// Returns the time for which a server stays cold; `None` if it is warm or unknown.
    pub fn cold_left(&self, id: &str, now: Duration) -> Option<Duration> {
        self.servers.get(id)?.cold_left(now)
    }

    /// Returns the number of cold servers; `None` if no service limits them.
    pub fn count_cold(&self, now: Duration) -> Option<usize> {
        let servers = self.servers.values();
        let cold = servers.filter(|server| server.cold_left(now).is_some());
        self.sharing.has_cold_limits.then(|| cold.count())
    }
}
