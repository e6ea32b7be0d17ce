//! One backend server: its record, open requests, failures and speed, and whether it may get a request.

use std::time::Duration;

use pistachiolug_wire::{datagram::Work, position::Position};

use super::{Requirements, addresses::Standing, quota::Quota};
use crate::{
    allowance::Allowance,
    config::Engine,
    contact::Contact,
    link::Link,
    pace::Pace,
    prefix_cache::Holdings,
    reservation::Reserve,
    selection::{Candidate, Location, UpcomingLoad},
    server::{Record, hash_id},
    statement::Statement,
};

/// Range of the slowdown factor; 1.0 is the speed that the configuration states.
pub(super) const SLOWDOWN_RANGE: (f64, f64) = (1.0, 20.0);

/// Assumed milliseconds of one request at a plain service; used only to compare loads.
const PLAIN_CALL_MS: f64 = 15.0;

/// Time after an engine has started or loaded a model during which each entry uses only its share of the slots, and of the time
/// to read prompts. All entries see the engine empty at the same moment; within this time they learn of each other's requests.
const RAMP_UP_TIME: Duration = Duration::from_millis(300);

/// Time that an engine may need for the prompts that it has not read, in milliseconds, before it gets another request. What lies
/// there when its machine stands still is lost; at the entry it can go elsewhere.
const MAX_UNREAD_MS: f64 = 250.0;

/// Open requests per slot that a plain server may have; it queues a few times its slots.
const PLAIN_CALLS_PER_SLOT: u32 = 3;

/// One incarnation of a backend server; a restart under the same id is a new server.
#[derive(Debug)]
pub struct Server {
    pub(super) record: Record,
    /// Open requests that this entry has sent.
    pub(super) own_work: Work,
    /// Open requests of the other entries, by their last beacons.
    pub(super) peer_work: Work,
    /// Failures since the last successful answer.
    pub(super) consecutive_failures: u32,
    /// Time before which the server is not chosen.
    pub(super) avoid_until: Duration,
    pub(super) statement: Statement,
    /// Tokens and grants for the server, if it has a limit.
    pub(super) allowance: Allowance,
    pub(super) quota: Quota,
    pub(super) contact: Contact,
    pub(super) link: Link,
    /// Prompt prefixes that the server may hold.
    pub(super) holdings: Holdings,
    /// Moving average of failures among answers, within 0.0..=1.0.
    pub(super) failure_rate: f64,
    /// Factor by which first events arrive later than expected.
    pub(super) slowdown: f64,
    /// Samples of the server's pace by this entry.
    pub(super) pace: Pace,
    /// Largest pace that another entry has reported lately; 1.0 if none has.
    pub(super) peer_pace: f64,
    /// Whether its agent has announced a loaded version.
    pub(super) has_notice: bool,
    /// Whether its agent has announced a load of which no end is known.
    pub(super) is_loading: bool,
    /// Time until which a slot that this entry has freed here, and left to more urgent requests, may be used by them.
    pub(super) kept_until: Duration,
    /// When the server is removed; set once the server list no longer names it.
    pub(super) remove_at: Option<Duration>,
    /// Position of the server's row in the key-value service.
    pub(super) position: Position,
    /// When the server was added, or when the models that it holds last changed.
    pub(super) models_changed_at: Duration,
    /// Whether it has answered a request successfully since it has its address here.
    pub(super) has_answered: bool,
    /// When this entry began to use the server at its address.
    pub(super) held_since: Duration,
    pub(super) standing: Standing,
}

impl Server {
    /// Replaces the record. Keeps a version that the agent has announced if the list still names an older one. A newer
    /// version in the list ends a load, because the agent's notice of its end may have been lost. An earlier write of the
    /// server that is carried out late does not take back that the server leaves.
    pub(super) fn update(&mut self, mut record: Record, position: Position, now: Duration) {
        // Without a start, a lower number may also be that of a new incarnation.
        let is_earlier = record.started_ms != 0 && record.writes < self.record.writes;
        if self.record.leaving && is_earlier {
            record.leaving = true;
            record.writes = self.record.writes;
        }
        if self.position != position {
            let (before, stated) = (self.record.cold_for, record.cold_for);
            self.quota.coldness.record_row(before, stated, now);
        }
        let previous = std::mem::replace(&mut self.record, record);
        self.position = position;
        self.remove_at = None;
        for model in &previous.models {
            let listed = self.record.version(&model.name);
            if self.is_loading && listed > Some(model.version) {
                self.is_loading = false;
                self.avoid_until = now;
            }
            if self.has_notice && listed.is_none_or(|listed| listed < model.version) {
                self.record.set_model(model.clone());
            }
        }
        if self.record.models != previous.models {
            self.models_changed_at = now;
        }
    }

    /// Returns the listed record, with the versions that the server's agent has announced since.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Returns the time for which the server wants no requests; `None` if it may get some.
    pub fn backoff_left(&self, now: Duration) -> Option<Duration> {
        self.statement.backoff.time_left(now)
    }

    /// Returns whether the server is draining, as the list or its own answers say.
    pub fn is_leaving(&self) -> bool {
        self.record.leaving || self.statement.is_draining
    }

    pub(super) fn is_incarnation(&self, record: &Record) -> bool {
        self.record.id == record.id && self.record.started_ms == record.started_ms
    }

    /// Returns the open requests that this entry has sent to the server.
    pub fn own_work(&self) -> Work {
        self.own_work
    }

    /// Returns the open requests of all entries at the server.
    pub(super) fn open_calls(&self) -> u32 {
        self.own_work.calls.saturating_add(self.peer_work.calls)
    }

