//! Entries that share out a server's limit, without a network: the sum that reaches the server, and how much of the limit
//! is used, while messages are lost and entries start, stop, stand still and are cut off.

#![allow(clippy::unwrap_used)]

use std::{collections::VecDeque, net::SocketAddr, time::Duration};

use pistachiolug_gateway::{
    allowance::Allowance,
    coordination::{Allocations, coordinator_share},
    peers::Peers,
};
use pistachiolug_wire::{
    datagram::{Beacon, Demand, Grant},
    position::Position,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVER: u64 = 7;

const TICK: Duration = Duration::from_millis(5);

/// Interval of beacons and of repeated demands.
const ROUND: Duration = Duration::from_millis(30);

/// Window in which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Longest time from a grant's use to the request's arrival.
const MAX_SEND_MS: u64 = 20;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Condition {
    Running,
    /// Does nothing; messages wait.
    Frozen,
    /// Messages to and from it are lost.
    Cut,
    Down,
}

struct Entry {
    name: String,
    address: SocketAddr,
    peers: Peers,
    allocations: Allocations,
    allowance: Allowance,
    condition: Condition,
    /// When a fault last began or ended.
    disturbed_at: Duration,
    /// Requests per second of its callers.
    rate: f64,
    /// Requests that wait for grants, with their deadlines.
    waiting: VecDeque<Duration>,
}

enum Message {
    Beacon(Box<Beacon>),
    Demand(SocketAddr, Demand),
    Grant(Grant),
}

struct Simulation {
    now: Duration,
    random: ChaCha8Rng,
    entries: Vec<Entry>,
    /// Messages with their receivers and times of arrival.
    messages: Vec<(Duration, usize, Message)>,
    limit: f64,
    /// Share of the messages that are lost.
    loss: f64,
    /// Arrivals at the server of entries that no fault excuses.
    arrivals: Vec<Duration>,
    arrived: usize,
}

impl Simulation {
    fn new(seed: u64, count: usize, limit: f64, rate: f64) -> Self {
        let entries = (0..count).map(|index| Entry {
            name: format!("entry-{index}"),
            address: SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 80)),
            peers: Peers::new(&format!("entry-{index}"), region(index)),
            allocations: Allocations::default(),
            allowance: Allowance::default(),
            condition: Condition::Running,
            disturbed_at: Duration::ZERO,
            rate: rate / count as f64,
            waiting: VecDeque::new(),
        });
        Self {
            now: Duration::from_secs(100),
            random: ChaCha8Rng::seed_from_u64(seed),
            entries: entries.collect(),
            messages: Vec::new(),
            limit,
            loss: 0.01,
            arrivals: Vec::new(),
            arrived: 0,
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            self.deliver();
            let is_round = self.now.as_millis().is_multiple_of(ROUND.as_millis());
            for index in 0..self.entries.len() {
                if matches!(
                    self.entries[index].condition,
                    Condition::Frozen | Condition::Down
                ) {
                    continue;
                }
                self.call(index);
                if is_round {
                    self.run_round(index);
                }
            }
        }
    }

    fn set(&mut self, index: usize, condition: Condition) {
        let entry = &mut self.entries[index];
        if entry.condition == Condition::Down {
            // It starts anew and knows nothing.
            entry.peers = Peers::new(&entry.name, region(index));
            entry.allocations = Allocations::default();
            entry.allowance = Allowance::default();
        }
        entry.condition = condition;
        entry.disturbed_at = self.now;
        entry.waiting.clear();
    }

    fn deliver(&mut self) {
        let now = self.now;
        let entries = &self.entries;
        let mut due = Vec::new();
        self.messages
            .retain(|(_, to, _)| entries[*to].condition != Condition::Down);
        for (at, to, message) in std::mem::take(&mut self.messages) {
            if at <= now && self.entries[to].condition != Condition::Frozen {
                due.push((to, message));
            } else {
                self.messages.push((at, to, message));
            }
        }
        for (to, message) in due {
            let entry = &mut self.entries[to];
            match message {
                Message::Beacon(beacon) => entry.peers.record_beacon(*beacon, now),
                Message::Demand(from, demand) => {
                    if let Some(rate) = allocated(entry, self.limit, now) {
                        let allocations = &mut entry.allocations;
                        allocations.record_demand(from, &demand, rate, now);
                        self.grant(to, Some(from));
                    }
                }
                Message::Grant(grant) => self.take_grant(to, grant),
            }
        }
    }

    fn take_grant(&mut self, index: usize, grant: Grant) {
        let entry = &mut self.entries[index];
        entry.allowance.add(grant.count, self.now);
        let wait = Duration::from_millis(grant.wait_ms.into());
        entry.allowance.set_next(self.now + wait);
    }

    fn grant(&mut self, index: usize, asking: Option<SocketAddr>) {
        let (limit, now) = (self.limit, self.now);
        let entry = &mut self.entries[index];
        let rate = allocated(entry, limit, now);
        let mut grants = entry.allocations.grant(|_| rate, now);
        if let Some(asking) = asking.filter(|asking| !grants.iter().any(|(to, _)| to == asking)) {
            let refused = entry.allocations.refuse(asking, SERVER, now);
            grants.extend(refused.map(|grant| (asking, grant)));
        }
        let from = entry.address;
        for (address, grant) in grants {
            if address == from {
                self.take_grant(index, grant);
            } else {
                self.send(index, address, Message::Grant(grant));
            }
        }
    }

    fn send(&mut self, from: usize, address: SocketAddr, message: Message) {
        let to = self
            .entries
            .iter()
            .position(|entry| entry.address == address)
            .unwrap();
        let is_cut = [from, to].map(|index| self.entries[index].condition == Condition::Cut);
        if is_cut.contains(&true) || self.random.random_bool(self.loss) {
            return;
        }
        let delay = Duration::from_millis(self.random.random_range(1..4));
        self.messages.push((self.now + delay, to, message));
    }

    fn run_round(&mut self, index: usize) {
        let entry = &self.entries[index];
        let beacon = Beacon {
            name: entry.name.clone(),
            address: entry.address,
            region: region(index).to_owned(),
            in_touch: true,
            position: Position::default(),
            rows_age_ms: None,
            work: Vec::new(),
            shortages: Vec::new(),
            paces: Vec::new(),
        };
        let is_far_round = self.now.as_millis().is_multiple_of(4 * ROUND.as_millis());
        for to in 0..self.entries.len() {
            if to != index && (is_far_round || region(to) == region(index)) {
                let address = self.entries[to].address;
                self.send(index, address, Message::Beacon(Box::new(beacon.clone())));
            }
        }
        self.ask(index);
        self.grant(index, None);
    }

    fn ask(&mut self, index: usize) {
        let (limit, now) = (self.limit, self.now);
        let entry = &mut self.entries[index];
        if !entry.waiting.is_empty() {
            entry.allowance.want(1, now);
        }
        let Some(priority) = entry.allowance.demand(now) else {
            return;
        };
        entry.allowance.record_ask(now);
        let demand = Demand {
            incarnation: SERVER,
            count: entry.waiting.len().max(1) as u32,
            priority,
        };
        let address = entry.address;
        if let Some(coordinator) = entry.peers.coordinator(SERVER, now).address {
            self.send(index, coordinator, Message::Demand(address, demand));
        } else if let Some(rate) = allocated(entry, limit, now) {
            entry.allocations.record_demand(address, &demand, rate, now);
            self.grant(index, None);
        }
    }

    /// Brings requests of callers, and sends those for which there are grants.
    fn call(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        entry.waiting.retain(|deadline| now < *deadline);
        let arrives = self
            .random
            .random_bool((entry.rate * TICK.as_secs_f64()).min(1.0));
        if arrives {
            entry.waiting.push_back(now + Duration::from_millis(160));
            self.ask(index);
        }
        let entry = &mut self.entries[index];
        while !entry.waiting.is_empty() && entry.allowance.take(now).is_some() {
            entry.waiting.pop_front();
            let delay = Duration::from_millis(self.random.random_range(1..MAX_SEND_MS));
            let is_excused = entry.condition == Condition::Cut
                || now < entry.disturbed_at + Duration::from_secs(3);
            self.arrived += 1;
            if !is_excused {
                self.arrivals.push(now + delay);
            }
        }
    }

    /// Returns the largest number of counted arrivals in a window.
    fn most_arrivals(&self) -> usize {
        let mut arrivals = self.arrivals.clone();
        arrivals.sort_unstable();
        let in_window = |first: usize| {
            let end = arrivals[first] + WINDOW;
            arrivals[first..].partition_point(|at| *at < end)
        };
        (0..arrivals.len()).map(in_window).max().unwrap_or(0)
    }
}

