//! Updates an entry's state from the rows of the key-value service.

use std::{collections::BTreeSet, rc::Rc, sync::Arc, time::Duration};

use pistachiolug_platform::kv;
use pistachiolug_replica::{
    follow::Observer,
    rows::{Change, Rows},
};
use pistachiolug_wire::{
    datagram::{self, AgentDatagram},
    position::Position,
};
use tokio::net::UdpSocket;

use crate::{
    config::Config,
    decoder::{Decoder, Row, Subject},
    headers,
    server::Record,
    state::State,
    versions::Update,
};

/// Updater of an entry's state from changed rows.
#[derive(Debug, Clone)]
pub struct Updater<D> {
    state: Rc<State>,
    /// Socket for datagrams to agents.
    socket: Rc<UdpSocket>,
    decoder: D,
}

/// Origin of changed rows.
#[derive(Debug, Clone, Copy)]
struct Source {
    /// Era of the rows.
    era: u64,
    /// Time after which the changes were made; `None` if they may have been made at any time.
    made_after: Option<Duration>,
    /// Whether these are all rows of a service that has come back from an earlier copy.
    is_restored: bool,
}

impl<D: Decoder> Updater<D> {
    /// Creates an updater that notifies agents through `socket`.
    pub fn new(state: Rc<State>, socket: Rc<UdpSocket>, decoder: D) -> Self {
        Self {
            state,
            socket,
            decoder,
        }
    }

    fn apply_row(&self, entry: &kv::Entry, source: Source) {
        match self.decoder.decode(&entry.key, &entry.value) {
            Row::Config(parts) => self.state.set_config(Config::new(parts)),
            Row::Server(record) if !headers::can_name(&record.id) => {
                log::warn!(key = entry.key.as_str(), revision = entry.revision, address:% = record.address; "server has an id that no request can name");
                self.forget_server(&record.id);
            }
            Row::Server(record) => {
                let position = Position::new(source.era, entry.revision);
                self.put_server(record, position, source.is_restored);
            }
            Row::Version { model, version } => {
                let state = &self.state;
                let update = state.set_target_version(&model, version, source.made_after);
                if update != Update::Unchanged {
                    self.notify_agents(model, version);
                }
            }
            Row::Entry { name, address } => {
                self.state.with_peers(|peers| peers.add(&name, address));
            }
            Row::Evacuation { zone } => self.state.evacuate(&zone),
            Row::Suspect(suspect) => self.state.merge_suspect(&suspect),
            Row::Culprit(culprit) => self.state.merge_saved_culprit(&culprit),
            Row::Other => {}
            Row::Unreadable { reason } => {
                log::warn!(key = entry.key.as_str(), revision = entry.revision, reason = reason.as_str(); "row could not be decoded");
                if let Subject::Server(id) = self.decoder.subject(&entry.key) {
                    self.forget_server(&id);
                }
            }
        }
    }

    /// Takes a server out of use whose row names none any more.
    fn forget_server(&self, id: &str) {
        let now = self.state.now();
        self.state.with_pool(|pool| pool.schedule_removal(id, now));
    }

    /// Merges what another entry, or an agent, has sent of a target version, and notifies the agents if they may not know it. The
    /// datagram arrived after `arrived_after`.
    pub fn merge_target(&self, target: datagram::Target, arrived_after: Duration) {
        let update = self.state.merge_target(&target, arrived_after);
        if update != Update::Unchanged {
            self.notify_agents(target.model, target.version);
        }
    }

    /// Notifies the agents of a target version, because their own watch may have missed it or told them late.
    fn notify_agents(&self, model: String, version: u64) {
        let agents = self.state.agent_addresses(&model);
        let max_age_ms = self.state.target_age_ms(&model, version);
        let named = AgentDatagram::Named {
            model,
            version,
            max_age_ms,
        };
        match datagram::encode(&named) {
            // A lost datagram does no harm: each entry sends one, and agents also watch the service.
            Ok(message) => agents.iter().for_each(|agent| {
                let _ = self.socket.try_send_to(&message, *agent);
            }),
            Err(error) => log::warn!(error:%; "encoding a datagram to agents failed"),
        }
    }

