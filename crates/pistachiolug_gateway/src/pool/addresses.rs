//! Which server is used of several that are listed with one address.
//!
//! The row of a server that has ended expires only later, when another server may have its address already, and other writers
//! may list servers that don't exist. All of them are kept while they are listed, and one of each address is used. A request
//! names the server that it is for, so that a wrong choice costs an answer with status 421, but runs nothing.

use std::{cmp::Reverse, net::SocketAddr, sync::Arc, time::Duration};

use pistachiolug_wire::position::Position;
use rustc_hash::FxHashSet;

use super::{Pool, Server};
use crate::server::Record;

/// Time after which a server that has answered nothing gives its address to another one whose service has no other server.
const SILENT_TIME: Duration = Duration::from_secs(1);

/// What is known of whether a listed server is the one at its address.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Standing {
    /// Whether the address has turned out to be another server's, while several servers were listed with it.
    is_refuted: bool,
    /// When the server last gave its address to another one; `None` if it never did.
    yielded_at: Option<Duration>,
}

/// Listed server that is not used, because another one with its address is.
#[derive(Debug)]
pub(super) struct Displaced {
    record: Record,
    /// Position of the server's row.
    position: Position,
    /// Time before which the server is not chosen, should it be used again.
    avoid_until: Duration,
    standing: Standing,
}

/// Strength of a server's claim to its address; the strongest one is used.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Claim {
    is_listed: bool,
    /// Whether the configuration names the server's service. A server of no service names none to use.
    is_configured: bool,
    is_unrefuted: bool,
    /// Of servers that have given the address to each other, the one that did so first has its turn.
    yielded_at: Reverse<Option<Duration>>,
    /// Of two rows the later one is that of the successor.
    position: Position,
}

impl Pool {
    /// Replaces the names of the services that the configuration has; servers of other services give way at their addresses.
    pub fn set_services(&mut self, names: impl IntoIterator<Item = Arc<str>>, now: Duration) {
        self.configured_services = Some(names.into_iter().collect());
        self.settle_all(now);
    }

    /// Returns the records of the listed servers that are not used, because others have their addresses.
    pub fn displaced(&self) -> impl Iterator<Item = &Record> {
        self.displaced.values().map(|server| &server.record)
    }

    /// Gives addresses to other servers listed with them whose services have no other server, if those that have them have
    /// answered nothing for a while.
    pub fn settle_silent(&mut self, now: Duration) {
        let displaced = self.displaced.values();
        let unserved = displaced.filter(|server| self.lacks_servers(&server.record.service));
        let unserved = unserved.filter(|server| !server.standing.is_refuted);
        let addresses: FxHashSet<SocketAddr> =
            unserved.map(|server| server.record.address).collect();
        for address in addresses {
            let holder = self.find_by_address(address);
            let silent = holder
                .filter(|server| !server.has_answered && server.held_since + SILENT_TIME <= now);
            if let Some(id) = silent.map(|server| Arc::clone(&server.record.id)) {
                self.yield_address(&id, false, now);
            }
        }
    }

    /// Records that a server turned out not to be the one at its address. A server that has answered there before holds
    /// another version than expected, or has ended; neither makes an earlier row valid.
    pub(super) fn refute(&mut self, id: &str, now: Duration) {
        let server = self.servers.get(id);
        let Some(server) = server.filter(|server| !server.has_answered) else {
            return;
        };
        let address = server.record.address;
        let mut displaced = self.displaced.values();
        if displaced.any(|displaced| displaced.record.address == address) {
            let id = Arc::clone(&server.record.id);
            self.yield_address(&id, true, now);
        }
    }

    fn yield_address(&mut self, id: &str, is_refuted: bool, now: Duration) {
        if let Some(server) = self.servers.get_mut(id) {
            server.standing.is_refuted |= is_refuted;
            server.standing.yielded_at = Some(now);
            let address = server.record.address;
            self.settle(address, now);
        }
    }

    /// Returns whether no listed server of a service is in use.
    fn lacks_servers(&self, service: &str) -> bool {
        let ids = self.services.get(service);
        let mut servers = ids.into_iter().flatten().map(|id| &self.servers[id]);
        !servers.any(|server| server.remove_at.is_none() && !server.is_leaving())
    }

