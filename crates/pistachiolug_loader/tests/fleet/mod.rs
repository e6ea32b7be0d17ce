//! Simulated agents, links and origin.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use pistachiolug_loader::{
    fetch::TUNING,
    plan::{self, Candidate},
    schedule,
};
use pistachiolug_weights::{
    bitmap::Bitmap,
    order::Key,
    planner::{
        Have, Planner,
        fetch::{Fetch, Outcome, Via},
        policy::Scope,
    },
    roster::{Member, Roster},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const PIECES: usize = 48;

const PIECE_BYTES: f64 = 49_152.0;

/// Link of an agent in bytes per second.
const LINK_RATE: f64 = 9.4e6 / 8.0;

const GRACE: Duration = Duration::from_millis(9700);

const STEP: Duration = Duration::from_millis(10);

/// Interval at which an agent hears of its neighbours' pieces.
const REPORT_INTERVAL: Duration = Duration::from_millis(60);

/// Time after which a fetch from an agent that is gone fails.
const FAILURE_TIME: Duration = Duration::from_millis(300);

/// Number of uploads of an agent at the same time; further ones are told to come back.
const MAX_UPLOADS: usize = 3;

/// Number of fetches that an agent starts in one step, including those that are refused.
const MAX_STARTS: usize = 8;

/// Time of a load, with the notice before it.
const LOAD_TIME: Duration = Duration::from_millis(600);

const HOME: &str = "region-0";

/// Size of a simulated deployment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Size {
    pub(crate) agents: usize,
    pub(crate) regions: usize,
    pub(crate) origin_mbps: f64,
}

/// What fails for a while.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Fault {
    /// Agents are killed; what is staged beside them stays.
    Kill { share: f64 },
    /// The origin refuses connections.
    OriginAway,
}

#[derive(Debug, Default)]
struct Agent {
    is_dead: bool,
    planners: BTreeMap<u64, Planner>,
    held: BTreeMap<u64, Bitmap>,
    /// Pieces that were read from the origin and stay in memory.
    kept: BTreeSet<(u64, u32)>,
    reading: BTreeSet<(u64, u32)>,
    last_gained_at: BTreeMap<u64, Duration>,
    loaded: u64,
    /// Version whose load is planned, and when it ends.
    load: Option<(u64, Duration)>,
    loaded_at: BTreeMap<u64, Duration>,
}

#[derive(Debug)]
struct Flow {
    to: usize,
    version: u64,
    fetch: Fetch,
    /// Agent that sends; `None` for the origin.
    from: Option<usize>,
    bytes_left: f64,
    /// When the fetch fails, if nothing arrives.
    fails_at: Option<Duration>,
}

/// All agents of a deployment.
pub(crate) struct Fleet {
    size: Size,
    agents: Vec<Agent>,
    roster: Roster,
    by_key: BTreeMap<Key, usize>,
    announced: Vec<(u64, Duration)>,
    faults: Vec<(Fault, Duration, Duration)>,
    flows: Vec<Flow>,
    now: Duration,
    origin_bytes: f64,
    held_everywhere: BTreeMap<u64, Duration>,
    rng: ChaCha8Rng,
}

fn name(index: usize) -> String {
    format!("agent-{index}")
}

