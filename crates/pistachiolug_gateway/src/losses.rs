//! Requests that were lost at backend servers, until it is known whether the server crashed.
//!
//! A broken connection alone does not tell a crash from a lost answer, a reset or a cut. A server that has crashed refuses
//! new connections, or another incarnation is listed in its place.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use pistachiolug_wire::digest::Digest;
use rustc_hash::FxHashMap;

use crate::server::Record;

/// Time after a loss in which the server list may still show that the server has crashed.
const MAX_AGE: Duration = Duration::from_secs(5);

/// Largest number of servers with lost requests that are kept.
const MAX_SERVERS: usize = 256;

/// Largest number of lost requests that are kept per server; more than one server runs at once.
const MAX_CONTENTS: usize = 64;

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

/// Lost requests by the incarnation of the server; times are those of the process's clock.
#[derive(Debug, Default)]
pub struct Losses {
    servers: FxHashMap<u64, Lost>,
}

#[derive(Debug)]
struct Lost {
    server: Arc<str>,
    address: SocketAddr,
    /// Contents of the lost requests, each once, with the times of the losses.
    contents: Vec<(Digest, Duration)>,
    /// When the check that is running was started.
    check_started_at: Option<Duration>,
    /// Losses up to this time were checked; `None` before the first check.
    checked_until: Option<Duration>,
}

impl Lost {
    /// Returns the contents that were lost after the last check that found the server alive.
    fn unchecked(&self) -> impl Iterator<Item = &Digest> {
        let contents = self.contents.iter();
        let unchecked = contents.filter(|(_, at)| Some(*at) > self.checked_until);
        unchecked.map(|(content, _)| content)
    }
}

impl Losses {
    /// Records that a request with this content was lost at a server. A server that is leaving ends as planned, which
    /// says nothing about its requests.
    pub fn record(&mut self, record: &Record, content: Digest, now: Duration) {
        self.remove_old(now);
        let incarnation = record.incarnation();
        let is_known = self.servers.contains_key(&incarnation);
        if record.leaving || (!is_known && self.servers.len() >= MAX_SERVERS) {
            return;
        }
        let lost = self.servers.entry(incarnation).or_insert_with(|| Lost {
            server: Arc::clone(&record.id),
            address: record.address,
            contents: Vec::new(),
            check_started_at: None,
            checked_until: None,
        });
        lost.contents.retain(|(known, _)| *known != content);
        if lost.contents.len() < MAX_CONTENTS {
            lost.contents.push((content, now));
        }
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

    /// Ends a server's check and returns the contents that were running when it crashed. A server that keeps no
    /// connection or can't be reached counts as crashed.
    pub fn finish_check(&mut self, incarnation: u64, verdict: Verdict) -> Vec<Digest> {
        if verdict != Verdict::Accepted {
            let lost = self.servers.remove(&incarnation);
            return lost.map_or_else(Vec::new, |lost| lost.unchecked().copied().collect());
        }
        if let Some(lost) = self.servers.get_mut(&incarnation)
            && let Some(started_at) = lost.check_started_at.take()
        {
            lost.checked_until = Some(started_at);
        }
        Vec::new()
    }

    /// Records that the list names another incarnation in the place of one that had not left, and returns the contents
    /// that were lost there lately. A check may have found the new incarnation alive.
    pub fn end_server(&mut self, incarnation: u64) -> Vec<Digest> {
        let lost = self.servers.remove(&incarnation);
        let contents = lost.into_iter().flat_map(|lost| lost.contents);
        contents.map(|(content, _)| content).collect()
    }

    /// Returns the number of servers at which a request with this content was lost and that are not checked yet.
    pub fn count_unchecked(&self, content: &Digest) -> usize {
        let servers = self.servers.values();
        servers
            .filter(|lost| lost.unchecked().any(|unchecked| unchecked == content))
            .count()
    }

    fn remove_old(&mut self, now: Duration) {
        self.servers.retain(|_, lost| {
            lost.contents.retain(|(_, at)| now < *at + MAX_AGE);
            !lost.contents.is_empty() || lost.check_started_at.is_some()
        });
    }
}
