//! Strategies for the choice of the next fetch, in the order in which the planner tries them.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::{ActiveFetch, Fetch, Planner, REPLICAS_PER_PIECE, SLOW_FETCH_DIVISOR, Via, is_listed};
use crate::order::Key;

/// Maximum number of a neighbour's pieces that one choice examines.
const SAMPLE_PIECES: usize = 64;

/// Maximum number of pieces that one scan examines for failed readers.
const SCAN_PIECES: u32 = 64;

/// Maximum number of missing pieces at which duplicate fetches are allowed.
const ENDGAME_PIECES: usize = 8;

/// Divisor of the stall timeout that gives the age from which a fetch may be duplicated.
const ENDGAME_AGE_DIVISOR: u32 = 4;

/// Number of requests for a piece of which one goes to the home region, at members that have it from another region.
const HOME_ASK_INTERVAL: usize = 3;

impl Planner {
    /// Picks a piece that this member reads for its region.
    pub(super) fn pick_assigned(&mut self, now: Duration) -> Option<Fetch> {
        if self.is_served_nearby() || !self.has_neighbour_reports(now) {
            return None;
        }
        while let Some(piece) = self.assigned.front().copied() {
            self.steps += 1;
            // If the read of another member fails, the piece is one of those that any reader may read.
            if !self.is_wanted(piece) || self.neighbours.is_obtained(piece) {
                self.assigned.pop_front();
                continue;
            }
            let via = self.choose_upstream(piece, now)?;
            self.assigned.pop_front();
            return Some(Fetch { piece, via });
        }
        None
    }

    /// Picks a piece that another reader has not begun to read, once this member's own pieces are read.
    pub(super) fn pick_shared(&mut self, now: Duration) -> Option<Fetch> {
        if !self.may_share_reads(now) || !self.assigned.is_empty() || !self.knows_readers() {
            return None;
        }
        let members = self.ranking.members().to_vec();
        let unread = self.unread_pieces();
        let readers: Vec<Option<Key>> = unread
            .iter()
            .map(|piece| self.ranking.first(*piece, &members, 1).first().copied())
            .collect();
        // The reader is about to begin the first of its unread pieces.
        let is_next = |index: usize| {
            readers[index].is_some_and(|reader| {
                let order = |index: usize| self.ranking.reading_order(unread[index], reader);
                let own = (0..unread.len()).filter(|other| readers[*other] == Some(reader));
                own.max_by_key(|other| order(*other)) == Some(index)
            })
        };
        // Members have different orders, so that two of them seldom choose the same piece.
        let left = (0..unread.len()).filter(|index| !is_next(*index));
        let index = left.min_by_key(|index| self.ranking.rank(unread[*index]))?;
        let (piece, via) = (unread[index], self.free_source(now)?);
        Some(Fetch { piece, via })
    }

    /// Picks a piece whose readers have all failed up to this member.
    pub(super) fn pick_orphaned(&mut self, now: Duration) -> Option<Fetch> {
        if !self.may_share_reads(now) {
            return None;
        }
        let members = self.reachable_members(self.ranking.members(), now);
        let own_key = Some(self.own_key);
        let piece = self.unread_pieces().into_iter().find(|piece| {
            let first = self.ranking.first(*piece, &members, 1).first().copied();
            first == own_key
        })?;
        let via = self.free_source(now)?;
        Some(Fetch { piece, via })
    }

    /// Returns whether this member may read a piece now that is not assigned to it.
    fn may_share_reads(&self, now: Duration) -> bool {
        let is_reading = |active: &ActiveFetch| matches!(active.fetch.via, Via::Source(_));
        self.shares_reads()
            && !self.active_fetches.iter().any(is_reading)
            && !self.is_served_nearby()
            && self.has_neighbour_reports(now)
    }