fn region(index: usize) -> &'static str {
    ["north", "south", "coast"][index % 3]
}

fn allocated(entry: &Entry, limit: f64, now: Duration) -> Option<f64> {
    let coordinator = entry.peers.coordinator(SERVER, now);
    let share = coordinator_share(coordinator.heard, coordinator.members);
    coordinator.address.is_none().then_some(limit * share)
}

fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Guards against limits that are exceeded, or not used, because many entries share them.
#[test]
fn entries_use_a_limit_and_do_not_exceed_it() {
    const TIME: Duration = Duration::from_secs(20);
    for (count, limit, rate) in [
        (1, 2.2, 50.0),
        (1, 100.0, 300.0),
        (5, 0.3, 50.0),
        (5, 2.2, 20.0),
        (5, 2.2, 200.0),
        (5, 100.0, 300.0),
        (30, 0.3, 100.0),
        (30, 2.2, 100.0),
        (30, 30.0, 300.0),
        (30, 100.0, 400.0),
        (120, 10.0, 300.0),
    ] {
        let mut simulation = Simulation::new(1, count, limit, rate);
        // Beacons have arrived before callers come.
        let callers: Vec<f64> = simulation.entries.iter().map(|entry| entry.rate).collect();
        simulation
            .entries
            .iter_mut()
            .for_each(|entry| entry.rate = 0.0);
        simulation.run(Duration::from_secs(1));
        for (entry, rate) in simulation.entries.iter_mut().zip(callers) {
            entry.rate = rate;
        }

        simulation.run(TIME);

        let most = simulation.most_arrivals();
        let used = simulation.arrived as f64 / (limit * TIME.as_secs_f64());
        let name = format!("{count} entries, {limit} a second, {rate} callers a second");
        assert!(most <= allowed(limit), "{name}: {most} in a window");
        assert!(used >= 0.8, "{name}: {used:.2} of the limit used");
    }
}

