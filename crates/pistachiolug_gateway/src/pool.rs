//! What an entry believes of each backend server: the list's record, open work, failures and pace.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use pistachiolug_wire::datagram::{Change, Notice, Work};
use rand::Rng;
use rustc_hash::{FxHashMap, FxHasher};

use crate::{
    config::Engine,
    selection::{self, Candidate, Distance, UpcomingLoad},
    server::{Model, Record, Version},
};

/// First time for which a server that could not be reached is passed over.
const AVOID: Duration = Duration::from_millis(400);

/// Longest such time; servers come back after seconds.
const AVOID_MOST: Duration = Duration::from_secs(3);

/// Time for which a server that refused for want of room is passed over.
const FULL_PAUSE: Duration = Duration::from_millis(80);

/// Time for which a server that turned out to be another, or to hold another version, is passed over: the list or its
/// agent says so within that time.
const MISTAKEN_PAUSE: Duration = Duration::from_millis(500);

/// Weight of one answer in the share of failures.
const FAILURE_WEIGHT: f64 = 0.15;

/// Weight of one first event in a server's pace.
const PACE_WEIGHT: f64 = 0.2;

/// Bounds of a server's pace.
const PACE_RANGE: (f64, f64) = (1.0, 20.0);

/// Milliseconds of a call at a plain service, for comparing loads only.
const PLAIN_CALL_MS: f64 = 15.0;

/// Places of an engine that are left for requests that other entries have sent since their last beacons: one too many
/// waits at the engine, where none more urgent can pass it.
const UNSEEN_CALLS: u32 = 1;

/// Time after an engine has come up, or has loaded, in which each entry sends it its own share only: all entries see it
/// empty at the same moment, and hear of each other's requests within this time.
const FILL_TIME: Duration = Duration::from_millis(300);

/// Requests per slot that a plain server may have open; it queues a few times its slots.
const PLAIN_CALLS_PER_SLOT: u32 = 3;

/// Backend servers by id.
#[derive(Debug, Default)]
pub struct Pool {
    servers: FxHashMap<Arc<str>, Server>,
    /// Ids by service, each server once.
    services: FxHashMap<Arc<str>, Vec<Arc<str>>>,
    /// Other entries.
    peers: u32,
}

/// One incarnation of a backend server.
#[derive(Debug)]
pub struct Server {
    record: Record,
    /// Work of this entry.
    own: Work,
    /// Work of the other entries, by their last beacons.
    others: Work,
    strikes: u32,
    avoid_until: Duration,
    failures: f64,
    pace: f64,
    /// Whether its agent has told of a version.
    told: bool,
    /// When it is dropped, once the list does not name it any more.
    gone_at: Option<Duration>,
    /// Revision of its row.
    revision: u64,
    /// When it came up, or when the models that it holds changed last.
    opened: Duration,
}

/// What a request needs of its server.
#[derive(Debug, Clone, Default)]
pub struct Requirements {
    /// Service.
    pub service: Arc<str>,
    /// Model, for requests to engines.
    pub model: Option<Arc<str>>,
    /// Oldest version that may begin it, if there is a bound.
    pub min_version: Option<Version>,
    /// Newest version, which is preferred: its engines need not load soon.
    pub target_version: Option<Version>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Servers that had the request already.
    pub tried: Vec<Arc<str>>,
    /// Whether it can't be on time any more; such requests are counted apart.
    pub is_late: bool,
    /// Server at which this entry has just freed a place, which it may fill up to the last one.
    pub freed_server: Option<Arc<str>>,
}

/// Place of the choosing entry.
#[derive(Debug, Clone)]
pub struct Location {
    /// Availability zone.
    pub zone: Arc<str>,
    /// Regions by availability zone.
    pub regions: FxHashMap<String, String>,
}

