//! Simulation of planners that exchange pieces in rounds, without I/O or real time.

use std::{net::SocketAddr, time::Duration};

use pistachiolug_weights::{
    order::Key,
    planner::{
        Have, Planner,
        fetch::{Fetch, Outcome, Via},
        policy::{Policy, Tuning},
    },
    roster::{Member, Roster},
};
use pistachiolug_wire::digest::Digest;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Simulated duration of one round.
const ROUND: Duration = Duration::from_millis(100);

/// Maximum number of concurrent fetches of a member; all of them end within one round.
const MEMBER_SLOTS: usize = 4;

/// Number of fetches that the origin answers in one round.
const ORIGIN_SLOTS: usize = 8;

pub(crate) fn name(index: usize) -> String {
    format!("instance-{index}")
}

pub(crate) fn key(index: usize) -> Key {
    Key::of(&name(index))
}

pub(crate) fn region(index: usize, regions: usize) -> &'static str {
    ["a", "b", "c"][index % regions]
}

pub(crate) fn roster(count: usize, regions: usize) -> Roster {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let member = |index| Member {
        name: name(index),
        address,
        region: region(index, regions).to_owned(),
    };
    Roster::new((0..count).map(member).collect())
}

pub(crate) fn pieces(count: usize) -> Vec<Key> {
    let digest = |index: usize| Digest::of(&index.to_le_bytes());
    (0..count).map(|index| Key::from(&digest(index))).collect()
}

pub(crate) fn tuning(policy: Policy) -> Tuning {
    Tuning {
        policy,
        slots: MEMBER_SLOTS,
        neighbour_slots: 2,
        ..Tuning::default()
    }
}

struct Node {
    planner: Planner,
    region: &'static str,
    alive: bool,
    corrupts: bool,
    uploaded: usize,
}

/// All members of one distribution.
pub(crate) struct Rounds {
    nodes: Vec<Node>,
    policy: Policy,
    regions: usize,
    pieces: usize,
    round: u32,
    rng: ChaCha8Rng,
    origin_reads: usize,
    crossings: usize,
    corrupt: usize,
    /// Whether the link between the regions is down.
    cut: bool,
}

impl Rounds {
    pub(crate) fn new(
        count: usize,
        regions: usize,
        pieces: usize,
        policy: Policy,
        seed: u64,
    ) -> Self {
        let mut rounds = Self {
            nodes: Vec::new(),
            policy,
            regions,
            pieces,
            round: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            origin_reads: 0,
            crossings: 0,
            corrupt: 0,
            cut: false,
        };
        rounds.join(count);
        rounds
    }

    /// Adds members until there are `count`.
    pub(crate) fn join(&mut self, count: usize) {
        let roster = roster(count, self.regions);
        let now = self.now();
        for node in &mut self.nodes {
            node.planner.set_roster(node.region, "a", &roster, now);
        }
        for index in self.nodes.len()..count {
            let region = region(index, self.regions);
            let pieces = pieces(self.pieces);
            let tuning = tuning(self.policy);
            let planner = Planner::new(key(index), region, "a", &roster, pieces, tuning, now);
            self.nodes.push(Node {
                planner,
                region,
                alive: true,
                corrupts: false,
                uploaded: 0,
            });
        }
    }

    pub(crate) fn kill(&mut self, index: usize) {
        self.nodes[index].alive = false;
    }

    pub(crate) fn corrupt(&mut self, index: usize) {
        self.nodes[index].corrupts = true;
    }

    /// Takes the link between the regions down or up; the origin is in the first region.
    pub(crate) fn cut(&mut self, cut: bool) {
        self.cut = cut;
    }

    /// Returns whether all members of a region are complete.
    pub(crate) fn region_complete(&self, region: &str) -> bool {
        let mut nodes = self.nodes.iter().filter(|node| node.region == region);
        nodes.all(|node| node.planner.is_complete())
    }

