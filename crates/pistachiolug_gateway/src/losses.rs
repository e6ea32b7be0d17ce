//! Requests that were lost at backend servers, until it is known whether the server crashed.
//!
//! A broken connection alone does not tell a crash from a lost answer, a reset or a cut. A server that has crashed refuses
//! new connections, or another incarnation is listed in its place.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use pistachiolug_wire::digest::Digest;
use rustc_hash::FxHashMap;

use crate::{fingerprint::Fingerprint, server::Record};

/// Time after a loss in which the server list may still show that the server has crashed.
const MAX_AGE: Duration = Duration::from_secs(5);

/// Largest number of servers with lost requests that are kept.
const MAX_SERVERS: usize = 256;

/// Largest number of lost requests that are kept per server; more than one server runs at once.
const MAX_REQUESTS: usize = 64;

/// Result of a connection attempt to a server after a loss.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing listens at the server's address.
    Refused,
    /// Connections are closed as soon as they are accepted, as by a proxy whose server is gone.
    Closed,
    /// The server accepts connections and keeps them.
    Accepted,
    /// The server can't be reached.
    Unreachable,
}

impl Verdict {
    /// Returns the name in logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Closed => "closed",
            Self::Accepted => "accepted",
            Self::Unreachable => "unreachable",
        }
    }
}

/// Server that has to be checked because a request was lost there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// Incarnation of the server.
    pub incarnation: u64,
    /// Id of the server.
    pub server: Arc<str>,
    /// Address of the server.
    pub address: SocketAddr,
}

/// Request that a server did not answer, or whose answer ended with its connection.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Loss {
    /// Content and parts of the request.
    pub fingerprint: Fingerprint,
    /// When the request was sent, or when data of its answer last arrived.
    pub heard_at: Duration,
    /// When the request was lost.
    pub lost_at: Duration,
    /// Whether the answer is complete unless the server has crashed.
    pub is_answered: bool,
}

/// Lost requests by the incarnation of the server; times are those of the process's clock.
#[derive(Debug, Default)]
pub struct Losses {
    servers: FxHashMap<u64, Lost>,
}

#[derive(Debug)]
struct Lost {
    server: Arc<str>,
    address: SocketAddr,
    /// Lost requests, the latest of each fingerprint; at most [`MAX_REQUESTS`].
    requests: Vec<Loss>,
    /// When the check that is running was started.
    check_started_at: Option<Duration>,
    /// Losses up to this time were checked; `None` before the first check.
    checked_until: Option<Duration>,
}

impl Lost {
    /// Returns the requests that were lost after the last check that found the server alive.
    fn unchecked(&self) -> impl Iterator<Item = &Loss> {
        let requests = self.requests.iter();
        requests.filter(|loss| Some(loss.lost_at) > self.checked_until)
    }

    /// Adds a request; if there are too many, one without an answer replaces one with an answer.
    fn add(&mut self, loss: Loss) {
        self.requests
            .retain(|known| known.fingerprint != loss.fingerprint);
        if self.requests.len() < MAX_REQUESTS {
            self.requests.push(loss);
        } else if !loss.is_answered
            && let Some(answered) = self.requests.iter_mut().find(|known| known.is_answered)
        {
            *answered = loss;
        }
    }
}

impl Losses {
    /// Records that a request was lost at a server. A server that is leaving ends as planned, which says nothing about
    /// its requests.
    pub fn record(&mut self, record: &Record, loss: Loss) {
        self.remove_old(loss.lost_at);
        let incarnation = record.incarnation();
        let is_known = self.servers.contains_key(&incarnation);
        if record.leaving || (!is_known && self.servers.len() >= MAX_SERVERS) {
            return;
        }
        let lost = self.servers.entry(incarnation).or_insert_with(|| Lost {
            server: Arc::clone(&record.id),
            address: record.address,
            requests: Vec::new(),
            check_started_at: None,
            checked_until: None,
        });
        lost.add(loss);
    }

    /// Returns the servers with losses that were not checked, and counts their checks as started.
    pub fn start_checks(&mut self, now: Duration) -> Vec<Check> {
        let unchecked = self.servers.iter_mut().filter(|(_, lost)| {
            lost.check_started_at.is_none() && lost.unchecked().next().is_some()
        });
        let checks = unchecked.map(|(incarnation, lost)| {
            lost.check_started_at = Some(now);
            Check {
                incarnation: *incarnation,
                server: Arc::clone(&lost.server),
                address: lost.address,
            }
        });
        checks.collect()
    }

    /// Ends a server's check and returns the requests that were running when it crashed. A server that keeps no
    /// connection or can't be reached counts as crashed.
    pub fn finish_check(&mut self, incarnation: u64, verdict: Verdict) -> Vec<Loss> {
        if verdict != Verdict::Accepted {
            let lost = self.servers.remove(&incarnation);
            return lost.map_or_else(Vec::new, |lost| lost.unchecked().cloned().collect());
        }
        if let Some(lost) = self.servers.get_mut(&incarnation)
            && let Some(started_at) = lost.check_started_at.take()
        {
            lost.checked_until = Some(started_at);
        }
        Vec::new()
    }

    /// Takes the requests with an answer whose server was found alive after it.
    pub fn take_answered(&mut self, incarnation: u64) -> Vec<Loss> {
        let Some(lost) = self.servers.get_mut(&incarnation) else {
            return Vec::new();
        };
        let checked_until = lost.checked_until;
        let is_checked = |loss: &mut Loss| loss.is_answered && Some(loss.lost_at) <= checked_until;
        lost.requests.extract_if(.., is_checked).collect()
    }

    /// Records that the list names another incarnation in the place of one that had not left, and returns the requests
    /// that were lost there lately. A check may have found the new incarnation alive.
    pub fn end_server(&mut self, incarnation: u64) -> Vec<Loss> {
        let lost = self.servers.remove(&incarnation);
        lost.map_or_else(Vec::new, |lost| lost.requests)
    }

    /// Returns the number of servers at which a request with this content was lost and that are not checked yet.
    pub fn count_unchecked(&self, content: &Digest) -> usize {
        let servers = self.servers.values();
        servers
            .filter(|lost| {
                let mut unchecked = lost.unchecked();
                unchecked.any(|loss| !loss.is_answered && loss.fingerprint.content == *content)
            })
            .count()
    }

    fn remove_old(&mut self, now: Duration) {
        self.servers.retain(|_, lost| {
            lost.requests.retain(|loss| now < loss.lost_at + MAX_AGE);
            !lost.requests.is_empty() || lost.check_started_at.is_some()
        });
    }
}
