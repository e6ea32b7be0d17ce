//! Decisions of one version's transfer at one member: what to fetch next and from whom, without any I/O.
//!
//! Each piece has a rendezvous order over the members of a region. Its first member reads it from the origin (or, in
//! a bytes-first spread, from the home region's first member), the next ones ask after it and take over when it
//! stalls. All others pull from a few neighbours, rarest piece first among a sample.

pub mod fetch;
mod memory;
pub mod neighbour;
mod outcome;
mod pick;
pub mod policy;
pub mod ranking;

use std::{collections::VecDeque, time::Duration};

use rand::Rng;
use rustc_hash::{FxHashMap, FxHashSet};

use self::{
    fetch::{Fetch, Flight, Outcome, Via},
    neighbour::Neighbours,
    policy::{Policy, Tuning},
    ranking::Ranking,
};
use crate::{bitmap::Bitmap, order::Key, roster::Roster};

/// Members that keep each piece after the spread, first in its order.
pub const REPLICAS_PER_PIECE: usize = 3;

/// What a member says of its pieces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Have {
    /// All pieces it holds.
    Whole(Bitmap),
    /// Pieces that were added.
    Added(Vec<u32>),
}

/// Source as the planner sees it.
#[derive(Debug, Clone, Copy, Default)]
struct Source {
    flying: usize,
    failures: u32,
    until: Duration,
}

/// Decides the fetches of one transfer.
#[derive(Debug)]
pub struct Planner {
    me: Key,
    tuning: Tuning,
    ranking: Ranking,
    neighbours: Neighbours,
    /// Members of the home region, if pieces come from there rather than from the origin.
    home: Vec<Key>,
    /// Number of regions among the members.
    regions: usize,
    held: Bitmap,
    /// Pieces with a fetch under way; always those of `flights`.
    flying: Bitmap,
    flights: Vec<Flight>,
    /// Pieces that this member should read for its region, in order.
    queue: VecDeque<u32>,
    /// Pieces to put back into `queue`, with their times in order.
    later: VecDeque<(Duration, u32)>,
    /// Pieces that this member may also read from the origin when nothing else is to do; none if pieces come from the
    /// home region.
    extra: VecDeque<u32>,
    sources: Vec<Source>,
    /// Members passed over until a time; at most one entry per member of the roster.
    suspects: FxHashMap<Key, Duration>,
    /// Members passed over in the order until a time, because they are up but make no progress.
    idle: FxHashMap<Key, Duration>,
    strikes: FxHashMap<Key, u8>,
    shunned: FxHashSet<Key>,
    /// Members asked in vain per missing piece, in a transfer that others have finished.
    tried: FxHashMap<u32, usize>,
    /// Whether others held pieces before this transfer began, so that the member next in the order may hold a piece.
    joined: bool,
    next_ask: Duration,
    /// Where the last scan for unowned pieces ended.
    cursor: u32,
    started: Duration,
    /// Time of the last arrival.
    progress: Duration,
    steps: u64,
}

impl Planner {
    /// Plans the fetch of pieces, named by their keys, for the member `me` of `region`.
    ///
    /// `home` is the region nearest to the origin; empty means that each region reads the origin.
    pub fn new(
        me: Key,
        region: &str,
        home: &str,
        roster: &Roster,
        pieces: Vec<Key>,
        tuning: Tuning,
        now: Duration,
    ) -> Self {
        let count = pieces.len();
        let members = roster.keys_in_region(region);
        let mut planner = Self {
            me,
            tuning,
            ranking: Ranking::new(me, pieces, &members),
            neighbours: Neighbours::new(count),
            home: Vec::new(),
            regions: 1,
            held: Bitmap::new(count),
            flying: Bitmap::new(count),
            flights: Vec::new(),
            queue: VecDeque::new(),
            later: VecDeque::new(),
            extra: VecDeque::new(),
            sources: vec![Source::default(); tuning.source_count.max(1)],
            suspects: FxHashMap::default(),
            idle: FxHashMap::default(),
            strikes: FxHashMap::default(),
            shunned: FxHashSet::default(),
            tried: FxHashMap::default(),
            joined: false,
            next_ask: now,
            cursor: 0,
            started: now,
            progress: now,
            steps: 0,
        };
        planner.settle(region, home, roster, now);
        planner
    }

