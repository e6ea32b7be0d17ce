//! Servers that limit the requests of all entries together, by their statements or because they are cold. A server with a limit
//! gets only requests with a token of the entry's share or, if the shares are too small, with a grant of its coordinator.

use std::{sync::Arc, time::Duration};

use pistachiolug_routing::rate_limit::{self, Split};
use rand::Rng;

use super::{Candidate, Choice, Location, Pool, Requirements, Server, selection};
use crate::{config::Engine, server::Record};

/// Time for which the end of a limit is told to other entries.
const ENDED_TIME: Duration = Duration::from_secs(10);

/// Demand for one server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Demand {
    /// Incarnation of the server.
    pub incarnation: u64,
    /// Service of the server.
    pub service: Arc<str>,
    /// Priority of the most urgent request; 0 is served first.
    pub priority: u8,
}

impl Server {
    /// Returns the requests per second to which the server's statements limit all entries together; `None` if they do not.
    pub fn limit(&self) -> Option<f64> {
        self.statement.limit.per_second
    }

    /// Returns whether the server's limit lets it get a request now.
    pub(super) fn is_within_limit(&self, now: Duration) -> bool {
        let split = self.split(now);
        split.is_none_or(|split| self.allowance.is_open(split, now))
    }

    /// Returns the time until the server may get a request, by its backoff and its limit.
    pub(super) fn time_to_opening(&self, now: Duration) -> Duration {
        let backoff = self.statement.backoff.time_left(now).unwrap_or_default();
        let split = self.split(now);
        match split.filter(|split| !self.allowance.is_open(*split, now)) {
            Some(split) => backoff.max(self.allowance.time_to_opening(split, now)),
            None => backoff,
        }
    }
}

impl Pool {
    /// Records at the server that would get a request, if it needed no grant, that a grant is wanted. Returns whether there is
    /// such a server.
    ///
    /// # Arguments
    /// `choice` is the server that the request gets instead; `None` if it gets none.
    pub fn want(
        &mut self,
        requirements: &Requirements,
        engine: Option<&Engine>,
        location: &Location,
        choice: Option<&Choice>,
        now: Duration,
        random: &mut impl Rng,
    ) -> bool {
        if choice.is_some_and(|choice| choice.send_before.is_some()) {
            return false;
        }
        let Some(id) = self.find_wanted(requirements, engine, location, choice, now, random) else {
            return false;
        };
        if let Some(server) = self.servers.get_mut(&id) {
            server.allowance.want(requirements.priority, now);
        }
        true
    }

    /// Returns the server without a grant that would get the request; `None` if it would go elsewhere all the same.
    fn find_wanted(
        &self,
        requirements: &Requirements,
        engine: Option<&Engine>,
        location: &Location,
        choice: Option<&Choice>,
        now: Duration,
        random: &mut impl Rng,
    ) -> Option<Arc<str>> {
        let ids = self.services.get(&requirements.service)?;
        let servers = || ids.iter().map(|id| &self.servers[id]);
        let lacks_grant = |server: &Server| server.needs_grant(now) && !server.is_within_limit(now);
        if !servers().any(lacks_grant) {
            return None;
        }
        let usable: Vec<&Server> = servers()
            .filter(|server| {
                server.is_usable(requirements, now)
                    && server.has_free_slot(requirements, engine, self.peer_count, now)
                    && (lacks_grant(server) || (choice.is_some() && server.is_within_limit(now)))
            })
            .collect();
        let candidates: Vec<Candidate> = usable
            .iter()
            .map(|server| server.candidate(requirements, engine, location, now))
            .collect();
        // The server whose grant is expected first, if there is nothing else for the request.
        let index = if choice.is_some() {
            selection::choose(&candidates, random)?
        } else {
            let waits = usable.iter().enumerate();
            let first = waits.min_by_key(|(_, server)| server.allowance.time_to_grant(now))?;
            first.0
        };
        let wanted = usable[index];
        lacks_grant(wanted).then(|| Arc::clone(&wanted.record.id))
    }

    /// Returns the time until the first server may get a request, if all that could take it are in a backoff or have no
    /// grant left.
    pub fn time_to_reopening(
        &self,
        requirements: &Requirements,
        now: Duration,
    ) -> Option<Duration> {
        let ids = self.services.get(&requirements.service)?;
        let servers = ids.iter().map(|id| &self.servers[id]);
        let servers = servers.filter(|server| server.meets(requirements, now));
        let left = servers.map(|server| server.time_to_opening(now));
        left.min().filter(|left| !left.is_zero())
    }

    /// Uses a token or a grant for a request that was assigned to a server, if the server has a limit.
    pub fn use_grant(&mut self, choice: &mut Choice) {
        let Some(server) = self.servers.get_mut(&choice.record.id) else {
            return;
        };
        if let Some(split) = server.split(choice.chosen_at) {
            choice.send_before = server.allowance.spend(split, choice.chosen_at);
        }
    }

