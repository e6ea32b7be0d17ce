//! Planner of one version's transfer at one member: decides what to fetch next and from where, without any I/O.
//!
//! Each piece has a rendezvous order over the members of a region. The first member in it reads the piece from the
//! origin (or, with the bytes-first policy, from the home region's first member). The next members ask it for the piece
//! and take over when it stalls. All others pull from a few neighbours, rarest piece first among a sample.

pub mod fetch;
mod memory;
pub mod neighbour;
mod outcome;
mod pick;
pub mod policy;
pub mod ranking;

use std::{collections::VecDeque, hash::Hash, time::Duration};

use rand::Rng;
use rustc_hash::{FxHashMap, FxHashSet};

use self::{
    fetch::{ActiveFetch, Fetch, Outcome, Via},
    neighbour::Neighbours,
    policy::{Policy, Scope, Tuning},
    ranking::Ranking,
};
use crate::{bitmap::Bitmap, order::Key, roster::Roster};

/// Number of members that keep each piece after the distribution: the first ones in the piece's order.
pub const REPLICAS_PER_PIECE: usize = 3;

/// Divisor of the stall timeout that gives the age from which a fetch no longer occupies a slot.
const SLOW_FETCH_DIVISOR: u32 = 2;

/// Pieces that a member reports to have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Have {
    /// All pieces that the member holds.
    Whole(Bitmap),
    /// Pieces added since the last report.
    Added(Vec<u32>),
}

/// Planner's view of a source.
#[derive(Debug, Clone, Copy, Default)]
struct Source {
    in_flight: usize,
    failures: u32,
    backoff_until: Duration,
}

/// Planner of the fetches of one transfer.
#[derive(Debug)]
pub struct Planner {
    own_key: Key,
    tuning: Tuning,
    scope: Scope,
    ranking: Ranking,
    neighbours: Neighbours,
    /// Members of the own region.
    members: Vec<Key>,
    /// Readers in the home region if pieces come from there rather than from the origin; empty otherwise.
    home_members: Vec<Key>,
    /// Members of each other region that also has its pieces from the home region; empty if pieces come from the source.
    fed_members: Vec<Vec<Key>>,
    /// Number of regions with members; at least 1.
    regions: usize,
    held: Bitmap,
    /// Pieces with an active fetch; always consistent with `active_fetches`.
    in_flight: Bitmap,
    active_fetches: Vec<ActiveFetch>,
    /// Pieces that this member should read for its region, in order.
    assigned: VecDeque<u32>,
    /// Pieces to put back into `assigned`, with their times in ascending order.
    deferred: VecDeque<(Duration, u32)>,
    /// Pieces that this member may also read from the origin when it has nothing else to do; empty if pieces come from
    /// the home region.
    extra: VecDeque<u32>,
    sources: Vec<Source>,
    /// Members that are not used until a time because they failed; at most one entry per member of the roster.
    suspects: FxHashMap<Key, Duration>,
    /// Members skipped in the order until a time because they respond but make no progress.
    idle_members: FxHashMap<Key, Duration>,
    corrupt_counts: FxHashMap<Key, u8>,
    banned: FxHashSet<Key>,
    /// Number of members asked unsuccessfully per missing piece, in a transfer that others have finished.
    absent_counts: FxHashMap<u32, usize>,
    /// Number of requests per missing piece that other regions did not meet, because of a missing piece or a failure.
    unmet_counts: FxHashMap<u32, usize>,
    /// Times until which members are not asked for missing pieces again, because one of them has just not sent the piece.
    asked_until: FxHashMap<u32, Duration>,
    /// Whether others held pieces before this transfer began, so that the next member in the order may have a piece.
    joined_late: bool,
    next_ask_at: Duration,
    /// Piece at which the next scan for pieces to take over starts.
    scan_cursor: u32,
    started_at: Duration,
    /// Time of the last arrival of a piece.
    last_progress: Duration,
    steps: u64,
}