    /// Takes over a changed roster.
    pub fn set_roster(&mut self, region: &str, home: &str, roster: &Roster, now: Duration) {
        self.ranking.set_members(&roster.keys_in_region(region));
        self.settle(region, home, roster, now);
    }

    /// Marks a piece as held, such as one shared with another version.
    pub fn mark_held(&mut self, piece: u32) {
        self.held.insert(piece);
    }

    /// Returns the held pieces.
    pub fn held(&self) -> &Bitmap {
        &self.held
    }

    /// Tells whether all pieces are held.
    pub fn is_complete(&self) -> bool {
        self.held.count() == self.held.length()
    }

    /// Returns the keys of the neighbours of now.
    pub fn neighbours(&self) -> impl Iterator<Item = Key> + '_ {
        self.neighbours.all().iter().map(|neighbour| neighbour.key)
    }

    /// Tells whether a member is no longer asked because it sent corrupt chunks.
    pub fn is_banned(&self, key: Key) -> bool {
        self.shunned.contains(&key)
    }

    /// Returns the time of the last arrival.
    pub fn last_progress(&self) -> Duration {
        self.progress
    }

    /// Returns the decision steps made so far.
    pub fn steps(&self) -> u64 {
        self.steps + self.ranking.steps()
    }

    /// Changes how many fetches may run at once.
    pub fn set_slots(&mut self, slots: usize) {
        self.tuning.slots = slots.max(1);
    }

    /// Takes what a neighbour says of itself; sets of another shape are ignored.
    pub fn record_have(&mut self, key: Key, have: Have, serving: bool) {
        let first = self.neighbours.find(key).is_some_and(|known| !known.heard);
        if first && self.held.count() == 0 {
            self.joined |= matches!(&have, Have::Whole(set) if set.count() > 0);
        }
        match have {
            Have::Whole(set) if set.has_valid_shape(self.held.length()) => {
                self.neighbours.replace_have(key, set);
            }
            Have::Whole(_) => {}
            Have::Added(pieces) => self.neighbours.add_have(key, &pieces),
        }
        if let Some(neighbour) = self.neighbours.find(key) {
            neighbour.heard = true;
            neighbour.failures = 0;
            neighbour.serving = serving;
        }
    }

    /// Takes note that a neighbour could not be asked.
    pub fn record_no_answer(&mut self, key: Key, now: Duration) {
        self.fail_neighbour(key, now);
        if let Some(neighbour) = self.neighbours.find(key) {
            neighbour.heard = true;
        }
    }

    /// Decides the next fetch, or `None` until something changes.
    pub fn next_fetch<R: Rng>(&mut self, now: Duration, random: &mut R) -> Option<Fetch> {
        if self.flights.len() >= self.tuning.slots {
            return None;
        }
        self.requeue(now);
        let fetch = self
            .pick_duty(now)
            .or_else(|| self.pick_neighbour(now, random))
            .or_else(|| self.pick_extra(now))
            .or_else(|| self.pick_takeover(now))
            .or_else(|| self.pick_endgame(now))?;
        self.start(fetch, now);
        Some(fetch)
    }

    /// Takes the end of a fetch.
    pub fn finish_fetch(&mut self, fetch: Fetch, outcome: Outcome, now: Duration) {
        self.land(fetch);
        match (outcome, fetch.via) {
            (Outcome::Arrived, via) => self.arrive(fetch.piece, via, now),
            (Outcome::Corrupt, Via::Source(index)) => self.fail_source(index, fetch.piece, now),
            (Outcome::Corrupt, Via::Neighbour(key) | Via::Member(key)) => {
                self.strike(key, fetch, now);
            }
            (Outcome::Absent { .. }, Via::Neighbour(key)) => {
                self.neighbours.remove_have(key, fetch.piece);
            }
            (Outcome::Absent { idle }, Via::Member(key)) => {
                self.absent(key, fetch.piece, idle, now);
            }
            (Outcome::Busy { after }, Via::Source(index)) => {
                self.sources[index].until = now + after;
                self.queue.push_front(fetch.piece);
            }
            (Outcome::Busy { after }, Via::Neighbour(key)) => {
                if let Some(neighbour) = self.neighbours.find(key) {
                    neighbour.busy_until = now + after;
                }
                self.pass_over_spent(key, after, now);
            }
            (Outcome::Busy { after }, Via::Member(key)) => {
                self.pass_over_spent(key, after, now);
                self.put_off(fetch.piece, now);
            }
            (Outcome::Failed | Outcome::Absent { .. }, Via::Source(index)) => {
                self.fail_source(index, fetch.piece, now);
            }
            (Outcome::Failed, Via::Neighbour(key)) => self.fail_neighbour(key, now),
            (Outcome::Failed, Via::Member(key)) => {
                self.suspect(key, now);
                self.next_ask = now;
                self.put_off(fetch.piece, now);
            }
        }
    }

    fn settle(&mut self, region: &str, home: &str, roster: &Roster, now: Duration) {
        let regions = roster.regions();
        self.regions = regions.len().max(1);
        let bytes_first = self.tuning.policy == Policy::BytesFirst;
        self.home = if bytes_first && home != region {
            roster.keys_in_region(home)
        } else {
            Vec::new()
        };
        self.queue = self.ranking.pieces_below(1).into();
        self.later.clear();
        self.extra = if self.home.is_empty() {
            let readers = self.tuning.policy.readers_per_region(self.regions);
            self.ranking.pieces_below(readers).into()
        } else {
            VecDeque::new()
        };
        self.choose(now);
    }

    fn choose(&mut self, now: Duration) {
        let members = self.ranking.members().to_vec();
        let usable = |key: Key| !self.shunned.contains(&key) && !lists(&self.suspects, key, now);
        self.steps +=
            self.neighbours
                .choose(self.me, self.tuning.neighbour_count, &members, usable);
    }

    fn start(&mut self, fetch: Fetch, now: Duration) {
        self.flying.insert(fetch.piece);
        self.flights.push(Flight { fetch, since: now });
        if let Via::Source(index) = fetch.via {
            self.sources[index].flying += 1;
        }
    }

    fn requeue(&mut self, now: Duration) {
        while let Some((at, piece)) = self.later.front().copied() {
            if at > now {
                return;
            }
            self.later.pop_front();
            self.queue.push_back(piece);
        }
    }

    /// Tells whether a neighbour serves the version already, so that pieces are likely to be found at members.
    fn late(&self) -> bool {
        self.neighbours
            .all()
            .iter()
            .any(|neighbour| neighbour.serving)
    }

    /// Tells whether the order may name a member now.
    fn usable(&self, key: Key, now: Duration) -> bool {
        self.answers(key, now) && !lists(&self.idle, key, now)
    }

    /// Tells whether a member is to be asked, although it may make no progress.
    fn answers(&self, key: Key, now: Duration) -> bool {
        !lists(&self.suspects, key, now) && !self.shunned.contains(&key)
    }

    fn wants(&self, piece: u32) -> bool {
        !self.held.contains(piece) && !self.flying.contains(piece)
    }
}

/// Tells whether a member is listed until later than `now`.
fn lists(members: &FxHashMap<Key, Duration>, key: Key, now: Duration) -> bool {
    members.get(&key).is_some_and(|until| *until > now)
}
