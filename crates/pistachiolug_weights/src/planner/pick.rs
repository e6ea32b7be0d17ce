//! Ways to choose the next fetch, in the order in which the planner tries them.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::{Fetch, Planner, REPLICAS_PER_PIECE, Via, lists};
use crate::order::Key;

/// Pieces looked at in one choice among those that a neighbour holds.
const SAMPLE: usize = 64;

/// Pieces looked at in one scan for those whose reader may have failed.
const SCAN: u32 = 64;

/// Missing pieces below which fetches may be doubled.
const ENDGAME: usize = 8;

/// Share of the stall time after which a fetch may be doubled.
const ENDGAME_PART: u32 = 4;

impl Planner {
    /// Chooses a piece that this member reads for its region.
    pub(super) fn pick_duty(&mut self, now: Duration) -> Option<Fetch> {
        if self.late() || !self.knows_neighbours(now) {
            return None;
        }
        while let Some(piece) = self.queue.front().copied() {
            self.steps += 1;
            if !self.wants(piece) || self.neighbours.holders(piece) > 0 {
                self.queue.pop_front();
                continue;
            }
            let via = self.upstream(piece, now)?;
            self.queue.pop_front();
            return Some(Fetch { piece, via });
        }
        None
    }

    /// Chooses the rarest of a sample of pieces that the least used neighbour holds.
    pub(super) fn pick_neighbour<R: Rng>(
        &mut self,
        now: Duration,
        random: &mut R,
    ) -> Option<Fetch> {
        let slots = self.tuning.neighbour_slots;
        let mut free: Vec<(usize, u32, Key)> = Vec::new();
        for neighbour in self.neighbours.all() {
            let flying = self.flights_to(neighbour.key);
            if flying < slots && neighbour.busy_until <= now {
                free.push((flying, random.random(), neighbour.key));
            }
        }
        free.sort_unstable();
        free.iter().find_map(|(_, _, key)| {
            let piece = self.rarest(*key, random)?;
            let via = Via::Neighbour(*key);
            Some(Fetch { piece, via })
        })
    }

    /// Chooses a piece that nobody near holds, to open one more copy of it early.
    pub(super) fn pick_extra(&mut self, now: Duration) -> Option<Fetch> {
        if self.late() || !self.knows_neighbours(now) {
            return None;
        }
        while let Some(piece) = self.extra.front().copied() {
            self.steps += 1;
            if !self.wants(piece) || self.neighbours.holders(piece) > 0 {
                self.extra.pop_front();
                continue;
            }
            let via = self.free_source(now)?;
            self.extra.pop_front();
            return Some(Fetch { piece, via });
        }
        None
    }

    /// Chooses a piece whose reader may have failed: asks the reader, or reads in its place.
    pub(super) fn pick_takeover(&mut self, now: Duration) -> Option<Fetch> {
        if !self.knows_neighbours(now) {
            return None;
        }
        let count = self.held.length() as u32;
        for _ in 0..SCAN.min(count) {
            self.steps += 1;
            let piece = self.cursor % count;
            self.cursor = (piece + 1) % count;
            if !self.wants(piece) || self.neighbours.holders(piece) > 0 {
                continue;
            }
            if !self.may_take_over(piece, now) {
                continue;
            }
            if let Some(via) = self.take_over(piece, now) {
                return Some(Fetch { piece, via });
            }
        }
        None
    }

    /// Chooses a second holder for one of the last pieces.
    pub(super) fn pick_endgame(&mut self, now: Duration) -> Option<Fetch> {
        let missing = self.held.length() - self.held.count();
        if missing > ENDGAME {
            return None;
        }
        let old = self.tuning.stall_timeout / ENDGAME_PART;
        let late = self
            .flights
            .iter()
            .filter(|flight| now >= flight.since + old);
        let pieces: Vec<u32> = late.map(|flight| flight.fetch.piece).collect();
        pieces.into_iter().find_map(|piece| self.double(piece, now))
    }

    fn double(&self, piece: u32, now: Duration) -> Option<Fetch> {
        let flies = |via| {
            self.flights
                .iter()
                .any(|flight| flight.fetch == Fetch { piece, via })
        };
        let mut holders = self.neighbours.all().iter().filter(|neighbour| {
            neighbour.have.contains(piece)
                && neighbour.busy_until <= now
                && self.flights_to(neighbour.key) == 0
        });
        let holder = holders.find(|neighbour| !flies(Via::Neighbour(neighbour.key)))?;
        let via = Via::Neighbour(holder.key);
        Some(Fetch { piece, via })
    }

    /// Waits for the neighbours' first answers, so that a version that is around already is not read anew.
    fn knows_neighbours(&self, now: Duration) -> bool {
        now >= self.started + self.tuning.ask_interval
            || self
                .neighbours
                .all()
                .iter()
                .all(|neighbour| neighbour.heard)
    }