    /// Returns whether this member has reports of most other readers, so that it knows what they read.
    fn knows_readers(&self) -> bool {
        let members = self.ranking.members().iter();
        let others: Vec<Key> = members
            .copied()
            .filter(|key| *key != self.own_key)
            .collect();
        let is_known = |key: &&Key| {
            let mut neighbours = self.neighbours.all().iter();
            neighbours.any(|neighbour| neighbour.key == **key && neighbour.has_reported)
        };
        others.iter().filter(is_known).count() * 4 >= others.len() * 3
    }

    /// Returns the missing pieces that no neighbour holds or reads.
    fn unread_pieces(&self) -> Vec<u32> {
        let pieces = 0..self.held.length() as u32;
        let is_unread =
            |piece: &u32| self.is_wanted(*piece) && !self.neighbours.is_obtained(*piece);
        pieces.filter(is_unread).collect()
    }

    /// Picks the rarest of a sample of the pieces that the least used neighbour holds.
    pub(super) fn pick_neighbour<R: Rng>(&mut self, now: Duration, rng: &mut R) -> Option<Fetch> {
        let slots = self.tuning.neighbour_slots;
        let is_from_member = |active: &&ActiveFetch| !matches!(active.fetch.via, Via::Source(_));
        let max_age = self.tuning.stall_timeout / SLOW_FETCH_DIVISOR;
        let fetches = self.active_fetches.iter().filter(is_from_member);
        let recent = fetches.filter(|active| now < active.since + max_age);
        // The source must not wait for a free slot.
        if self.tuning.shares_reads
            && recent.count() + self.tuning.source_slots >= self.tuning.slots
        {
            return None;
        }
        let mut free: Vec<(usize, u32, Key)> = Vec::new();
        for neighbour in self.neighbours.all() {
            let in_flight = self.active_fetches_from(neighbour.key);
            if in_flight < slots && neighbour.busy_until <= now {
                free.push((in_flight, rng.random(), neighbour.key));
            }
        }
        free.sort_unstable();
        free.iter().find_map(|(_, _, key)| {
            let piece = self.rarest_piece(*key, rng)?;
            let via = Via::Neighbour(*key);
            Some(Fetch { piece, via })
        })
    }

    /// Picks a piece that no neighbour holds, so that another copy of it is available early.
    pub(super) fn pick_extra(&mut self, now: Duration) -> Option<Fetch> {
        if self.is_served_nearby() || !self.has_neighbour_reports(now) {
            return None;
        }
        while let Some(piece) = self.extra.front().copied() {
            self.steps += 1;
            if !self.is_wanted(piece) || self.neighbours.is_obtained(piece) {
                self.extra.pop_front();
                continue;
            }
            let via = self.free_source(now)?;
            self.extra.pop_front();
            return Some(Fetch { piece, via });
        }
        None
    }

    /// Picks a piece whose reader may have failed; it is requested from the reader, or read in its place.
    pub(super) fn pick_takeover(&mut self, now: Duration) -> Option<Fetch> {
        if !self.has_neighbour_reports(now) {
            return None;
        }
        let count = self.held.length() as u32;
        for _ in 0..SCAN_PIECES.min(count) {
            self.steps += 1;
            let piece = self.scan_cursor % count;
            self.scan_cursor = (piece + 1) % count;
            if !self.is_wanted(piece) || self.neighbours.is_obtained(piece) {
                continue;
            }
            if !self.may_take_over(piece, now) || is_listed(&self.asked_until, piece, now) {
                continue;
            }
            if let Some(via) = self.take_over(piece, now) {
                return Some(Fetch { piece, via });
            }
        }
        None
    }