impl Fleet {
    pub(crate) fn new(size: Size, seed: u64) -> Self {
        let address = ([127, 0, 0, 1], 1).into();
        let member = |index| Member {
            name: name(index),
            address,
            region: format!("region-{}", index % size.regions),
        };
        let agent = |_| Agent {
            loaded: 1,
            ..Agent::default()
        };
        Self {
            size,
            agents: (0..size.agents).map(agent).collect(),
            roster: Roster::new((0..size.agents).map(member).collect()),
            by_key: (0..size.agents)
                .map(|index| (Key::of(&name(index)), index))
                .collect(),
            announced: Vec::new(),
            faults: Vec::new(),
            flows: Vec::new(),
            now: Duration::ZERO,
            origin_bytes: 0.0,
            held_everywhere: BTreeMap::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    pub(crate) fn announce(&mut self, version: u64, at: Duration) {
        self.announced.push((version, at));
    }

    pub(crate) fn schedule(&mut self, fault: Fault, from: Duration, until: Duration) {
        self.faults.push((fault, from, until));
    }

    /// Returns the least time in which all pieces leave the origin, or pass a link, with `left` until the deadline.
    pub(crate) fn bound(&self, left: Duration) -> Duration {
        let bytes = PIECES as f64 * PIECE_BYTES;
        let by_origin = bytes / self.origin_rate();
        let by_link = bytes / (LINK_RATE * plan::link_share(left));
        Duration::from_secs_f64(by_origin.max(by_link))
    }

    /// Returns when the last agent held all pieces of a version.
    pub(crate) fn held_everywhere_at(&self, version: u64) -> Option<Duration> {
        self.held_everywhere.get(&version).copied()
    }

    pub(crate) fn origin_copies(&self) -> f64 {
        self.origin_bytes / (PIECES as f64 * PIECE_BYTES)
    }

    /// Returns the share of the agents that had loaded a version, or a newer one, by a time.
    pub(crate) fn loaded_share(&self, version: u64, by: Duration) -> f64 {
        let in_time = self.agents.iter().filter(|agent| {
            let mut loads = agent.loaded_at.iter();
            loads.any(|(loaded, at)| *loaded >= version && *at <= by)
        });
        in_time.count() as f64 / self.agents.len() as f64
    }

    /// Returns the number of agents that loaded a version after its deadline, or not at all.
    pub(crate) fn late_loads(&self) -> usize {
        let newest = self.announced.iter().max().unwrap();
        let in_time = self.loaded_share(newest.0, newest.1 + GRACE);
        ((1.0 - in_time) * self.agents.len() as f64).round() as usize
    }

    pub(crate) fn run(&mut self, until: Duration) {
        while self.now < until {
            self.apply_faults();
            for index in 0..self.agents.len() {
                if !self.agents[index].is_dead {
                    self.step_agent(index);
                }
            }
            self.move_bytes();
            self.now += STEP;
            self.record_progress();
        }
    }

    fn origin_rate(&self) -> f64 {
        self.size.origin_mbps * 1e6 / 8.0
    }

    fn is_origin_away(&self) -> bool {
        self.faults.iter().any(|(fault, from, until)| {
            *fault == Fault::OriginAway && (*from..*until).contains(&self.now)
        })
    }

    fn apply_faults(&mut self) {
        for (fault, from, until) in self.faults.clone() {
            let Fault::Kill { share } = fault else {
                continue;
            };
            if from == self.now {
                for index in 0..self.agents.len() {
                    if self.rng.random_bool(share) {
                        self.kill(index);
                    }
                }
            }
            if until == self.now {
                self.agents
                    .iter_mut()
                    .for_each(|agent| agent.is_dead = false);
            }
        }
        if self.is_origin_away() {
            // Connections of the origin are reset.
            for flow in self.flows.iter_mut().filter(|flow| flow.from.is_none()) {
                flow.fails_at = flow.fails_at.or(Some(self.now));
            }
        }
    }

    fn kill(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        agent.is_dead = true;
        agent.planners.clear();
        agent.kept.clear();
        agent.reading.clear();
        agent.load = None;
        self.flows.retain(|flow| flow.to != index);
        for flow in &mut self.flows {
            if flow.from == Some(index) {
                flow.fails_at = flow.fails_at.or(Some(self.now));
            }
        }
    }

    fn candidates(&self, index: usize) -> Vec<Candidate> {
        let agent = &self.agents[index];
        let known = self.announced.iter().filter(|(_, at)| *at <= self.now);
        let ahead = known.filter(|(version, _)| *version > agent.loaded);
        let candidates = ahead.map(|(version, at)| {
            let held = agent.held.get(version).map_or(0, Bitmap::count);
            let unavailable = agent.planners.get(version).map(Planner::unavailable);
            Candidate {
                version: *version,
                due: *at + GRACE,
                pieces: PIECES,
                missing: PIECES - held,
                unavailable: unavailable.unwrap_or(PIECES).min(PIECES - held),
            }
        });
        candidates.collect()
    }

    fn step_agent(&mut self, index: usize) {
        self.finish_load(index);
        let candidates = self.candidates(index);
        let piece_time = PIECE_BYTES / (LINK_RATE * plan::link_share(Duration::ZERO));
        let piece_time = Duration::from_secs_f64(piece_time);
        let Some(first) = plan::choose(self.now, &candidates, piece_time) else {
            return;
        };
        let (first, newest) = (candidates[first], *candidates.last().unwrap());
        for version in [first.version, newest.version] {
            self.ensure_planner(index, version);
        }
        if (self.now.as_millis() / 10 + index as u128)
            .is_multiple_of(REPORT_INTERVAL.as_millis() / STEP.as_millis())
        {
            self.hear_neighbours(index);
        }
        self.plan_load(index, &first, &candidates);
        self.start_fetches(index, first.version, Some(Scope::All));
        if newest.version != first.version {
            let gained = &self.agents[index].last_gained_at;
            let gained = gained.get(&first.version).copied().unwrap_or_default();
            let idle = self.now.saturating_sub(gained);
            let left = newest.due.saturating_sub(self.now);
            let scope = plan::ahead_scope(&first, idle, left);
            self.start_fetches(index, newest.version, scope);
        }
    }

    fn ensure_planner(&mut self, index: usize, version: u64) {
        if self.agents[index].planners.contains_key(&version) {
            return;
        }
        let pieces = (0..PIECES).map(|piece| Key::of(&format!("{version}/{piece}")));
        let region = format!("region-{}", index % self.size.regions);
        let mut planner = Planner::new(
            Key::of(&name(index)),
            &region,
            HOME,
            &self.roster,
            pieces.collect(),
            TUNING,
            self.now,
        );
        let agent = &mut self.agents[index];
        let held = agent
            .held
            .entry(version)
            .or_insert_with(|| Bitmap::new(PIECES));
        held.iter().for_each(|piece| planner.mark_held(piece));
        agent.planners.insert(version, planner);
        agent.last_gained_at.insert(version, self.now);
    }

    fn hear_neighbours(&mut self, index: usize) {
        let versions: Vec<u64> = self.agents[index].planners.keys().copied().collect();
        for version in versions {
            let neighbours: Vec<Key> = self.agents[index].planners[&version].neighbours().collect();
            for key in neighbours {
                let peer = &self.agents[self.by_key[&key]];
                let is_dead = peer.is_dead;
                let none = || Bitmap::new(PIECES);
                let held = peer.held.get(&version).cloned().unwrap_or_else(none);
                let mut reading = none();
                for (_, piece) in peer.reading.iter().filter(|(read, _)| *read == version) {
                    reading.insert(*piece);
                }
                let serving = peer.loaded == version;
                let planner = self.agents[index].planners.get_mut(&version).unwrap();
                if is_dead {
                    planner.record_no_answer(key, self.now);
                } else {
                    planner.record_have(key, Have::Whole(held), serving);
                    planner.record_reading(key, reading);
                }
            }
        }
    }

    fn start_fetches(&mut self, index: usize, version: u64, scope: Option<Scope>) {
        let Some(scope) = scope else {
            return;
        };
        for _ in 0..MAX_STARTS {
            let (now, rng) = (self.now, &mut self.rng);
            let planner = self.agents[index].planners.get_mut(&version).unwrap();
            planner.set_scope(scope);
            let Some(fetch) = planner.next_fetch(now, rng) else {
                return;
            };
            let (from, fails_at) = match fetch.via {
                Via::Source(_) => {
                    self.agents[index].reading.insert((version, fetch.piece));
                    let is_away = self.is_origin_away();
                    (None, is_away.then_some(self.now + STEP))
                }
                Via::Neighbour(key) | Via::Member(key) => {
                    let from = self.by_key[&key];
                    if let Some(outcome) = self.refusal(from, version, fetch.piece) {
                        let planner = self.agents[index].planners.get_mut(&version).unwrap();
                        planner.finish_fetch(fetch, outcome, now);
                        continue;
                    }
                    let is_dead = self.agents[from].is_dead;
                    (Some(from), is_dead.then_some(self.now + FAILURE_TIME))
                }
            };
            self.flows.push(Flow {
                to: index,
                version,
                fetch,
                from,
                bytes_left: PIECE_BYTES,
                fails_at,
            });
        }
    }

    /// Returns what a live agent answers if it does not send a piece.
    fn refusal(&self, from: usize, version: u64, piece: u32) -> Option<Outcome> {
        let agent = &self.agents[from];
        if agent.is_dead {
            return None;
        }
        let held = agent.held.get(&version);
        if !held.is_some_and(|held| held.contains(piece)) {
            let gained = agent.last_gained_at.get(&version);
            let idle = gained.map(|gained| self.now.saturating_sub(*gained));
            return Some(Outcome::Absent { idle });
        }
        let uploads = self.flows.iter().filter(|flow| flow.from == Some(from));
        let after = Duration::from_millis(60);
        (uploads.count() >= MAX_UPLOADS).then_some(Outcome::Busy { after })
    }

    fn move_bytes(&mut self) {
        let mut sending = vec![0_u32; self.agents.len()];
        let mut receiving = vec![0_u32; self.agents.len()];
        let mut reading = 0_u32;
        for flow in self.flows.iter().filter(|flow| flow.fails_at.is_none()) {
            receiving[flow.to] += 1;
            match flow.from {
                Some(from) => sending[from] += 1,
                None => reading += 1,
            }
        }
        let newest = self.announced.iter().filter(|(_, at)| *at <= self.now);
        let left = newest
            .map(|(_, at)| (*at + GRACE).saturating_sub(self.now))
            .min();
        let link = LINK_RATE * plan::link_share(left.unwrap_or_default());
        let origin = self.origin_rate();
        let mut ended = Vec::new();
        for (index, flow) in self.flows.iter_mut().enumerate() {
            if let Some(fails_at) = flow.fails_at {
                if self.now >= fails_at {
                    ended.push((index, Outcome::Failed));
                }
                continue;
            }
            let up = match flow.from {
                Some(from) => link / f64::from(sending[from]),
                None => origin / f64::from(reading),
            };
            let bytes = up.min(link / f64::from(receiving[flow.to])) * STEP.as_secs_f64();
            if flow.from.is_none() {
                self.origin_bytes += bytes.min(flow.bytes_left);
            }
            flow.bytes_left -= bytes;
            if flow.bytes_left <= 0.0 {
                ended.push((index, Outcome::Arrived));
            }
        }
        for (index, outcome) in ended.into_iter().rev() {
            let flow = self.flows.swap_remove(index);
            self.finish(&flow, outcome);
        }
    }

    fn finish(&mut self, flow: &Flow, outcome: Outcome) {
        let now = self.now;
        let agent = &mut self.agents[flow.to];
        let piece = (flow.version, flow.fetch.piece);
        agent.reading.remove(&piece);
        if outcome == Outcome::Arrived {
            if flow.from.is_none() {
                agent.kept.insert(piece);
            }
            let held = agent.held.get_mut(&flow.version).unwrap();
            held.insert(flow.fetch.piece);
            agent.last_gained_at.insert(flow.version, now);
        }
        if let Some(planner) = agent.planners.get_mut(&flow.version) {
            planner.finish_fetch(flow.fetch, outcome, now);
        }
    }

    fn plan_load(&mut self, index: usize, first: &Candidate, candidates: &[Candidate]) {
        let is_planned = |load: Option<(u64, Duration)>| {
            load.is_some_and(|(version, _)| version == first.version)
        };
        if first.missing > 0 || is_planned(self.agents[index].load) {
            return;
        }
        let object = Key::of(&format!("m/{}", first.version));
        let own = Key::of(&name(index)).score(object);
        let ahead = self.by_key.keys().filter(|key| key.score(object) > own);
        let due = candidates.iter().map(|candidate| candidate.due).min();
        let left = due.unwrap().saturating_sub(self.now);
        let awaited = candidates.len() > 1;
        let delay = schedule::load_delay(left, ahead.count(), self.agents.len(), awaited);
        self.agents[index].load = Some((first.version, self.now + delay + LOAD_TIME));
    }

    fn finish_load(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        let Some((version, _)) = agent.load.filter(|(_, at)| *at <= self.now) else {
            return;
        };
        agent.load = None;
        agent.loaded = version;
        agent.loaded_at.insert(version, self.now);
        // The pieces of the next version take the places of those that are loaded.
        agent.planners.retain(|planned, _| *planned > version);
    }

    fn record_progress(&mut self) {
        for (version, _) in self.announced.clone() {
            if self.held_everywhere.contains_key(&version) {
                continue;
            }
            let is_whole = |agent: &Agent| {
                let held = agent.held.get(&version);
                held.is_some_and(|held| held.count() == PIECES)
            };
            if self.agents.iter().all(is_whole) {
                self.held_everywhere.insert(version, self.now);
            }
        }
    }
}
