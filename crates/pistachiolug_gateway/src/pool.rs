//! Backend servers of an entry: listed records, open requests, failures and speed.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use pistachiolug_wire::datagram::Work;
use rand::Rng;
use rustc_hash::{FxHashMap, FxHashSet};

use crate::{
    config::Engine,
    placement::Zones,
    prefix_cache::{Evidence, Prompt},
    reservation::{Claim, KEPT_TIME, Reserve},
    selection::{self, Candidate},
    server::{Record, Version, hash_id},
    statement::Statement,
};

mod addresses;
mod candidates;
mod limits;
mod listing;
mod paces;
mod prefixes;
mod quota;
mod server;
mod statements;

pub use crate::selection::Location;
pub use candidates::{Exclusion, Explanation};
pub use limits::Demand;
pub use server::Server;

use addresses::Displaced;
use listing::{Ended, Unconfirmed};
use server::SLOWDOWN_RANGE;

/// Time for which a server is not chosen after one failure; doubles with each further failure in a row.
const FAILURE_BACKOFF: Duration = Duration::from_millis(400);

/// Upper bound of the failure backoff; failed servers are usually back within seconds.
const MAX_FAILURE_BACKOFF: Duration = Duration::from_secs(3);

/// Time for which a server is not chosen after it refused a request because it was full.
const FULL_BACKOFF: Duration = Duration::from_millis(80);

/// Time for which a server is not chosen after it turned out to be another server or to hold another version. The
/// server list or the server's agent corrects the entry's record within that time.
const MISMATCH_BACKOFF: Duration = Duration::from_millis(500);

/// Weight of the newest answer in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;

/// Weight of the newest first event in the moving average of the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.2;

/// Backend servers by id.
#[derive(Debug, Default)]
pub struct Pool {
    servers: FxHashMap<Arc<str>, Server>,
    /// Server ids by service, without duplicates.
    services: FxHashMap<Arc<str>, Vec<Arc<str>>>,
    /// Names of the services that the configuration has; `None` before the first configuration, when all count as named.
    configured_services: Option<FxHashSet<Arc<str>>>,
    /// Listed servers by id that are not used, because others have their addresses. None of them is in `servers`, and each
    /// has an address of which a server is in use.
    displaced: FxHashMap<Arc<str>, Displaced>,
    /// Number of other entries.
    peer_count: u32,
    /// Incarnations that ended, oldest first; at most [`MAX_ENDED`].
    ended: VecDeque<Ended>,
    /// Servers by id that ended and are listed again by an earlier copy of the list.
    unconfirmed: FxHashMap<Arc<str>, Unconfirmed>,
    sharing: quota::Sharing,
    /// What is known of prompt prefixes at the servers of a service, by service; only of those with such prompts.
    evidence: FxHashMap<Arc<str>, Evidence>,
}

/// Conditions that a server has to meet to get a request.
#[derive(Debug, Clone, Default)]
pub struct Requirements {
    /// Name of the service.
    pub service: Arc<str>,
    /// Model; `None` for requests to plain services.
    pub model: Option<Arc<str>>,
    /// Oldest version of the model that may begin the request; `None` if any version may.
    pub min_version: Option<Version>,
    /// The same for servers behind congested links.
    pub min_version_behind_congestion: Option<Version>,
    /// Version that the model's servers should hold. Servers that hold it are preferred because they need not load
    /// soon.
    pub target_version: Option<Version>,
    /// Tokens of the prompt; 0 if the caller does not state them.
    pub prompt_tokens: u32,
    /// Ids of the servers that were already sent the request.
    pub tried: Vec<Arc<str>>,
    /// Whether the request is a caller's retry, which can't be answered on time any more. Such requests don't count in
    /// the rate of first attempts.
    pub is_late: bool,
    /// Priority of the request; 0 is served first.
    pub priority: u8,
    /// Workspace of the caller; `None` on routes without keys.
    pub workspace: Option<Arc<str>>,
    /// Slots of engines that the request leaves to others.
    pub reserve: Reserve,
    /// Whether a server has or had the request, so that it leaves no slots to others.
    pub is_exempt: bool,
    /// Availability zones whose servers may get the request.
    pub zones: Zones,
    /// Server at which this entry has just freed a slot. At this server the request may also use the reserved slots.
    pub freed_server: Option<Arc<str>>,
    /// Prompt, for servers that may hold a prefix of it; empty if that is not considered.
    pub prompt: Prompt,
}

impl Requirements {
    /// Returns what the request competes for slots with.
    pub fn claim(&self) -> Claim<'_> {
        Claim {
            priority: self.priority,
            is_late: self.is_late,
            workspace: self.workspace.as_deref(),
        }
    }
}