    /// Picks a second holder to fetch one of the last pieces from.
    pub(super) fn pick_endgame(&mut self, now: Duration) -> Option<Fetch> {
        let missing = self.held.length() - self.held.count();
        if missing > ENDGAME_PIECES {
            return None;
        }
        let min_age = self.tuning.stall_timeout / ENDGAME_AGE_DIVISOR;
        let overdue = self
            .active_fetches
            .iter()
            .filter(|active| now >= active.since + min_age);
        let pieces: Vec<u32> = overdue.map(|active| active.fetch.piece).collect();
        pieces
            .into_iter()
            .find_map(|piece| self.duplicate_fetch(piece, now))
    }

    fn duplicate_fetch(&self, piece: u32, now: Duration) -> Option<Fetch> {
        let is_active = |via| {
            self.active_fetches
                .iter()
                .any(|active| active.fetch == Fetch { piece, via })
        };
        let mut holders = self.neighbours.all().iter().filter(|neighbour| {
            neighbour.have.contains(piece)
                && neighbour.busy_until <= now
                && self.active_fetches_from(neighbour.key) == 0
        });
        let holder = holders.find(|neighbour| !is_active(Via::Neighbour(neighbour.key)))?;
        let via = Via::Neighbour(holder.key);
        Some(Fetch { piece, via })
    }

    /// Returns whether the first reports of the neighbours have arrived or are overdue. Waiting for them avoids reading
    /// a version again that other members already hold.
    fn has_neighbour_reports(&self, now: Duration) -> bool {
        now >= self.started_at + self.tuning.ask_interval
            || self
                .neighbours
                .all()
                .iter()
                .all(|neighbour| neighbour.has_reported)
    }

    /// Returns where the first reader of a piece reads it; `None` if it has to wait.
    fn choose_upstream(&mut self, piece: u32, now: Duration) -> Option<Via> {
        let ask_next = self.joined_late
            && self.home_members.is_empty()
            && !self.absent_counts.contains_key(&piece);
        let mut ahead = if ask_next {
            self.usable_members(self.ranking.members(), now)
        } else {
            self.usable_members(&self.home_members, now)
        };
        if ahead.is_empty() && !self.home_members.is_empty() {
            if now < self.next_ask_at {
                return None;
            }
            self.next_ask_at = now + self.tuning.ask_interval;
            ahead = self.reachable_members(&self.home_members, now);
        }
        ahead.retain(|key| *key != self.own_key);
        let unmet = self.unmet_counts.get(&piece).copied().unwrap_or(0);
        if unmet % HOME_ASK_INTERVAL != HOME_ASK_INTERVAL - 1
            && let Some(key) = self.first_elsewhere(piece, now)
        {
            return self.free_member(key);
        }
        let first = self.ranking.first(piece, &ahead, REPLICAS_PER_PIECE);
        match first.get(unmet % first.len().max(1)).copied() {
            Some(key) => self.free_member(key),
            None => self.free_source(now),
        }
    }

    /// Returns the first member of a piece in another region that has its pieces from the home region too; `None` if this member
    /// comes before them. Members of the home region send each piece to their own region as well, and would otherwise send
    /// more than any other.
    fn first_elsewhere(&mut self, piece: u32, now: Duration) -> Option<Key> {
        let mut first = vec![self.own_key];
        for members in &self.fed_members {
            let members = self.usable_members(members, now);
            first.extend(self.ranking.first(piece, &members, 1));
        }
        let first = self.ranking.first(piece, &first, 1);
        first.first().copied().filter(|key| *key != self.own_key)
    }

    /// Returns the members that may be asked, including those without progress.
    pub(super) fn reachable_members(&self, members: &[Key], now: Duration) -> Vec<Key> {
        let members = members.iter().copied();
        members.filter(|key| self.is_reachable(*key, now)).collect()
    }

    fn usable_members(&self, members: &[Key], now: Duration) -> Vec<Key> {
        let members = members.iter().copied();
        members.filter(|key| self.is_usable(*key, now)).collect()
    }