impl Location {
    fn distance(&self, zone: &str) -> Distance {
        if *self.zone == *zone {
            return Distance::SameZone;
        }
        match (self.regions.get(&*self.zone), self.regions.get(zone)) {
            (Some(own), Some(other)) if own == other => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }
}

/// Chosen server.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Server's record.
    pub record: Record,
    /// Expected milliseconds until it begins to answer.
    pub expected_wait_ms: f64,
    /// Open requests there, before this one.
    pub calls: u32,
}

impl Server {
    /// Takes a newer record; a version that the agent has told of is not taken back by a list that lags.
    fn take(&mut self, record: Record, now: Duration) {
        let before = std::mem::replace(&mut self.record, record);
        for model in &before.models {
            let listed = self.record.version(&model.name);
            if self.told && listed.is_none_or(|listed| listed < model.version) {
                self.record.set_model(model.clone());
            }
        }
        if self.record.models != before.models {
            self.opened = now;
        }
    }

    /// Returns the list's record.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Returns this entry's work there.
    pub fn own_work(&self) -> Work {
        self.own
    }

    fn calls(&self) -> u32 {
        self.own.calls + self.others.calls
    }

    fn usable(&self, requirements: &Requirements, now: Duration) -> bool {
        let holds = match &requirements.model {
            None => true,
            Some(model) => {
                let held = self.record.version(model);
                held.is_some_and(|held| {
                    requirements.min_version.is_none_or(|oldest| held >= oldest)
                })
            }
        };
        holds
            && !self.record.leaving
            && self.avoid_until <= now
            && !requirements.tried.contains(&self.record.id)
    }

    fn upcoming_load(&self, requirements: &Requirements) -> UpcomingLoad {
        let held = requirements
            .model
            .as_ref()
            .and_then(|model| self.record.version(model));
        if requirements
            .target_version
            .is_none_or(|newest| held == Some(newest))
        {
            UpcomingLoad::NotNeeded
        } else if requirements.tried.is_empty() {
            UpcomingLoad::BreaksOnce
        } else {
            UpcomingLoad::BreaksTwice
        }
    }

    /// Tells whether a request may be sent; `peers` is the number of other entries.
    fn has_room(
        &self,
        requirements: &Requirements,
        engine: Option<&Engine>,
        peers: u32,
        now: Duration,
    ) -> bool {
        let Some(engine) = engine else {
            return self.calls() < self.record.slots.max(1) * PLAIN_CALLS_PER_SLOT;
        };
        let share = engine.slots.div_ceil(peers + 1);
        if now < self.opened + FILL_TIME && self.own.calls >= share {
            return false;
        }
        let freed = requirements.freed_server.as_ref() == Some(&self.record.id);
        let reserve = if freed { 0 } else { UNSEEN_CALLS };
        self.calls() + reserve < engine.slots
    }

    fn expected_wait_ms(&self, prompt: u32, engine: Option<&Engine>) -> f64 {
        let Some(engine) = engine else {
            return f64::from(self.calls()) / f64::from(self.record.slots.max(1)) * PLAIN_CALL_MS;
        };
        let unread = f64::from(self.own.prompt + self.others.prompt + prompt);
        let step = engine.step_ms + engine.step_ms_per_call * f64::from(self.calls());
        (unread / engine.prompt_tokens_per_ms + step * engine.stride) * self.pace
    }
}