    fn put_server(&self, record: Record, position: Position, is_restored: bool) {
        let is_known = self.state.with_pool(|pool| {
            let server = pool.get(&record.id);
            server.is_some_and(|server| server.record().is_same_listing(&record))
        });
        if !is_known {
            let versions: Vec<u64> = record.models.iter().map(|model| model.version).collect();
            log::info!(
                server = &*record.id,
                service = &*record.service,
                address:% = record.address,
                leaving = record.leaving,
                versions:? = versions,
                era = position.era,
                revision = position.revision;
                "server listed"
            );
        }
        let address = record.address;
        let now = self.state.now();
        let was_cold = self
            .state
            .with_pool(|pool| pool.cold_left(&record.id, now).is_some());
        let previous = self
            .state
            .with_pool(|pool| pool.find_other_incarnation(&record));
        let replaced = self.state.with_pool(|pool| {
            if is_restored {
                if pool.has_ended(&record, now) {
                    log::info!(server = &*record.id, address:%; "ended server is listed by an earlier copy");
                }
                pool.put_restored(record.clone(), position, now)
            } else {
                pool.put(record.clone(), position, now)
            }
        });
        let cold_left = self.state.with_pool(|pool| pool.cold_left(&record.id, now));
        if let Some(cold_left) = cold_left.filter(|_| !was_cold) {
            let cold_ms = cold_left.as_millis() as u64;
            log::info!(server = &*record.id, service = &*record.service, cold_ms; "server is cold");
        }
        // An earlier copy of the list is no evidence that a server has ended.
        if !is_restored
            && let Some(previous) = previous.filter(|previous| !previous.leaving)
            && replaced.as_ref() != Some(&record.id)
        {
            self.state.record_server_end(&previous);
        }
        if let Some(server) = replaced {
            let by = self.state.with_pool(|pool| pool.server_at(address));
            let by = by.as_ref().map_or("none", |by| &*by.id);
            log::info!(server = &*server, address:%, by, revision = position.revision; "server not in use, another has its address");
        }
    }

    fn have_own_row(&self, changes: &[Change]) -> bool {
        let own = Subject::Entry(self.state.options.name.clone());
        let mut changes = changes.iter();
        changes.any(|change| match change {
            Change::Put(entry) => self.decoder.subject(&entry.key) == own,
            Change::Removed { .. } => false,
        })
    }

    /// Schedules the removal of servers whose rows are gone.
    fn schedule_removals(&self, ids: &BTreeSet<String>) {
        let now = self.state.now();
        let until = self
            .state
            .with_reachability(|store| store.usable_until(now));
        for id in ids {
            let service = self.state.with_pool(|pool| {
                let server = pool.get(id)?;
                Some(Arc::clone(&server.record().service))
            });
            let Some(service) = service else {
                // It was listed but not in use: another one has its address, or an earlier copy of the list named it.
                self.forget_server(id);
                continue;
            };
            let kept_ms = until.saturating_sub(now).as_millis() as u64;
            log::info!(server = id.as_str(), service = &*service, kept_ms; "server no longer in the list");
            self.state
                .with_pool(|pool| pool.schedule_removal(id, until));
        }
    }
}

impl<D: Decoder> Observer for Updater<D> {
    fn with_rows<T>(&self, act: impl FnOnce(&mut Rows) -> T) -> T {
        self.state.with_rows(act)
    }

    fn on_changes(&self, changes: Vec<Change>, made_after: Option<Duration>) {
        self.state.record_rows(self.have_own_row(&changes));
        let era = self.state.with_rows(|rows| rows.position().era);
        let source = Source {
            era,
            made_after,
            is_restored: self.state.record_era(era),
        };
        let has_changes = !changes.is_empty();
        let mut removed = BTreeSet::new();
        for change in changes {
            match change {
                Change::Put(entry) => {
                    if let Subject::Server(id) = self.decoder.subject(&entry.key)
                        && removed.remove(&id)
                    {
                        log::info!(server = id.as_str(), revision = entry.revision; "server removed and listed again by the same changes");
                    }
                    self.apply_row(&entry, source);
                }
                Change::Removed { key } => match self.decoder.subject(&key) {
                    Subject::Server(id) => {
                        removed.insert(id);
                    }
                    // Entries that are missing from an earlier copy write their rows again.
                    Subject::Entry(_) if source.is_restored => {}
                    Subject::Entry(name) => {
                        let now = self.state.now();
                        self.state.with_peers(|peers| peers.remove(&name, now));
                    }
                    Subject::Evacuation(zone) => {
                        self.state.cancel_evacuation(&zone, source.is_restored);
                    }
                    Subject::Culprit(part) => self.state.forget_saved_culprit(part),
                    Subject::Other => {}
                },
            }
        }
        self.schedule_removals(&removed);
        if has_changes {
            let now = self.state.now();
            self.state
                .with_reachability(|store| store.record_changes(now));
        }
        self.state.refresh();
    }

    fn now(&self) -> Duration {
        self.state.now()
    }

    fn is_active(&self) -> bool {
        self.state.is_active()
    }

    fn on_contact(&self, result: Result<(), &kv::Error>) {
        let now = self.state.now();
        match result {
            Ok(()) => self
                .state
                .with_reachability(|store| store.record_success(now)),
            Err(error) => self
                .state
                .with_reachability(|store| store.record_failure(error, now)),
        }
    }
}
