//! What the planner learns from each fetch that ends.

use std::time::Duration;

use super::{Fetch, Flight, Planner, Via};
use crate::order::Key;

/// Corrupt chunks after which a member is no longer asked.
const STRIKES: u8 = 2;

/// Failures in a row after which a neighbour is replaced.
const FAILURES: u32 = 3;

/// Stalls for which a member that failed is passed over in the order.
const SUSPECT_STALLS: u32 = 12;

/// Longest wait after repeated failures of a source, in stalls, of members that read in the place of another.
const SOURCE_STALLS: u32 = 2;

/// The same as a part of a stall, of the member that reads first: nobody else notices soon that a source is back.
const SOURCE_PART: u32 = 4;

impl Planner {
    pub(super) fn land(&mut self, fetch: Fetch) {
        self.flights.retain(|flight| flight.fetch != fetch);
        let flies_on = |flight: &Flight| flight.fetch.piece == fetch.piece;
        if !self.flights.iter().any(flies_on) {
            self.flying.remove(fetch.piece);
        }
        if let Via::Source(index) = fetch.via {
            self.sources[index].flying = self.sources[index].flying.saturating_sub(1);
        }
    }

    pub(super) fn arrive(&mut self, piece: u32, via: Via, now: Duration) {
        self.held.insert(piece);
        self.tried.remove(&piece);
        self.progress = now;
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

    pub(super) fn strike(&mut self, key: Key, fetch: Fetch, now: Duration) {
        let strikes = self.strikes.entry(key).or_default();
        *strikes += 1;
        if *strikes >= STRIKES {
            self.shunned.insert(key);
            self.choose(now);
        }
        if matches!(fetch.via, Via::Member(_)) {
            self.put_off(fetch.piece, now);
        }
    }

    pub(super) fn absent(&mut self, key: Key, piece: u32, idle: Option<Duration>, now: Duration) {
        let since = now.saturating_sub(self.started);
        if idle.is_none() && since >= self.tuning.stall_timeout {
            // It works on another version, and will neither read nor hold the piece.
            self.suspects.insert(key, now + self.tuning.stall_timeout);
        }
        let idle = idle.unwrap_or(since);
        if idle >= self.tuning.stall_timeout && !self.late() {
            self.idle.retain(|_, until| *until > now);
            self.idle.insert(key, now + self.tuning.stall_timeout);
        }
        *self.tried.entry(piece).or_default() += 1;
        if self.joined && self.home.is_empty() && self.ranking.rank(piece) == 0 {
            self.queue.push_front(piece);
        } else {
            self.put_off(piece, now);
        }
    }

    pub(super) fn fail_source(&mut self, index: usize, piece: u32, now: Duration) {
        let members = self.reachable(self.ranking.members(), now);
        let reader = self.ranking.first(piece, &members, 1).first().copied();
        if reader.is_none_or(|key| key == self.me) {
            self.queue.push_front(piece);
        }
        let most = if self.queue.is_empty() {
            self.tuning.stall_timeout * SOURCE_STALLS
        } else {
            self.tuning.stall_timeout / SOURCE_PART
        };
        let source = &mut self.sources[index];
        source.failures += 1;
        let wait = self.tuning.ask_interval * (1 << source.failures.min(6)) / 4;
        source.until = now + wait.min(most);
    }

    pub(super) fn fail_neighbour(&mut self, key: Key, now: Duration) {
        let wait = self.tuning.ask_interval;
        let Some(neighbour) = self.neighbours.find(key) else {
            return;
        };
        neighbour.failures += 1;
        neighbour.busy_until = now + wait;
        if neighbour.failures >= FAILURES {
            self.suspect(key, now);
        }
    }

    pub(super) fn suspect(&mut self, key: Key, now: Duration) {
        self.suspects.retain(|_, until| *until > now);
        self.suspects
            .insert(key, now + self.tuning.stall_timeout * SUSPECT_STALLS);
        self.choose(now);
    }

    /// Passes over a member whose upload allowance is used up, which its long wait tells.
    pub(super) fn pass_over_spent(&mut self, key: Key, after: Duration, now: Duration) {
        if after >= self.tuning.stall_timeout {
            self.suspect(key, now);
        }
    }

    /// Puts a piece that belongs to this member's queue back for a later try.
    pub(super) fn put_off(&mut self, piece: u32, now: Duration) {
        if self.ranking.rank(piece) == 0 {
            self.later
                .push_back((now + self.tuning.ask_interval, piece));
        }
    }
}