impl Planner {
    /// Creates a planner for the member `own_key` of `region` that fetches the pieces identified by `pieces`.
    ///
    /// `home_region` is the region nearest to the origin; if it is empty, each region reads the origin.
    pub fn new(
        own_key: Key,
        region: &str,
        home_region: &str,
        roster: &Roster,
        pieces: Vec<Key>,
        tuning: Tuning,
        now: Duration,
    ) -> Self {
        let count = pieces.len();
        let mut planner = Self {
            own_key,
            tuning,
            scope: Scope::default(),
            ranking: Ranking::new(own_key, pieces, &[]),
            neighbours: Neighbours::new(count),
            members: Vec::new(),
            home_members: Vec::new(),
            fed_members: Vec::new(),
            regions: 1,
            held: Bitmap::new(count),
            in_flight: Bitmap::new(count),
            active_fetches: Vec::new(),
            assigned: VecDeque::new(),
            deferred: VecDeque::new(),
            extra: VecDeque::new(),
            sources: vec![Source::default(); tuning.source_count.max(1)],
            suspects: FxHashMap::default(),
            idle_members: FxHashMap::default(),
            corrupt_counts: FxHashMap::default(),
            banned: FxHashSet::default(),
            absent_counts: FxHashMap::default(),
            unmet_counts: FxHashMap::default(),
            asked_until: FxHashMap::default(),
            joined_late: false,
            next_ask_at: now,
            scan_cursor: 0,
            started_at: now,
            last_progress: now,
            steps: 0,
        };
        planner.assign_pieces(region, home_region, roster, now);
        planner
    }

    /// Replaces the roster.
    pub fn set_roster(&mut self, region: &str, home_region: &str, roster: &Roster, now: Duration) {
        self.assign_pieces(region, home_region, roster, now);
    }

    /// Marks a piece as held, for example because another version shares it.
    pub fn mark_held(&mut self, piece: u32) {
        self.held.insert(piece);
    }

    /// Returns the held pieces.
    pub fn held(&self) -> &Bitmap {
        &self.held
    }

    /// Returns whether all pieces are held.
    pub fn is_complete(&self) -> bool {
        self.held.count() == self.held.length()
    }