/// Server that was chosen for a request.
#[derive(Debug, Clone)]
pub struct Choice {
    /// Record of the server at the time of the choice.
    pub record: Record,
    /// Expected milliseconds until the server begins to answer.
    pub expected_wait_ms: f64,
    /// Open requests at the server, without this one.
    pub calls: u32,
    /// How much slower than usual the server worked at the time of the choice, at least 1.0.
    pub pace: f64,
    /// Time of the choice.
    pub chosen_at: Duration,
    /// Time before which the request has to be sent, if a token or a grant of a limited server was used for it.
    pub send_before: Option<Duration>,
}

impl Pool {
    /// Returns the server with an id; `None` if it is unknown.
    pub fn get(&self, id: &str) -> Option<&Server> {
        self.servers.get(id)
    }

    /// Returns all servers, including those that wait for their removal.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// Returns the number of servers of a service that are in the server list.
    pub fn count_listed(&self, service: &str) -> usize {
        let ids = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let listed = ids
            .iter()
            .filter(|id| self.servers[*id].remove_at.is_none());
        listed.count()
    }

    /// Chooses the server for a request; returns `None` if no usable server has a free slot.
    pub fn choose(
        &self,
        requirements: &Requirements,
        engine: Option<&Engine>,
        location: &Location,
        now: Duration,
        random: &mut impl Rng,
    ) -> Option<Choice> {
        let (usable, candidates) = self.candidates(requirements, engine, location, now, random);
        let index = selection::choose(&candidates, random)?;
        Some(Choice {
            record: usable[index].record.clone(),
            expected_wait_ms: candidates[index].expected_wait_ms,
            calls: usable[index].open_calls(),
            pace: usable[index].pace(now),
            chosen_at: now,
            send_before: None,
        })
    }

    /// Returns whether any server could take the request if it had a free slot.
    pub fn can_serve(&self, requirements: &Requirements, now: Duration) -> bool {
        let ids = self.services.get(&requirements.service);
        let mut ids = ids.into_iter().flatten();
        ids.any(|id| self.servers[id].is_usable(requirements, now))
    }

    /// Returns whether the list names a server of the service in the zones that the request may use.
    pub fn is_placeable(&self, requirements: &Requirements) -> bool {
        let ids = self.services.get(&requirements.service);
        let mut servers = ids.into_iter().flatten().map(|id| &self.servers[id]);
        servers
            .any(|server| !server.is_leaving() && requirements.zones.contains(&server.record.zone))
    }

    /// Returns whether a request may still be sent to the server that was chosen for it, whatever the server's limit is.
    pub fn may_send(&self, record: &Record, now: Duration) -> bool {
        let statement = self.statement(record);
        statement
            .is_none_or(|statement| !statement.is_draining && !statement.backoff.is_active(now))
    }

    fn statement(&self, record: &Record) -> Option<&Statement> {
        let server = self.servers.get(&record.id);
        if let Some(server) = server.filter(|server| server.is_incarnation(record)) {
            return Some(&server.statement);
        }
        let incarnation = record.incarnation();
        let mut ended = self.ended.iter();
        let ended = ended.find(|ended| ended.incarnation == incarnation);
        ended.map(|ended| &ended.statement)
    }

    fn statement_mut(&mut self, record: &Record) -> Option<&mut Statement> {
        let server = self.servers.get_mut(&record.id);
        if let Some(server) = server.filter(|server| server.is_incarnation(record)) {
            return Some(&mut server.statement);
        }
        let incarnation = record.incarnation();
        let mut ended = self.ended.iter_mut();
        let ended = ended.find(|ended| ended.incarnation == incarnation);
        ended.map(|ended| &mut ended.statement)
    }

    /// Records that a request was assigned to a server.
    pub fn record_assignment(&mut self, choice: &Choice) {
        if let Some(server) = self.servers.get_mut(&choice.record.id) {
            let backoff = &mut server.statement.backoff;
            backoff.record_assignment(choice.chosen_at);
            server.contact.record_request(choice.chosen_at);
        }
    }

    /// Records that data has arrived from a server.
    pub fn record_data(&mut self, id: &str) {
        if let Some(server) = self.servers.get_mut(id) {
            server.contact.record_data();
        }
    }

    /// Records how long opening a connection to a server took.
    pub fn record_connect(&mut self, id: &str, connect_time: Duration, now: Duration) {
        if let Some(server) = self.servers.get_mut(id) {
            server.link.record_connect(connect_time, now);
        }
    }

    /// Returns whether requests to a server may wait on its link.
    pub fn is_link_congested(&self, id: &str, now: Duration) -> bool {
        let server = self.servers.get(id);
        server.is_some_and(|server| server.link.is_congested(now))
    }

