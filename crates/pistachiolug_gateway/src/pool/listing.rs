//! Which servers there are: those that are listed, that have ended, and that are listed again by an earlier copy.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use pistachiolug_wire::{
    datagram::{Change, Notice, Work},
    position::Position,
};

use super::{Pool, Server, addresses::Standing, quota::Quota, server::SLOWDOWN_RANGE};
use crate::{
    allowance::Allowance,
    cold::Coldness,
    contact::Contact,
    link::Link,
    pace::Pace,
    prefix_cache::Holdings,
    server::{Model, Record},
    statement::Statement,
};

/// Time for which the end of a server is remembered; a copy of the server list is only some seconds old.
const ENDED_RETENTION: Duration = Duration::from_secs(60);

/// Largest number of ended servers that are remembered.
const MAX_ENDED: usize = 1024;

/// Time after which a server is used that ended and is listed again by an earlier copy of the list. The row of a server
/// that is gone expires within that time, and a live server writes its row again.
const CONFIRMATION_TIME: Duration = Duration::from_secs(10);

/// Incarnation that ended, or that the list no longer names.
#[derive(Debug)]
pub(super) struct Ended {
    pub(super) incarnation: u64,
    pub(super) at: Duration,
    /// Kept for an incarnation that is listed again.
    pub(super) statement: Statement,
    pub(super) coldness: Coldness,
}

/// Server that is not used until its row has been listed for a while.
#[derive(Debug)]
pub(super) struct Unconfirmed {
    pub(super) record: Record,
    pub(super) position: Position,
    /// When the server is used if it is still listed.
    pub(super) use_at: Duration,
}

impl Pool {
    /// Adds or updates a listed server. A server that has restarted under a known id replaces the old one.
    ///
    /// Of several servers with one address one is used, usually the one whose row is the latest: the rows of servers that have
    /// ended expire only later. Returns the id of the server that is not used, which may be the given one; `None` if no
    /// other server has the address.
    ///
    /// # Arguments
    /// `position` is that of the record's row.
    pub fn put(&mut self, record: Record, position: Position, now: Duration) -> Option<Arc<str>> {
        self.unconfirmed.remove(&record.id);
        let mut left_address = None;
        if let Some(server) = self.servers.get_mut(&record.id) {
            let is_same_start = server.record.started_ms == record.started_ms
                && server.record.service == record.service
                && server.record.address == record.address;
            if is_same_start {
                let entry = self.sharing.entry();
                server.change_limits(entry, now, |server| server.update(record, position, now));
                return None;
            }
            left_address = Some(server.record.address);
            self.drop_server(&record.id.clone(), now);
        }
        let unused = self.claim_address(record, position, now);
        if let Some(address) = left_address {
            self.settle(address, now);
        }
        unused
    }

    /// Adds a server to those that are used.
    pub(super) fn insert_server(&mut self, record: Record, position: Position, now: Duration) {
        let incarnation = record.incarnation();
        let known = self
            .ended
            .iter()
            .position(|ended| ended.incarnation == incarnation);
        let known = known.and_then(|index| self.ended.remove(index));
        let coldness = known.as_ref().map(|known| known.coldness);
        let quota = self
            .sharing
            .quota(&record.service, coldness, record.cold_for, now);
        let entry = self.sharing.entry();
        let ids = self.services.entry(Arc::clone(&record.service));
        ids.or_default().push(Arc::clone(&record.id));
        let mut server = Server {
            record,
            own_work: Work::default(),
            peer_work: Work::default(),
            consecutive_failures: 0,
            avoid_until: Duration::ZERO,
            statement: known.map(|known| known.statement).unwrap_or_default(),
            allowance: Allowance::default(),
            quota: Quota::default(),
            contact: Contact::default(),
            link: Link::default(),
            holdings: Holdings::default(),
            failure_rate: 0.0,
            slowdown: SLOWDOWN_RANGE.0,
            pace: Pace::default(),
            peer_pace: 1.0,
            has_notice: false,
            is_loading: false,
            kept_until: Duration::ZERO,
            remove_at: None,
            position,
            models_changed_at: now,
            has_answered: false,
            held_since: now,
            standing: Standing::default(),
        };
        server.begin_limits(entry, quota, now);
        self.servers.insert(Arc::clone(&server.record.id), server);
    }

    /// Returns whether an incarnation is known to have ended.
    pub fn has_ended(&self, record: &Record, now: Duration) -> bool {
        let incarnation = record.incarnation();
        let mut ended = self.ended.iter();
        ended.any(|ended| ended.incarnation == incarnation && now < ended.at + ENDED_RETENTION)
    }

