//! State changes after the end of a fetch.

use std::time::Duration;

use super::{ActiveFetch, Fetch, Planner, Via};
use crate::order::Key;

/// Number of corrupt chunks after which a member is banned for the rest of the transfer.
const MAX_CORRUPT_CHUNKS: u8 = 2;

/// Number of consecutive failures after which a neighbour is replaced.
const MAX_NEIGHBOUR_FAILURES: u32 = 3;

/// Maximum backoff of a failing source, as a multiple of the stall timeout, at members that have no pieces to read for
/// their region and read only in place of another member.
const BACKOFF_STALL_FACTOR: u32 = 2;

/// Divisor of the stall timeout that gives the maximum backoff at the first reader. It is short because no other member
/// soon notices that a source is back.
const FIRST_READER_BACKOFF_DIVISOR: u32 = 4;

impl Planner {
    pub(super) fn end_fetch(&mut self, fetch: Fetch) {
        self.active_fetches.retain(|active| active.fetch != fetch);
        let is_still_active = |active: &ActiveFetch| active.fetch.piece == fetch.piece;
        if !self.active_fetches.iter().any(is_still_active) {
            self.in_flight.remove(fetch.piece);
        }
        if let Via::Source(index) = fetch.via {
            self.sources[index].in_flight = self.sources[index].in_flight.saturating_sub(1);
        }
    }

    pub(super) fn record_arrival(&mut self, piece: u32, via: Via, now: Duration) {
        self.held.insert(piece);
        self.absent_counts.remove(&piece);
        self.unmet_counts.remove(&piece);
        self.asked_until.remove(&piece);
        self.last_progress = now;
        match via {
            Via::Source(index) => self.sources[index].failures = 0,
            Via::Neighbour(key) => {
                if let Some(neighbour) = self.neighbours.find(key) {
                    neighbour.failures = 0;
                }
            }
            Via::Member(_) => {}
        }
    }

    pub(super) fn record_corrupt(&mut self, key: Key, fetch: Fetch, now: Duration) {
        let count = self.corrupt_counts.entry(key).or_default();
        *count += 1;
        if *count >= MAX_CORRUPT_CHUNKS {
            self.banned.insert(key);
            self.choose_neighbours(now);
        }
        if matches!(fetch.via, Via::Member(_)) {
            self.defer(fetch.piece, now);
        }
    }

    pub(super) fn record_absent(
        &mut self,
        key: Key,
        piece: u32,
        idle: Option<Duration>,
        now: Duration,
    ) {
        let since = now.saturating_sub(self.started_at);
        if idle.is_none() && since >= self.tuning.stall_timeout {
            // The member works on another version and will neither read nor hold the piece.
            self.suspects.insert(key, now + self.tuning.stall_timeout);
        }
        let idle = idle.unwrap_or(since);
        if idle >= self.tuning.stall_timeout && !self.is_served_nearby() {
            self.idle_members.retain(|_, until| *until > now);
            self.idle_members
                .insert(key, now + self.tuning.stall_timeout);
        }
        *self.absent_counts.entry(piece).or_default() += 1;
        self.count_unmet(piece);
        if self.joined_late && self.home_members.is_empty() && self.ranking.rank(piece) == 0 {
            self.assigned.push_front(piece);
        } else {
            self.defer(piece, now);
        }
    }

    /// Counts a request that another region did not meet, so that the next one goes to another member.
    pub(super) fn count_unmet(&mut self, piece: u32) {
        if !self.home_members.is_empty() {
            *self.unmet_counts.entry(piece).or_default() += 1;
        }
    }

    pub(super) fn back_off_source(&mut self, index: usize, piece: u32, now: Duration) {
        let members = self.reachable_members(self.ranking.members(), now);
        let reader = self.ranking.first(piece, &members, 1).first().copied();
        if reader.is_none_or(|key| key == self.own_key) {
            self.assigned.push_front(piece);
        }
        let max_backoff = if self.assigned.is_empty() {
            self.tuning.stall_timeout * BACKOFF_STALL_FACTOR
        } else {
            self.tuning.stall_timeout / FIRST_READER_BACKOFF_DIVISOR
        };
        let source = &mut self.sources[index];
        source.failures += 1;
        let backoff = self.tuning.ask_interval * (1 << source.failures.min(6)) / 4;
        source.backoff_until = now + backoff.min(max_backoff);
    }

    pub(super) fn record_neighbour_failure(&mut self, key: Key, now: Duration) {
        let wait = self.tuning.ask_interval;
        let Some(neighbour) = self.neighbours.find(key) else {
            return;
        };
        neighbour.failures += 1;
        neighbour.busy_until = now + wait;
        if neighbour.failures >= MAX_NEIGHBOUR_FAILURES {
            self.suspect(key, now);
        }
    }

    pub(super) fn suspect(&mut self, key: Key, now: Duration) {
        self.suspects.retain(|_, until| *until > now);
        self.suspects.insert(key, now + self.tuning.suspect_time);
        self.choose_neighbours(now);
    }

    /// Skips a member whose upload allowance is used up, which is recognized by its long retry delay.
    pub(super) fn suspect_if_exhausted(&mut self, key: Key, after: Duration, now: Duration) {
        if after >= self.tuning.stall_timeout {
            self.suspect(key, now);
        }
    }

    /// Schedules a later attempt for a piece that is assigned to this member. A request of any other member in the home region
    /// waits as long.
    pub(super) fn defer(&mut self, piece: u32, now: Duration) {
        let until = now + self.tuning.ask_interval;
        if !self.home_members.is_empty() {
            self.asked_until.insert(piece, until);
        }
        if self.ranking.rank(piece) == 0 {
            self.deferred.push_back((until, piece));
        }
    }
}