    /// Returns whether the limit of the chosen server, which may have been stated since, allows the request.
    pub fn is_within_limit(&self, choice: &Choice, now: Duration) -> bool {
        let is_granted = choice.send_before.is_some_and(|before| now < before);
        is_granted || !self.has_limit(&choice.record, now)
    }

    /// Returns whether a server has a limit.
    pub fn has_limit(&self, record: &Record, now: Duration) -> bool {
        let server = self.servers.get(&record.id);
        if let Some(server) = server.filter(|server| server.is_incarnation(record)) {
            return server.rate(now).is_some();
        }
        let statement = self.statement(record);
        statement.is_some_and(|statement| statement.limit.per_second.is_some())
    }

    /// Returns whether a server's limit, if it has one, lets it get another request at once.
    pub fn is_open(&self, record: &Record, now: Duration) -> bool {
        let server = self.servers.get(&record.id);
        server.is_none_or(|server| server.is_within_limit(now)) || !self.has_limit(record, now)
    }

    /// Returns the demands that have to be sent to coordinators now, and counts them as sent.
    pub fn take_demands(&mut self, now: Duration) -> Vec<Demand> {
        let servers = self.servers.values_mut();
        let limited = servers.filter(|server| server.needs_grant(now));
        let demands = limited.filter_map(|server| {
            let priority = server.allowance.demand(now)?;
            server.allowance.record_ask(now);
            Some(Demand {
                incarnation: server.record.incarnation(),
                service: Arc::clone(&server.record.service),
                priority,
            })
        });
        demands.collect()
    }

    /// Adds grants for a server that arrived at `at`, and records when the next one may come. Returns the service of the
    /// server; `None` if it is unknown.
    pub fn add_grants(
        &mut self,
        incarnation: u64,
        count: u32,
        wait: Duration,
        at: Duration,
    ) -> Option<Arc<str>> {
        let mut servers = self.servers.values_mut();
        let server = servers.find(|server| server.record.incarnation() == incarnation)?;
        server.allowance.add(count, at);
        server.allowance.set_next(at + wait);
        Some(Arc::clone(&server.record.service))
    }

    /// Returns the requests per second of a server that may be allocated; `None` if it has no limit or is unknown. Of a server
    /// that has not answered, nothing is known, while another entry may have heard of a limit.
    pub fn allocatable_rate(&self, incarnation: u64, now: Duration) -> Option<f64> {
        let mut servers = self.servers.values();
        let server = servers.find(|server| server.record.incarnation() == incarnation)?;
        server.allocatable_rate(now)
    }

    /// Tells other entries that a server has no limit, if its answers say so. Returns whether they do and nothing else can limit
    /// it.
    pub fn tell_ended_limit(&mut self, incarnation: u64, now: Duration) -> bool {
        let mut servers = self.servers.values_mut();
        let server = servers.find(|server| server.record.incarnation() == incarnation);
        let is_ended =
            |server: &&mut Server| server.limit().is_none() && server.statement.own_limit.is_some();
        let Some(server) = server.filter(is_ended) else {
            return false;
        };
        server.statement.limit_changed_at = Some(now);
        !server.has_cold_limit()
    }

    /// Returns the requests per second that this entry may send to all servers together that could take the request, if all of
    /// them have limits. Of those whose requests need grants, one entry may get all.
    pub fn total_limit(&self, requirements: &Requirements, now: Duration) -> Option<f64> {
        let ids = self.services.get(&requirements.service)?;
        let servers = ids.iter().map(|id| &self.servers[id]);
        let mut servers = servers
            .filter(|server| server.meets(requirements, now))
            .peekable();
        servers.peek()?;
        let rates = servers.map(|server| match server.split(now)? {
            Split::Even(share) => Some(share),
            Split::Granted => server.rate(now),
        });
        rates.sum()
    }

    /// Returns the limits to tell other entries, as stated in answers here, and those that have ended lately, by incarnation.
    ///
    /// # Arguments
    /// Only limits that have changed after `changed_after` are returned.
    pub fn limits(
        &self,
        changed_after: Duration,
        now: Duration,
    ) -> Vec<(u64, rate_limit::Statement)> {
        let limits = self.servers.values().filter_map(|server| {
            let statement = &server.statement;
            let (known, own) = (statement.limit, statement.own_limit?);
            let changed_at = statement.limit_changed_at?;
            let is_told = known.per_second.is_some() || now < changed_at + ENDED_TIME;
            let is_outdated = own.made_before < known.made_after;
            let is_due = is_told && !is_outdated && changed_at >= changed_after;
            is_due.then(|| (server.record.incarnation(), own))
        });
        limits.collect()
    }

    /// Merges what another entry knows of a server's limit. Returns the server's record if the limit changes.
    pub fn merge_limit(
        &mut self,
        incarnation: u64,
        limit: rate_limit::Statement,
        now: Duration,
    ) -> Option<Record> {
        let entry = self.sharing.entry();
        let mut servers = self.servers.values_mut();
        let server = servers.find(|server| server.record.incarnation() == incarnation)?;
        let is_changed = server.change_limits(entry, now, |server| {
            server.statement.merge_limit(limit, now)
        });
        is_changed.then(|| server.record.clone())
    }
}