    /// Adds or updates a server from a list that has come back from an earlier copy, so that the record may be older than
    /// the known one.
    ///
    /// Of a known incarnation, what it never takes back is kept: that it leaves, and the newest version of a model. One
    /// that is known to have ended is used only if it stays listed. Returns the same as [`Pool::put`].
    pub fn put_restored(
        &mut self,
        mut record: Record,
        position: Position,
        now: Duration,
    ) -> Option<Arc<str>> {
        let incarnation = record.incarnation();
        if !self.has_ended(&record, now) {
            let known = self.servers.get(&record.id).map(Server::record);
            if let Some(known) = known.filter(|known| known.incarnation() == incarnation) {
                record.leaving |= known.leaving;
                for model in &known.models {
                    if record
                        .version(&model.name)
                        .is_none_or(|listed| listed < model.version)
                    {
                        record.set_model(model.clone());
                    }
                }
            }
            return self.put(record, position, now);
        }
        let id = Arc::clone(&record.id);
        self.displaced.remove(&id);
        let unconfirmed = Unconfirmed {
            record,
            position,
            use_at: now + CONFIRMATION_TIME,
        };
        self.unconfirmed.insert(id, unconfirmed);
        None
    }

    /// Adds the servers that ended but have stayed listed.
    pub fn put_confirmed(&mut self, now: Duration) {
        let due = self
            .unconfirmed
            .extract_if(|_, server| server.use_at <= now);
        let due: Vec<Unconfirmed> = due.map(|(_, server)| server).collect();
        for server in due {
            self.put(server.record, server.position, now);
        }
    }

    /// Returns the record of the server that is used at an address.
    pub fn server_at(&self, address: SocketAddr) -> Option<Record> {
        let server = self.find_by_address(address);
        server.map(|server| server.record.clone())
    }

    pub(super) fn find_by_address(&self, address: SocketAddr) -> Option<&Server> {
        let mut servers = self.servers.values();
        servers.find(|server| server.record.address == address)
    }

    /// Returns the record of the incarnation that another one with the same id or address replaces; `None` if there is
    /// none.
    pub fn find_other_incarnation(&self, record: &Record) -> Option<Record> {
        let by_address = self.find_by_address(record.address);
        let previous = self.servers.get(&record.id).or(by_address)?;
        let is_other = previous.record.incarnation() != record.incarnation();
        is_other.then(|| Record {
            leaving: previous.is_leaving(),
            ..previous.record.clone()
        })
    }

    /// Schedules the removal of a server that the list no longer names; it is used until `at`, unless another one is listed
    /// with its address. An earlier schedule stays.
    pub fn schedule_removal(&mut self, id: &str, at: Duration) {
        self.unconfirmed.remove(id);
        self.displaced.remove(id);
        if let Some(server) = self.servers.get_mut(id) {
            server.remove_at.get_or_insert(at);
        }
    }

    /// Removes the servers whose scheduled time has come and returns their ids. Others that are listed with their addresses are
    /// used again.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<Arc<str>> {
        let servers = self.servers.values();
        let due = servers.filter(|server| server.remove_at.is_some_and(|at| at <= now));
        let ids: Vec<Arc<str>> = due.map(|server| Arc::clone(&server.record.id)).collect();
        for id in &ids {
            self.drop_server(id, now);
        }
        self.settle_all(now);
        ids
    }

    pub(super) fn drop_server(&mut self, id: &Arc<str>, now: Duration) {
        let Some(server) = self.servers.remove(id) else {
            return;
        };
        if self.ended.len() >= MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended.push_back(Ended {
            incarnation: server.record.incarnation(),
            at: now,
            statement: server.statement,
            coldness: server.quota.coldness,
        });
        if let Some(ids) = self.services.get_mut(&server.record.service) {
            ids.retain(|known| known != id);
        }
    }

    /// Lets the servers of a zone get requests again. All entries see them empty at the same moment, so that each uses only its
    /// share of their slots at first, and they count as cold.
    pub fn reopen_zone(&mut self, zone: &str, now: Duration) {
        let entry = self.sharing.entry();
        let servers = self.servers.values_mut();
        for server in servers.filter(|server| *server.record.zone == *zone) {
            server.models_changed_at = now;
            server.change_limits(entry, now, |server| {
                server.quota.coldness.record_reopening(now);
            });
        }
    }

    /// Applies the notice of a server's agent; returns `false` if no listed server has the notice's address and start
    /// time.
    pub fn apply_notice(&mut self, notice: &Notice, now: Duration) -> bool {
        let servers = self.servers.values_mut();
        let mut servers = servers.filter(|server| server.remove_at.is_none());
        let server = servers.find(|server| {
            server.record.address == notice.server && server.record.started_ms == notice.started
        });
        let Some(server) = server else {
            return false;
        };
        match notice.change {
            Change::Loading { for_ms } => {
                server.is_loading = true;
                server.avoid_until = now + Duration::from_millis(for_ms.into());
            }
            Change::Holds { version } => {
                server.has_notice = true;
                server.is_loading = false;
                server.avoid_until = now;
                server.models_changed_at = now;
                let name = Arc::from(notice.model.as_str());
                server.record.set_model(Model { name, version });
            }
        }
        true
    }
}