    /// Returns where the first reader of a piece reads it.
    fn upstream(&mut self, piece: u32, now: Duration) -> Option<Via> {
        let ask_next = self.joined && self.home.is_empty() && !self.tried.contains_key(&piece);
        let mut ahead = if ask_next {
            self.usable_of(self.ranking.members(), now)
        } else {
            self.usable_of(&self.home, now)
        };
        if ahead.is_empty() && !self.home.is_empty() {
            if now < self.next_ask {
                return None;
            }
            self.next_ask = now + self.tuning.ask_interval;
            ahead = self.reachable(&self.home, now);
        }
        ahead.retain(|key| *key != self.me);
        match self.ranking.first(piece, &ahead, 1).first().copied() {
            Some(key) => self.free_member(key),
            None => self.free_source(now),
        }
    }

    /// Returns the members that answer, although they may make no progress.
    pub(super) fn reachable(&self, members: &[Key], now: Duration) -> Vec<Key> {
        let members = members.iter().copied();
        members.filter(|key| self.answers(*key, now)).collect()
    }

    fn usable_of(&self, members: &[Key], now: Duration) -> Vec<Key> {
        let members = members.iter().copied();
        members.filter(|key| self.usable(*key, now)).collect()
    }

    /// Returns the fetches under way from a member, whatever named it.
    fn flights_to(&self, key: Key) -> usize {
        let named = |via: Via| via == Via::Neighbour(key) || via == Via::Member(key);
        let flights = self.flights.iter();
        flights.filter(|flight| named(flight.fetch.via)).count()
    }

    /// Names a member for a fetch unless it has all the fetches it may have.
    fn free_member(&self, key: Key) -> Option<Via> {
        (self.flights_to(key) < self.tuning.neighbour_slots).then_some(Via::Member(key))
    }

    fn free_source(&self, now: Duration) -> Option<Via> {
        let slots = self.tuning.source_slots;
        let free = self
            .sources
            .iter()
            .enumerate()
            .filter(|(_, source)| source.flying < slots && source.until <= now);
        let least = free.min_by_key(|(_, source)| (source.failures, source.flying));
        least.map(|(index, _)| Via::Source(index))
    }

    fn may_take_over(&self, piece: u32, now: Duration) -> bool {
        let rank = self.ranking.rank(piece);
        let idle = now.saturating_sub(self.progress);
        self.late() || usize::from(rank) < REPLICAS_PER_PIECE || idle >= self.tuning.stall_timeout
    }

    fn take_over(&mut self, piece: u32, now: Duration) -> Option<Via> {
        if self.late() {
            return self.ask_holders(piece, now);
        }
        let members = self.reachable(self.ranking.members(), now);
        let first = self.ranking.first(piece, &members, REPLICAS_PER_PIECE);
        let idle = |key: &Key| lists(&self.idle, *key, now);
        // If all of them make no progress, the source is away: others would fail there as well.
        let reader = first.iter().find(|key| !idle(key)).or(first.first());
        let reader = match reader.copied() {
            Some(key) if key != self.me => key,
            _ => return self.upstream(piece, now),
        };
        if now < self.next_ask {
            return None;
        }
        let via = self.free_member(reader)?;
        self.next_ask = now + self.tuning.ask_interval;
        Some(via)
    }

    /// Asks the members that keep a piece one after the other, and then the source.
    fn ask_holders(&mut self, piece: u32, now: Duration) -> Option<Via> {
        let tried = self.tried.get(&piece).copied().unwrap_or(0);
        let members = self.usable_of(self.ranking.members(), now);
        let mut first = self.ranking.first(piece, &members, REPLICAS_PER_PIECE);
        first.retain(|key| *key != self.me);
        if let Some(key) = first.get(tried) {
            return self.free_member(*key);
        }
        self.tried.remove(&piece);
        self.free_source(now)
    }

    fn rarest<R: Rng>(&mut self, key: Key, random: &mut R) -> Option<u32> {
        let neighbours = self.neighbours.all();
        let neighbour = neighbours.iter().find(|neighbour| neighbour.key == key)?;
        let (have, held, flying) = (
            neighbour.have.words(),
            self.held.words(),
            self.flying.words(),
        );
        let start = random.random_range(0..have.len().max(1));
        let mut best: Option<(u16, u32)> = None;
        let mut seen = 0;
        for offset in 0..have.len() {
            let word = (start + offset) % have.len();
            let mut wanted = have[word] & !held[word] & !flying[word];
            self.steps += 1;
            while wanted != 0 && seen < SAMPLE {
                let piece = word as u32 * u64::BITS + wanted.trailing_zeros();
                wanted &= wanted - 1;
                seen += 1;
                self.steps += 1;
                let holders = self.neighbours.holders(piece);
                if best.is_none_or(|(least, _)| holders < least) {
                    best = Some((holders, piece));
                }
            }
            if seen >= SAMPLE {
                break;
            }
        }
        best.map(|(_, piece)| piece)
    }
}