    /// Returns the keys of the current neighbours.
    pub fn neighbours(&self) -> impl Iterator<Item = Key> + '_ {
        self.neighbours.all().iter().map(|neighbour| neighbour.key)
    }

    /// Returns whether a member is no longer used because it sent corrupt chunks.
    pub fn is_banned(&self, key: Key) -> bool {
        self.banned.contains(&key)
    }

    /// Returns the time of the last arrival of a piece, or of the start before the first one.
    pub fn last_progress(&self) -> Duration {
        self.last_progress
    }

    /// Returns the number of decision steps so far, as a measure of CPU cost.
    pub fn steps(&self) -> u64 {
        self.steps + self.ranking.steps()
    }

    /// Sets the maximum number of concurrent fetches; at least 1 is used.
    pub fn set_slots(&mut self, slots: usize) {
        self.tuning.slots = slots.max(1);
    }

    /// Sets which pieces may be fetched from now on.
    pub fn set_scope(&mut self, scope: Scope) {
        self.scope = scope;
    }

    /// Returns the number of pieces that neither this member nor one of its neighbours holds.
    pub fn unavailable(&self) -> usize {
        let pieces = 0..self.held.length() as u32;
        let is_unavailable =
            |piece: &u32| !self.held.contains(*piece) && self.neighbours.holders(*piece) == 0;
        pieces.filter(is_unavailable).count()
    }

    /// Records the pieces that a neighbour reports; malformed sets and pieces out of bounds are ignored.
    pub fn record_have(&mut self, key: Key, have: Have, serving: bool) {
        let is_first_report = self
            .neighbours
            .find(key)
            .is_some_and(|known| !known.has_reported);
        if is_first_report && self.held.count() == 0 {
            self.joined_late |= matches!(&have, Have::Whole(set) if set.count() > 0);
        }
        match have {
            Have::Whole(set) if set.has_valid_shape(self.held.length()) => {
                self.neighbours.replace_have(key, set);
            }
            Have::Whole(_) => {}
            Have::Added(pieces) => self.neighbours.add_have(key, &pieces),
        }
        if let Some(neighbour) = self.neighbours.find(key) {
            neighbour.has_reported = true;
            neighbour.failures = 0;
            neighbour.is_serving = serving;
        }
    }

    /// Records the pieces that a neighbour is reading from the source; malformed sets are ignored.
    pub fn record_reading(&mut self, key: Key, reading: Bitmap) {
        if !reading.has_valid_shape(self.held.length()) {
            return;
        }
        if let Some(neighbour) = self.neighbours.find(key) {
            neighbour.reading = reading;
        }
    }

    /// Records that a neighbour did not answer a query.
    pub fn record_no_answer(&mut self, key: Key, now: Duration) {
        self.record_neighbour_failure(key, now);
        if let Some(neighbour) = self.neighbours.find(key) {
            neighbour.has_reported = true;
        }
    }

    /// Returns the next fetch and counts it as active; `None` until the state changes.
    pub fn next_fetch<R: Rng>(&mut self, now: Duration, rng: &mut R) -> Option<Fetch> {
        if !self.has_free_slot(now) {
            return None;
        }
        self.requeue_deferred(now);
        let assigned = self.pick_assigned(now).or_else(|| self.pick_shared(now));
        let fetch = if self.scope == Scope::Assigned {
            assigned?
        } else {
            self.pick_any(assigned, now, rng)?
        };
        self.start_fetch(fetch, now);
        Some(fetch)
    }

    fn pick_any<R: Rng>(
        &mut self,
        assigned: Option<Fetch>,
        now: Duration,
        rng: &mut R,
    ) -> Option<Fetch> {
        assigned
            .or_else(|| self.pick_orphaned(now))
            .or_else(|| self.pick_neighbour(now, rng))
            .or_else(|| self.pick_extra(now))
            .or_else(|| self.pick_takeover(now))
            .or_else(|| self.pick_endgame(now))
    }

    /// Returns whether another fetch may start. Fetches that take long are passed over, since their member may be gone, as
    /// long as there are not too many of them.
    fn has_free_slot(&self, now: Duration) -> bool {
        let max_age = self.tuning.stall_timeout / SLOW_FETCH_DIVISOR;
        let fetches = self.active_fetches.iter();
        let recent = fetches.filter(|active| now < active.since + max_age);
        recent.count() < self.tuning.slots && self.active_fetches.len() < 2 * self.tuning.slots
    }

    /// Records the outcome of a fetch.
    pub fn finish_fetch(&mut self, fetch: Fetch, outcome: Outcome, now: Duration) {
        self.end_fetch(fetch);
        match (outcome, fetch.via) {
            (Outcome::Arrived, via) => self.record_arrival(fetch.piece, via, now),
            (Outcome::Corrupt, Via::Source(index)) => self.back_off_source(index, fetch.piece, now),
            (Outcome::Corrupt, Via::Neighbour(key) | Via::Member(key)) => {
                self.record_corrupt(key, fetch, now);
            }
            (Outcome::Absent { .. }, Via::Neighbour(key)) => {
                self.neighbours.remove_have(key, fetch.piece);
            }
            (Outcome::Absent { idle }, Via::Member(key)) => {
                self.record_absent(key, fetch.piece, idle, now);
            }
            (Outcome::Busy { after }, Via::Source(index)) => {
                self.sources[index].backoff_until = now + after;
                self.assigned.push_front(fetch.piece);
            }
            (Outcome::Busy { after }, Via::Neighbour(key)) => {
                if let Some(neighbour) = self.neighbours.find(key) {
                    neighbour.busy_until = now + after;
                }
                self.suspect_if_exhausted(key, after, now);
            }
            (Outcome::Busy { after }, Via::Member(key)) => {
                self.suspect_if_exhausted(key, after, now);
                self.defer(fetch.piece, now);
            }
            (Outcome::Failed | Outcome::Absent { .. }, Via::Source(index)) => {
                self.back_off_source(index, fetch.piece, now);
            }
            (Outcome::Failed, Via::Neighbour(key)) => self.record_neighbour_failure(key, now),
            (Outcome::Failed, Via::Member(key)) => {
                self.suspect(key, now);
                self.next_ask_at = now;
                self.count_unmet(fetch.piece);
                self.defer(fetch.piece, now);
            }
        }
    }

    fn assign_pieces(&mut self, region: &str, home_region: &str, roster: &Roster, now: Duration) {
        let regions = roster.regions();
        self.regions = regions.len().max(1);
        let bytes_first = self.tuning.policy == Policy::BytesFirst;
        self.members = roster.keys_in_region(region);
        if bytes_first && home_region != region {
            let home_members = roster.keys_in_region(home_region);
            self.home_members = self.choose_readers(home_members);
            let others = regions
                .iter()
                .filter(|other| **other != region && **other != home_region);
            self.fed_members = others.map(|other| roster.keys_in_region(other)).collect();
            self.set_ranked(self.members.clone());
        } else {
            self.home_members = Vec::new();
            self.fed_members = Vec::new();
            let readers = self.choose_readers(self.members.clone());
            self.set_ranked(readers);
        }
        self.assigned = self.ranking.pieces_below(1).into();
        self.deferred.clear();
        self.extra = if self.home_members.is_empty() {
            let readers = self.tuning.policy.readers_per_region(self.regions);
            self.ranking.pieces_below(readers).into()
        } else {
            VecDeque::new()
        };
        self.choose_neighbours(now);
    }

    /// Returns the members that read the source: the first ones in an order that differs from version to version.
    fn choose_readers(&mut self, mut members: Vec<Key>) -> Vec<Key> {
        let is_limited = self.tuning.policy == Policy::BytesFirst && self.held.length() > 0;
        if is_limited && members.len() > self.tuning.max_readers {
            members = self.ranking.first(0, &members, self.tuning.max_readers);
        }
        members
    }

    fn set_ranked(&mut self, members: Vec<Key>) {
        let is_excluded = !members.is_empty()
            && !members.contains(&self.own_key)
            && members.len() >= self.tuning.max_readers;
        self.ranking.set_members(&members);
        self.ranking.exclude_own(is_excluded);
    }

    /// Returns whether this member reads the source and may read more than is assigned to it.
    fn shares_reads(&self) -> bool {
        self.tuning.shares_reads && self.home_members.is_empty() && !self.ranking.is_excluded()
    }

    fn choose_neighbours(&mut self, now: Duration) {
        let members = self.members.clone();
        let usable = |key: Key| !self.banned.contains(&key) && !is_listed(&self.suspects, key, now);
        // Readers know what the others read, so that none reads a piece for the second time.
        let always = if self.shares_reads() {
            self.ranking.members().to_vec()
        } else {
            Vec::new()
        };
        let count = self.tuning.neighbour_count;
        self.steps += self
            .neighbours
            .choose(self.own_key, count, &members, &always, usable);
    }

    fn start_fetch(&mut self, fetch: Fetch, now: Duration) {
        self.in_flight.insert(fetch.piece);
        self.active_fetches.push(ActiveFetch { fetch, since: now });
        if let Via::Source(index) = fetch.via {
            self.sources[index].in_flight += 1;
        }
    }

    fn requeue_deferred(&mut self, now: Duration) {
        while let Some((at, piece)) = self.deferred.front().copied() {
            if at > now {
                return;
            }
            self.deferred.pop_front();
            self.assigned.push_back(piece);
        }
    }

    /// Returns whether a neighbour already serves the version, so that members are likely to hold the pieces.
    fn is_served_nearby(&self) -> bool {
        self.neighbours
            .all()
            .iter()
            .any(|neighbour| neighbour.is_serving)
    }

    /// Returns whether the order may select a member now.
    fn is_usable(&self, key: Key, now: Duration) -> bool {
        self.is_reachable(key, now) && !is_listed(&self.idle_members, key, now)
    }

    /// Returns whether a member may be asked now, even if it makes no progress.
    fn is_reachable(&self, key: Key, now: Duration) -> bool {
        !is_listed(&self.suspects, key, now) && !self.banned.contains(&key)
    }

    fn is_wanted(&self, piece: u32) -> bool {
        !self.held.contains(piece) && !self.in_flight.contains(piece)
    }
}

/// Returns whether a member or piece is listed until later than `now`.
fn is_listed<K: Eq + Hash>(listed: &FxHashMap<K, Duration>, key: K, now: Duration) -> bool {
    listed.get(&key).is_some_and(|until| *until > now)
}