    /// Returns the prompt tokens of all entries' requests that the server has not read.
    pub(super) fn unread(&self) -> u32 {
        self.own_work.prompt.saturating_add(self.peer_work.prompt)
    }

    /// Returns how much slower the server works now than usual, at least 1.0.
    pub fn pace(&self, now: Duration) -> f64 {
        self.pace.with_peers(self.peer_pace, now)
    }

    /// Returns whether the server may get the request, whether or not it has a free slot.
    pub(super) fn is_usable(&self, requirements: &Requirements, now: Duration) -> bool {
        self.meets(requirements, now)
            && !self.statement.backoff.is_active(now)
            && self.avoid_until <= now
    }

    /// Returns whether the server may get the request if it is not avoided and wants requests.
    pub(super) fn meets(&self, requirements: &Requirements, now: Duration) -> bool {
        self.has_version(requirements, now)
            && !self.is_leaving()
            && requirements.zones.contains(&self.record.zone)
            && !requirements.tried.contains(&self.record.id)
    }

    /// Returns whether the server holds a version of the model that may begin the request.
    pub(super) fn has_version(&self, requirements: &Requirements, now: Duration) -> bool {
        let Some(model) = &requirements.model else {
            return true;
        };
        let held = self.record.version(model);
        let minimum = if self.link.is_congested(now) {
            requirements.min_version_behind_congestion
        } else {
            requirements.min_version
        };
        held.is_some_and(|held| minimum.is_none_or(|minimum| held >= minimum))
    }

    pub(super) fn upcoming_load(&self, requirements: &Requirements) -> UpcomingLoad {
        let held = requirements
            .model
            .as_ref()
            .and_then(|model| self.record.version(model));
        if requirements
            .target_version
            .is_none_or(|target| held == Some(target))
        {
            UpcomingLoad::NotNeeded
        } else if requirements.tried.is_empty() {
            UpcomingLoad::BreaksOnce
        } else {
            UpcomingLoad::BreaksTwice
        }
    }

    /// Returns whether the server has a free slot for a request; `peer_count` is the number of other entries.
    pub(super) fn has_free_slot(
        &self,
        requirements: &Requirements,
        engine: Option<&Engine>,
        peer_count: u32,
        now: Duration,
    ) -> bool {
        if !self.statement.backoff.may_send(now) {
            return false;
        }
        let Some(engine) = engine else {
            return self.open_calls()
                < self
                    .record
                    .slots
                    .max(1)
                    .saturating_mul(PLAIN_CALLS_PER_SLOT);
        };
        if !self.contact.may_send(self.own_work.calls, now) {
            return false;
        }
        let max_unread = engine.prompt_tokens_per_ms * MAX_UNREAD_MS;
        let (own, peers) = (self.own_work, self.peer_work);
        if f64::from(own.prompt) + f64::from(peers.prompt) > max_unread {
            return false;
        }
        let entries = peer_count + 1;
        let is_ramping_up = now < self.models_changed_at + RAMP_UP_TIME;
        let has_share = own.calls < engine.slots.div_ceil(entries)
            && f64::from(own.prompt) <= max_unread / f64::from(entries);
        if is_ramping_up && !has_share {
            return false;
        }
        let is_freed =
            requirements.freed_server.as_ref() == Some(&self.record.id) || now < self.kept_until;
        self.has_slot_beyond(requirements.reserve, is_freed, engine)
    }

    /// Returns whether a slot is free beside the reserved ones.
    ///
    /// # Arguments
    /// `is_freed` is whether this entry has freed a slot here that no request has taken.
    fn has_slot_beyond(&self, reserve: Reserve, is_freed: bool, engine: &Engine) -> bool {
        let reserved = reserve.at_engine(hash_id(&self.record.id), is_freed);
        self.open_calls().saturating_add(reserved) < engine.slots
    }

    /// Returns whether a request with a reserve may use a slot that this entry has just freed here.
    pub fn is_freed_usable(&self, reserve: Reserve, engine: &Engine) -> bool {
        self.has_slot_beyond(reserve, true, engine)
    }

    pub(super) fn candidate(
        &self,
        requirements: &Requirements,
        engine: Option<&Engine>,
        location: &Location,
        now: Duration,
    ) -> Candidate {
        Candidate {
            expected_wait_ms: self.expected_wait_ms(requirements.prompt_tokens, engine, now),
            failure_rate: self.failure_rate,
            upcoming_load: self.upcoming_load(requirements),
            distance: location.distance(&self.record.zone),
            saving_ms: 0.0,
        }
    }

    /// Returns the expected milliseconds until the server begins to answer a request with this prompt.
    pub(super) fn expected_wait_ms(
        &self,
        prompt_tokens: u32,
        engine: Option<&Engine>,
        now: Duration,
    ) -> f64 {
        let pace = self.pace(now);
        let Some(engine) = engine else {
            let load = f64::from(self.open_calls()) / f64::from(self.record.slots.max(1));
            // A slow server also takes longer for the request itself.
            return load * PLAIN_CALL_MS * pace + self.pace.usual_ms() * (pace - 1.0);
        };
        let unread_tokens = [self.own_work.prompt, self.peer_work.prompt, prompt_tokens]
            .map(f64::from)
            .iter()
            .sum::<f64>();
        let step_ms = engine.step_ms + engine.step_ms_per_call * f64::from(self.open_calls());
        (unread_tokens / engine.prompt_tokens_per_ms + step_ms * engine.stride)
            * self.slowdown
            * pace
    }
}