    /// Records that a server answered a request; after a backoff it gets more than one at a time again.
    pub fn record_reopening(&mut self, choice: &Choice) {
        let server = self.servers.get_mut(&choice.record.id);
        if let Some(server) = server.filter(|server| server.is_incarnation(&choice.record)) {
            server.statement.backoff.record_answer(choice.chosen_at);
        }
    }

    /// Counts a request as open at a server.
    pub fn start_request(&mut self, id: &str, prompt_tokens: u32) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own_work.calls += 1;
            server.kept_until = Duration::ZERO;
            server.own_work.prompt = server.own_work.prompt.saturating_add(prompt_tokens);
            server.pace.record_unread(server.unread());
        }
    }

    /// Keeps a slot that this entry has freed at a server for its more urgent requests.
    pub fn keep_freed(&mut self, id: &str, now: Duration) {
        if let Some(server) = self.servers.get_mut(id) {
            server.kept_until = now + KEPT_TIME;
        }
    }

    /// Subtracts the prompt of a request whose first event has arrived from the server's unread tokens.
    pub fn finish_prompt(&mut self, id: &str, prompt_tokens: u32) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own_work.prompt = server.own_work.prompt.saturating_sub(prompt_tokens);
        }
    }

    /// Updates a server's slowdown from the expected and the actual time to a first event.
    pub fn update_slowdown(&mut self, id: &str, expected_ms: f64, taken_ms: f64) {
        if let Some(server) = self.servers.get_mut(id) {
            // The expectation already contains the slowdown that was assumed then.
            let sample = taken_ms / expected_ms.max(1.0) * server.slowdown;
            server.slowdown += SLOWDOWN_WEIGHT * (sample - server.slowdown);
            server.slowdown = server.slowdown.clamp(SLOWDOWN_RANGE.0, SLOWDOWN_RANGE.1);
        }
    }

    /// Counts a request as ended; `prompt_tokens` are those not yet subtracted by [`Pool::finish_prompt`].
    pub fn end_request(&mut self, id: &str, prompt_tokens: u32) {
        if let Some(server) = self.servers.get_mut(id) {
            server.own_work.calls = server.own_work.calls.saturating_sub(1);
            server.own_work.prompt = server.own_work.prompt.saturating_sub(prompt_tokens);
        }
    }

    /// Records that a server could not be reached or gave no complete answer; it is not chosen for a time that doubles
    /// with each failure in a row, up to a maximum.
    pub fn record_failure(&mut self, id: &str, now: Duration) {
        if let Some(server) = self.servers.get_mut(id) {
            let backoff = FAILURE_BACKOFF * 2_u32.pow(server.consecutive_failures.min(4));
            server.consecutive_failures += 1;
            server.avoid_until = now + backoff.min(MAX_FAILURE_BACKOFF);
        }
    }

    /// Records that a server refused a request because it was full.
    pub fn record_full(&mut self, id: &str, now: Duration) {
        self.avoid(id, now + FULL_BACKOFF);
    }

    /// Records that a server is not the one, or does not hold the version, that its record says.
    pub fn record_mismatch(&mut self, id: &str, now: Duration) {
        self.avoid(id, now + MISMATCH_BACKOFF);
        self.refute(id, now);
    }

    fn avoid(&mut self, id: &str, until: Duration) {
        if let Some(server) = self.servers.get_mut(id) {
            server.avoid_until = server.avoid_until.max(until);
        }
    }

    /// Updates a server's failure rate with one answer; a success also resets the failure backoff.
    pub fn record_answer(&mut self, id: &str, is_success: bool) {
        if let Some(server) = self.servers.get_mut(id) {
            let sample = f64::from(u8::from(!is_success));
            server.failure_rate += FAILURE_WEIGHT * (sample - server.failure_rate);
            if is_success {
                server.consecutive_failures = 0;
                server.has_answered = true;
            }
        }
    }

    /// Replaces the number of other entries and their open requests by hashed server id.
    pub fn set_peer_work(&mut self, peer_count: u32, work: &FxHashMap<u32, Work>) {
        self.peer_count = peer_count;
        for server in self.servers.values_mut() {
            let peer_work = work.get(&hash_id(&server.record.id));
            server.peer_work = peer_work.copied().unwrap_or_default();
            server.pace.record_unread(server.unread());
        }
    }

    /// Returns this entry's open requests by hashed server id, without idle servers.
    pub fn own_work(&self) -> Vec<(u32, Work)> {
        let busy = self
            .servers
            .values()
            .filter(|server| server.own_work.calls > 0);
        busy.map(|server| (hash_id(&server.record.id), server.own_work))
            .collect()
    }
}