    /// Returns the number of active fetches from a member, whether it was selected as a neighbour or by the order.
    fn active_fetches_from(&self, key: Key) -> usize {
        let is_from_member = |via: Via| via == Via::Neighbour(key) || via == Via::Member(key);
        let active_fetches = self.active_fetches.iter();
        active_fetches
            .filter(|active| is_from_member(active.fetch.via))
            .count()
    }

    /// Returns a member as the place to fetch from; `None` if it has reached its maximum of concurrent fetches.
    fn free_member(&self, key: Key) -> Option<Via> {
        (self.active_fetches_from(key) < self.tuning.neighbour_slots).then_some(Via::Member(key))
    }

    fn free_source(&self, now: Duration) -> Option<Via> {
        let slots = self.tuning.source_slots;
        let free = self
            .sources
            .iter()
            .enumerate()
            .filter(|(_, source)| source.in_flight < slots && source.backoff_until <= now);
        let least = free.min_by_key(|(_, source)| (source.failures, source.in_flight));
        least.map(|(index, _)| Via::Source(index))
    }

    fn may_take_over(&self, piece: u32, now: Duration) -> bool {
        let rank = self.ranking.rank(piece);
        let idle = now.saturating_sub(self.last_progress);
        self.is_served_nearby()
            || usize::from(rank) < REPLICAS_PER_PIECE
            || idle >= self.tuning.stall_timeout
    }

    fn take_over(&mut self, piece: u32, now: Duration) -> Option<Via> {
        if self.is_served_nearby() {
            return self.ask_holders(piece, now);
        }
        let members = self.reachable_members(self.ranking.members(), now);
        let first = self.ranking.first(piece, &members, REPLICAS_PER_PIECE);
        let is_idle = |key: &Key| is_listed(&self.idle_members, *key, now);
        // If none of them makes progress, the source is unavailable and other members would fail there as well.
        let reader = first.iter().find(|key| !is_idle(key)).or(first.first());
        let reader = match reader.copied() {
            Some(key) if key != self.own_key => key,
            _ => return self.choose_upstream(piece, now),
        };
        if now < self.next_ask_at {
            return None;
        }
        let via = self.free_member(reader)?;
        self.next_ask_at = now + self.tuning.ask_interval;
        Some(via)
    }

    /// Asks the members that keep a piece one after the other, and finally the source.
    fn ask_holders(&mut self, piece: u32, now: Duration) -> Option<Via> {
        let asked = self.absent_counts.get(&piece).copied().unwrap_or(0);
        let members = self.usable_members(self.ranking.members(), now);
        let mut first = self.ranking.first(piece, &members, REPLICAS_PER_PIECE);
        first.retain(|key| *key != self.own_key);
        if let Some(key) = first.get(asked) {
            return self.free_member(*key);
        }
        self.absent_counts.remove(&piece);
        self.free_source(now)
    }

    fn rarest_piece<R: Rng>(&mut self, key: Key, rng: &mut R) -> Option<u32> {
        let neighbours = self.neighbours.all();
        let neighbour = neighbours.iter().find(|neighbour| neighbour.key == key)?;
        let (have, held, in_flight) = (
            neighbour.have.words(),
            self.held.words(),
            self.in_flight.words(),
        );
        let start = rng.random_range(0..have.len().max(1));
        let mut best: Option<(u16, u32)> = None;
        let mut examined = 0;
        for offset in 0..have.len() {
            let word = (start + offset) % have.len();
            let mut wanted = have[word] & !held[word] & !in_flight[word];
            self.steps += 1;
            while wanted != 0 && examined < SAMPLE_PIECES {
                let piece = word as u32 * u64::BITS + wanted.trailing_zeros();
                wanted &= wanted - 1;
                examined += 1;
                self.steps += 1;
                let holders = self.neighbours.holders(piece);
                if best.is_none_or(|(least, _)| holders < least) {
                    best = Some((holders, piece));
                }
            }
            if examined >= SAMPLE_PIECES {
                break;
            }
        }
        best.map(|(_, piece)| piece)
    }
}