impl Pool {
    /// Takes a record of the list; a new start under a known id is a new server.
    ///
    /// The latest row of an address is that of the server which has it now: the rows of servers that have ended lapse
    /// only later. Returns the server that has lost the address, which is the recorded one if its row is the older.
    ///
    /// # Arguments
    /// `revision` is that of the record's row.
    pub fn put(&mut self, record: Record, revision: u64, now: Duration) -> Option<Arc<str>> {
        if let Some(server) = self.servers.get_mut(&record.id) {
            let same = server.record.started == record.started
                && server.record.service == record.service
                && server.record.address == record.address;
            if same {
                server.take(record, now);
                server.gone_at = None;
                server.revision = revision;
                return None;
            }
            self.drop_server(&record.id.clone());
        }
        let before = self.at(record.address);
        if before.is_some_and(|before| before.revision > revision) {
            return Some(record.id);
        }
        let before = before.map(|before| Arc::clone(&before.record.id));
        if let Some(before) = &before {
            self.drop_server(before);
        }
        let ids = self.services.entry(Arc::clone(&record.service));
        ids.or_default().push(Arc::clone(&record.id));
        self.servers.insert(
            Arc::clone(&record.id),
            Server {
                record,
                own: Work::default(),
                others: Work::default(),
                strikes: 0,
                avoid_until: Duration::ZERO,
                failures: 0.0,
                pace: PACE_RANGE.0,
                told: false,
                gone_at: None,
                revision,
                opened: now,
            },
        );
        before
    }

    fn at(&self, address: SocketAddr) -> Option<&Server> {
        let mut servers = self.servers.values();
        servers.find(|server| server.record.address == address)
    }

    /// Notes that the list does not name a server any more; it is used until `at`.
    pub fn schedule_removal(&mut self, id: &str, at: Duration) {
        if let Some(server) = self.servers.get_mut(id) {
            server.gone_at.get_or_insert(at);
        }
    }

    /// Drops servers whose time after their removal is over and returns their ids.
    pub fn remove_expired(&mut self, now: Duration) -> Vec<Arc<str>> {
        let servers = self.servers.values();
        let due = servers.filter(|server| server.gone_at.is_some_and(|at| at <= now));
        let ids: Vec<Arc<str>> = due.map(|server| Arc::clone(&server.record.id)).collect();
        for id in &ids {
            self.drop_server(id);
        }
        ids
    }

    fn drop_server(&mut self, id: &Arc<str>) {
        if let Some(server) = self.servers.remove(id)
            && let Some(ids) = self.services.get_mut(&server.record.service)
        {
            ids.retain(|known| known != id);
        }
    }

    /// Takes what an agent says of its server; `false` if the server is not known.
    pub fn apply_notice(&mut self, notice: &Notice, now: Duration) -> bool {
        let servers = self.servers.values_mut();
        let mut servers = servers.filter(|server| server.gone_at.is_none());
        let server = servers.find(|server| {
            server.record.address == notice.server && server.record.started == notice.started
        });
        let Some(server) = server else {
            return false;
        };
        match notice.change {
            Change::Loading { for_ms } => {
                server.avoid_until = now + Duration::from_millis(for_ms.into());
            }
            Change::Holds { version } => {
                server.told = true;
                server.avoid_until = now;
                server.opened = now;
                let name = Arc::from(notice.model.as_str());
                server.record.set_model(Model { name, version });
            }
        }
        true
    }

    /// Finds a server.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns all servers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns the number of servers of a service that the list names.
    pub fn count_listed(&self, service: &str) -> usize {
        let ids = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let listed = ids.iter().filter(|id| self.servers[*id].gone_at.is_none());
        listed.count()
    }

    /// Chooses the server for a request; `None` if none has room.
    pub fn choose(
        &self,
        requirements: &Requirements,
        engine: Option<&Engine>,
        location: &Location,
        now: Duration,
        random: &mut impl Rng,
    ) -> Option<Choice> {
        let ids = self.services.get(&requirements.service)?;
        let servers = ids.iter().map(|id| &self.servers[id]);
        let able: Vec<&Server> = servers
            .filter(|server| {
                server.usable(requirements, now)
                    && server.has_room(requirements, engine, self.peers, now)
            })
            .collect();
        let candidates: Vec<Candidate> = able
            .iter()
            .map(|server| Candidate {
                expected_wait_ms: server.expected_wait_ms(requirements.prompt_tokens, engine),
                failure_rate: server.failures,
                upcoming_load: server.upcoming_load(requirements),
                distance: location.distance(&server.record.zone),
            })
            .collect();
        let index = selection::choose(&candidates, random)?;
        Some(Choice {
            record: able[index].record.clone(),
            expected_wait_ms: candidates[index].expected_wait_ms,
            calls: able[index].calls(),
        })
    }