    fn is_configured(&self, service: &str) -> bool {
        let names = self.configured_services.as_ref();
        names.is_none_or(|names| names.contains(service))
    }

    fn claim_of(&self, server: &Server) -> Claim {
        Claim {
            is_listed: server.remove_at.is_none(),
            ..self.claim(&server.record, server.position, server.standing)
        }
    }

    /// Returns the claim of a listed server.
    fn claim(&self, record: &Record, position: Position, standing: Standing) -> Claim {
        Claim {
            is_listed: true,
            is_configured: self.is_configured(&record.service),
            is_unrefuted: !standing.is_refuted,
            yielded_at: Reverse(standing.yielded_at),
            position,
        }
    }

    /// Adds a listed server, or keeps it for later if another one has a stronger claim to its address. Returns the id of the
    /// server that is not used; `None` if no other one has the address.
    pub(super) fn claim_address(
        &mut self,
        record: Record,
        position: Position,
        now: Duration,
    ) -> Option<Arc<str>> {
        let incarnation = record.incarnation();
        let known = self.displaced.remove(&record.id);
        let known = known.filter(|known| {
            known.record.incarnation() == incarnation && known.record.address == record.address
        });
        let (standing, avoid_until) = known
            .map(|known| (known.standing, known.avoid_until))
            .unwrap_or_default();
        let claimant = Displaced {
            record,
            position,
            avoid_until,
            standing,
        };
        let Some(holder) = self.find_by_address(claimant.record.address) else {
            self.use_server(claimant, now);
            return None;
        };
        let claim = self.claim(&claimant.record, position, standing);
        if self.claim_of(holder) > claim {
            let id = Arc::clone(&claimant.record.id);
            self.displaced.insert(Arc::clone(&id), claimant);
            return Some(id);
        }
        let holder = Arc::clone(&holder.record.id);
        self.displace(&holder, now);
        self.use_server(claimant, now);
        Some(holder)
    }

    /// Lets the server with the strongest claim to an address be used.
    pub(super) fn settle(&mut self, address: SocketAddr, now: Duration) {
        let displaced = self.displaced.values();
        let claims = displaced
            .filter(|server| server.record.address == address)
            .map(|server| {
                (
                    self.claim(&server.record, server.position, server.standing),
                    server,
                )
            });
        let Some((claim, best)) = claims.max_by(|(first, _), (second, _)| first.cmp(second)) else {
            return;
        };
        let holder = self.find_by_address(address);
        if holder.is_some_and(|holder| self.claim_of(holder) >= claim) {
            return;
        }
        let id = Arc::clone(&best.record.id);
        let holder = holder.map(|holder| Arc::clone(&holder.record.id));
        if let Some(holder) = &holder {
            self.displace(holder, now);
        }
        let Some(best) = self.displaced.remove(&id) else {
            return;
        };
        log::info!(
            server = &*id,
            service = &*best.record.service,
            address:%,
            instead_of = holder.as_deref().unwrap_or("none"),
            revision = best.position.revision;
            "server used again at its address"
        );
        self.use_server(best, now);
    }

    pub(super) fn settle_all(&mut self, now: Duration) {
        let displaced = self.displaced.values();
        let addresses: FxHashSet<SocketAddr> =
            displaced.map(|server| server.record.address).collect();
        for address in addresses {
            self.settle(address, now);
        }
    }

    /// Takes a server out of use, and keeps it for later if it is still listed.
    fn displace(&mut self, id: &Arc<str>, now: Duration) {
        if let Some(server) = self
            .servers
            .get(id)
            .filter(|server| server.remove_at.is_none())
        {
            let displaced = Displaced {
                record: server.record.clone(),
                position: server.position,
                avoid_until: server.avoid_until,
                standing: server.standing,
            };
            self.displaced.insert(Arc::clone(id), displaced);
        }
        self.drop_server(id, now);
    }

    fn use_server(&mut self, server: Displaced, now: Duration) {
        self.insert_server(server.record.clone(), server.position, now);
        if let Some(used) = self.servers.get_mut(&server.record.id) {
            used.avoid_until = server.avoid_until;
            used.standing = server.standing;
        }
    }
}
