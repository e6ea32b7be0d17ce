//! Servers that may get a request, and what excludes the others.

use std::{sync::Arc, time::Duration};

use rand::Rng;

use super::{Candidate, Location, Pool, Requirements, Server};
use crate::{config::Engine, prefix_cache::Match};

/// First reason found for which a server can't get a request now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exclusion {
    /// It is draining.
    Leaving,
    /// Its zone is evacuated, or in a region that is not allowed.
    Zone,
    /// It was already sent the request.
    Tried,
    /// It holds no version of the model that may begin the request.
    Version,
    /// It has asked for a backoff.
    Backoff,
    /// It has failed, was full, is loading, or was not what its record says.
    Avoided,
    /// Another of the conditions of a request is not met.
    Unusable,
    /// It has a limit, and this entry has no grant for it.
    NoGrant,
    /// It has no free slot, or too many unread prompts.
    NoFreeSlot,
    /// Another server has a grant, which would expire.
    GrantElsewhere,
}

impl Exclusion {
    /// Returns the name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "draining",
            Self::Zone => "zone not allowed or evacuated",
            Self::Tried => "tried before",
            Self::Version => "no allowed version",
            Self::Backoff => "backoff",
            Self::Avoided => "avoided after a failure, a refusal or during a load",
            Self::Unusable => "not usable",
            Self::NoGrant => "limited, no grant",
            Self::NoFreeSlot => "no free slot",
            Self::GrantElsewhere => "another server has a grant",
        }
    }
}

/// Why a server may or may not get a request now.
#[derive(Debug, Clone)]
pub struct Explanation {
    /// Id of the server.
    pub id: Arc<str>,
    /// Availability zone of the server.
    pub zone: Arc<str>,
    /// What excludes it; `None` for a candidate.
    pub exclusion: Option<Exclusion>,
    /// Costs of a candidate.
    pub candidate: Option<Candidate>,
    /// Part of the prompt that it may hold.
    pub held: Match,
    /// Open requests of all entries.
    pub calls: u32,
    /// Factor by which first events arrive later than expected.
    pub slowdown: f64,
    /// Time since it was listed, or since the models that it holds changed.
    pub models_age: Duration,
}

impl Server {
    fn unusable_reason(&self, requirements: &Requirements, now: Duration) -> Exclusion {
        if self.is_leaving() {
            Exclusion::Leaving
        } else if !requirements.zones.contains(&self.record.zone) {
            Exclusion::Zone
        } else if requirements.tried.contains(&self.record.id) {
            Exclusion::Tried
        } else if !self.has_version(requirements, now) {
            Exclusion::Version
        } else if self.statement.backoff.is_active(now) {
            Exclusion::Backoff
        } else if self.avoid_until > now {
            Exclusion::Avoided
        } else {
            Exclusion::Unusable
        }
    }
}

impl Pool {
    /// Returns what excludes a server from a request; `None` if it may get it.
    fn exclusion(
        &self,
        server: &Server,
        requirements: &Requirements,
        engine: Option<&Engine>,
        now: Duration,
    ) -> Option<Exclusion> {
        if !server.is_usable(requirements, now) {
            return Some(server.unusable_reason(requirements, now));
        }
        if !server.is_within_limit(now) {
            return Some(Exclusion::NoGrant);
        }
        let has_free_slot = server.has_free_slot(requirements, engine, self.peer_count, now);
        (!has_free_slot).then_some(Exclusion::NoFreeSlot)
    }

    /// Returns the servers that may get a request now, and their costs in the same order.
    pub(super) fn candidates(
        &self,
        requirements: &Requirements,
        engine: Option<&Engine>,
        location: &Location,
        now: Duration,
        random: &mut impl Rng,
    ) -> (Vec<&Server>, Vec<Candidate>) {
        let ids = self.services.get(&requirements.service);
        let servers = ids.into_iter().flatten().map(|id| &self.servers[id]);
        let mut usable: Vec<&Server> = servers
            .filter(|server| {
                let exclusion = self.exclusion(server, requirements, engine, now);
                exclusion.is_none()
            })
            .collect();
        // Grants expire if they are not used.
        if usable.iter().any(|server| server.needs_grant(now)) {
            usable.retain(|server| server.needs_grant(now));
        }
        let mut candidates: Vec<Candidate> = usable
            .iter()
            .map(|server| server.candidate(requirements, engine, location, now))
            .collect();
        self.weigh_prefixes(&usable, &mut candidates, requirements, engine, now, random);
        (usable, candidates)
    }

    /// Explains for each server of the service whether it may get a request now, and at which cost. Changes nothing.
    pub fn explain(
        &self,
        requirements: &Requirements,
        engine: Option<&Engine>,
        location: &Location,
        now: Duration,
        random: &mut impl Rng,
    ) -> Vec<Explanation> {
        let (usable, candidates) = self.candidates(requirements, engine, location, now, random);
        let ids = self.services.get(&requirements.service);
        let servers = ids.into_iter().flatten().map(|id| &self.servers[id]);
        let explain = |server: &Server| {
            let id = &server.record.id;
            let index = usable.iter().position(|usable| usable.record.id == *id);
            let exclusion = match index {
                Some(_) => None,
                None => self
                    .exclusion(server, requirements, engine, now)
                    .or(Some(Exclusion::GrantElsewhere)),
            };
            Explanation {
                id: Arc::clone(id),
                zone: Arc::clone(&server.record.zone),
                exclusion,
                candidate: index.map(|index| candidates[index]),
                held: self.find_held(server, requirements, now),
                calls: server.open_calls(),
                slowdown: server.slowdown,
                models_age: now.saturating_sub(server.models_changed_at),
            }
        };
        servers.map(explain).collect()
    }
}