    /// Tells whether any server could take such requests if it had room.
    pub fn can_serve(&self, requirements: &Requirements, now: Duration) -> bool {
        let ids = self.services.get(&requirements.service);
        let mut ids = ids.into_iter().flatten();
        ids.any(|id| self.servers[id].usable(requirements, now))
    }

    /// Counts a request that is sent to a server.
    pub fn start_request(&mut self, id: &str, prompt: u32) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own.calls += 1;
            server.own.prompt += prompt;
        }
    }

    /// Takes back the prompt of a request whose first event has come.
    pub fn finish_prompt(&mut self, id: &str, prompt: u32) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own.prompt = server.own.prompt.saturating_sub(prompt);
        }
    }

    /// Compares the time to a first event with what was expected.
    pub fn update_slowdown(&mut self, id: &str, expected_ms: f64, taken_ms: f64) {
        if let Some(server) = self.servers.get_mut(id) {
            // What was expected contains the pace that was believed then.
            let sample = taken_ms / expected_ms.max(1.0) * server.pace;
            server.pace += PACE_WEIGHT * (sample - server.pace);
            server.pace = server.pace.clamp(PACE_RANGE.0, PACE_RANGE.1);
        }
    }

    /// Takes back a request; `prompt` is what [`Board::read`] has not taken back.
    pub fn end_request(&mut self, id: &str, prompt: u32) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own.calls = server.own.calls.saturating_sub(1);
            server.own.prompt = server.own.prompt.saturating_sub(prompt);
        }
    }

    /// Notes a server that could not be reached or broke off.
    pub fn record_failure(&mut self, id: &str, now: Duration) {
        if let Some(server) = self.servers.get_mut(id) {
            let pause = AVOID * 2_u32.pow(server.strikes.min(4));
            server.strikes += 1;
            server.avoid_until = now + pause.min(AVOID_MOST);
        }
    }

    /// Notes a server that had no room.
    pub fn record_full(&mut self, id: &str, now: Duration) {
        self.pass_over(id, now + FULL_PAUSE);
    }

    /// Notes a server that is not what it is believed to be.
    pub fn record_mismatch(&mut self, id: &str, now: Duration) {
        self.pass_over(id, now + MISTAKEN_PAUSE);
    }

    fn pass_over(&mut self, id: &str, until: Duration) {
        if let Some(server) = self.servers.get_mut(id) {
            server.avoid_until = server.avoid_until.max(until);
        }
    }

    /// Notes how a server answered.
    pub fn record_answer(&mut self, id: &str, well: bool) {
        if let Some(server) = self.servers.get_mut(id) {
            let sample = f64::from(u8::from(!well));
            server.failures += FAILURE_WEIGHT * (sample - server.failures);
            if well {
                server.strikes = 0;
            }
        }
    }

    /// Replaces what is known of the other entries, of which there are `peers`, and of their work.
    pub fn set_peer_work(&mut self, peers: u32, work: &FxHashMap<u32, Work>) {
        self.peers = peers;
        for server in self.servers.values_mut() {
            let others = work.get(&short(&server.record.id));
            server.others = others.copied().unwrap_or_default();
        }
    }

    /// Returns this entry's work by short hash of the server's id.
    pub fn own_work(&self) -> Vec<(u32, Work)> {
        let busy = self.servers.values().filter(|server| server.own.calls > 0);
        busy.map(|server| (short(&server.record.id), server.own))
            .collect()
    }
}

/// Hashes an id for beacons; a collision only blurs a load.
fn short(id: &str) -> u32 {
    use std::hash::Hasher;
    let mut hasher = FxHasher::default();
    hasher.write(id.as_bytes());
    hasher.finish() as u32
}