/// Guards against limits that are exceeded because entries do not know of each other, or act on what was true before.
#[test]
fn faults_of_entries_do_not_exceed_a_limit() {
    for seed in 0..60 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let count = [2, 5, 12][random.random_range(0..3)];
        let limit = [0.3, 2.2, 10.0, 50.0][random.random_range(0..4)];
        let mut simulation = Simulation::new(seed, count, limit, limit * 6.0);
        simulation.loss = [0.0, 0.02, 0.2][random.random_range(0..3)];
        simulation.run(Duration::from_secs(2));
        for _ in 0..8 {
            let index = random.random_range(0..count);
            let conditions = [Condition::Frozen, Condition::Cut, Condition::Down];
            simulation.set(index, conditions[random.random_range(0..3)]);
            simulation.run(Duration::from_millis(random.random_range(200..4000)));
            simulation.set(index, Condition::Running);
            simulation.run(Duration::from_millis(random.random_range(200..3000)));
        }

        let most = simulation.most_arrivals();

        assert!(
            most <= allowed(limit),
            "seed {seed}: {most} in a window, {} allowed",
            allowed(limit)
        );
    }
}

/// Guards against groups of entries that each use the whole limit because they do not hear from each other.
#[test]
fn groups_that_do_not_hear_from_each_other_get_at_most_a_quarter_more() {
    for members in 1..40 {
        for heard in 1..=members {
            let rest = members - heard;
            let shares = coordinator_share(heard, members)
                + if rest > 0 {
                    coordinator_share(rest, members)
                } else {
                    0.0
                };
            assert!(shares <= 1.25, "{heard} of {members}: {shares}");
        }
    }
}