    /// Runs until all live members are complete, or for at most `most` rounds.
    pub(crate) fn run(&mut self, most: u32) {
        for _ in 0..most {
            if self.complete() {
                return;
            }
            self.round += 1;
            self.deliver_reports();
            let mut origin = ORIGIN_SLOTS;
            let mut started: Vec<(usize, Fetch)> = Vec::new();
            let now = self.now();
            for index in 0..self.nodes.len() {
                let node = &mut self.nodes[index];
                while node.alive
                    && let Some(fetch) = node.planner.next_fetch(now, &mut self.rng)
                {
                    started.push((index, fetch));
                }
            }
            for (index, fetch) in started {
                let outcome = self.outcome(index, fetch, &mut origin);
                self.nodes[index].planner.finish_fetch(fetch, outcome, now);
            }
        }
    }

    pub(crate) fn complete(&self) -> bool {
        self.nodes
            .iter()
            .all(|node| !node.alive || node.planner.is_complete())
    }

    pub(crate) fn origin_copies(&self) -> f64 {
        self.origin_reads as f64 / self.pieces as f64
    }

    /// Returns the number of copies that regions other than the first have pulled from outside.
    pub(crate) fn crossings(&self) -> f64 {
        self.crossings as f64 / self.pieces as f64
    }

    pub(crate) fn largest_upload(&self) -> f64 {
        let most = self
            .nodes
            .iter()
            .map(|node| node.uploaded)
            .max()
            .unwrap_or(0);
        most as f64 / self.pieces as f64
    }

    pub(crate) fn corrupt_chunks(&self) -> usize {
        self.corrupt
    }

    pub(crate) fn banning_members(&self, index: usize) -> usize {
        self.nodes
            .iter()
            .filter(|node| node.planner.is_banned(key(index)))
            .count()
    }

    fn now(&self) -> Duration {
        ROUND * self.round
    }

    fn find(&self, wanted: Key) -> usize {
        (0..self.nodes.len())
            .find(|index| key(*index) == wanted)
            .expect("members are known")
    }

    /// Delivers the reports of all neighbours to each live member.
    fn deliver_reports(&mut self) {
        let now = self.now();
        for index in 0..self.nodes.len() {
            let neighbours: Vec<Key> = self.nodes[index].planner.neighbours().collect();
            for neighbour in neighbours {
                let peer = &self.nodes[self.find(neighbour)];
                let reported = peer.alive.then(|| peer.planner.held().clone());
                let serving = peer.planner.is_complete();
                let planner = &mut self.nodes[index].planner;
                match reported {
                    Some(held) => planner.record_have(neighbour, Have::Whole(held), serving),
                    None => planner.record_no_answer(neighbour, now),
                }
            }
        }
    }

    fn outcome(&mut self, index: usize, fetch: Fetch, origin: &mut usize) -> Outcome {
        match fetch.via {
            Via::Source(_) if self.cut && self.nodes[index].region != "a" => Outcome::Failed,
            Via::Source(_) if *origin == 0 => Outcome::Busy { after: ROUND },
            Via::Source(_) => {
                *origin -= 1;
                self.origin_reads += 1;
                self.crossings += usize::from(self.nodes[index].region != "a");
                Outcome::Arrived
            }
            Via::Neighbour(peer) | Via::Member(peer) => {
                let from = self.find(peer);
                self.exchange(index, from, fetch.piece)
            }
        }
    }

    fn exchange(&mut self, to: usize, from: usize, piece: u32) -> Outcome {
        let idle = self
            .now()
            .saturating_sub(self.nodes[from].planner.last_progress());
        let crosses = self.nodes[from].region != self.nodes[to].region;
        let peer = &mut self.nodes[from];
        if !peer.alive || (self.cut && crosses) {
            return Outcome::Failed;
        }
        if !peer.planner.held().contains(piece) {
            return Outcome::Absent { idle: Some(idle) };
        }
        if peer.corrupts {
            self.corrupt += 1;
            return Outcome::Corrupt;
        }
        peer.uploaded += 1;
        self.crossings += usize::from(crosses);
        Outcome::Arrived
    }
}
