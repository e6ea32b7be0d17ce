//! Queueing model of a whole deployment that drives the real decisions with seeded arrivals.

mod layout;

use std::{cmp::Reverse, collections::BinaryHeap, collections::VecDeque, time::Duration};

use pistachiolug_routing::{
    affinity,
    choice::{self, AgentLoad, Candidate},
    subset,
};
use pistachiolug_wire::load::Load;
use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

pub(crate) use layout::{Fleet, Size};

/// Calls that one backend server runs at once.
const SLOTS: usize = 16;

/// Prefixes that one engine's cache holds.
const CACHED_PREFIXES: usize = 64;

/// Distinct prefixes; the n-th is asked for about 1/n as often as the first.
const PREFIXES: f64 = 5_000.0;

/// Mean duration of a call in seconds.
const MEAN_SECONDS: f64 = 0.5;

/// How an entry chooses among its subset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// Any agent.
    Random,
    /// Fewest calls of this entry.
    LeastOutstanding,
    /// The better of two random agents by the product's estimate (Mitzenmacher, 2001).
    TwoChoices,
    /// The product's choice without prefix affinity.
    Estimate,
    /// The product's choice.
    Affinity,
}

/// What a run showed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outcome {
    /// Largest mean number of calls at an agent over the mean of all agents.
    pub(crate) evenness: f64,
    /// Queueing time that 95 in 100 calls stay under, in milliseconds.
    pub(crate) p95_ms: f64,
    /// Queueing time that 99 in 100 calls stay under, in milliseconds.
    pub(crate) p99_ms: f64,
    /// Share of calls whose prefix was cached.
    pub(crate) hits: f64,
    /// Share of calls that stayed in the entry's zone.
    pub(crate) home: f64,
}

#[derive(Default)]
struct Server {
    running: usize,
    waiting: VecDeque<Call>,
    cached: VecDeque<u32>,
    /// Sum of calls over the arrivals, for the mean.
    seen: u64,
}

#[derive(Clone, Copy)]
struct Call {
    entry: usize,
    slot: usize,
    agent: usize,
    arrived: u64,
    micros: u64,
}

/// Runs `arrivals` calls at a share of the deployment's capacity.
pub(crate) fn run(
    size: &Size,
    policy: Policy,
    utilization: f64,
    arrivals: u64,
    seed: u64,
) -> Outcome {
    let fleet = Fleet::new(size);
    let mut run = Run::new(fleet.subsets(size.subset), &fleet, seed);
    let capacity = (fleet.agents.len() * SLOTS) as f64 / MEAN_SECONDS;
    let rate = capacity * utilization;
    let mut arrival_random = ChaCha8Rng::seed_from_u64(seed);
    let mut now = 0;
    for _ in 0..arrivals {
        now += exponential(&mut arrival_random, 1e6 / rate);
        let entry = arrival_random.random_range(0..fleet.entries.len());
        let prefix = prefix(&mut arrival_random);
        let micros = exponential(&mut arrival_random, 1e6 * MEAN_SECONDS);
        run.finish_until(now);
        let slot = run.choose(policy, entry, prefix, now);
        run.start(&fleet, entry, slot, prefix, now, micros);
    }
    run.outcome(arrivals)
}

struct Run {
    subsets: Vec<Vec<usize>>,
    homes: Vec<Vec<bool>>,
    gauges: Vec<Vec<AgentLoad>>,
    names: Vec<u64>,
    servers: Vec<Server>,
    ends: BinaryHeap<Reverse<(u64, u64)>>,
    running: rustc_hash::FxHashMap<u64, Call>,
    next: u64,
    waits: Vec<u64>,
    hits: u64,
    home: u64,
    random: ChaCha8Rng,
}

impl Run {
    fn new(subsets: Vec<Vec<usize>>, fleet: &Fleet, seed: u64) -> Self {
        let homes = fleet.entries.iter().zip(&subsets);
        let homes = homes.map(|((_, place), subset)| {
            let agents = subset.iter();
            agents
                .map(|agent| fleet.agents[*agent].1 == *place)
                .collect()
        });
        Self {
            homes: homes.collect(),
            gauges: subsets
                .iter()
                .map(|subset| vec![AgentLoad::default(); subset.len()])
                .collect(),
            subsets,
            names: fleet
                .agents
                .iter()
                .map(|(name, _)| subset::hash(name.as_bytes()))
                .collect(),
            servers: fleet.agents.iter().map(|_| Server::default()).collect(),
            ends: BinaryHeap::new(),
            running: rustc_hash::FxHashMap::default(),
            next: 0,
            waits: Vec::new(),
            hits: 0,
            home: 0,
            random: ChaCha8Rng::seed_from_u64(seed ^ 1),
        }
    }

    fn choose(&mut self, policy: Policy, entry: usize, prefix: u32, now: u64) -> usize {
        let gauges = &self.gauges[entry];
        let time = Duration::from_micros(now);
        match policy {
            Policy::Random => self.random.random_range(0..gauges.len()),
            Policy::LeastOutstanding => {
                let least = gauges
                    .iter()
                    .map(|gauge| gauge.own_calls)
                    .min()
                    .unwrap_or(0);
                let calm = (0..gauges.len()).filter(|slot| gauges[*slot].own_calls == least);
                let calm: Vec<usize> = calm.collect();
                calm.choose(&mut self.random).copied().unwrap_or(0)
            }
            Policy::TwoChoices => {
                let calls = choice::estimate(gauges, time);
                let first = self.random.random_range(0..calls.len());
                let second = self.random.random_range(0..calls.len());
                if calls[second] < calls[first] {
                    second
                } else {
                    first
                }
            }
            Policy::Estimate | Policy::Affinity => {
                let estimates = choice::estimate(gauges, time).into_iter();
                let candidates: Vec<Candidate> = estimates
                    .zip(&self.homes[entry])
                    .map(|(calls, home)| Candidate {
                        calls,
                        is_local: *home,
                        is_avoided: false,
                    })
                    .collect();
                let names = self.subsets[entry].iter().map(|agent| self.names[*agent]);
                let preferred = (policy == Policy::Affinity)
                    .then(|| affinity::prefer(&prefix.to_le_bytes(), names))
                    .flatten();
                choice::choose(&candidates, preferred, &mut self.random).unwrap_or(0)
            }
        }
    }

    fn start(
        &mut self,
        fleet: &Fleet,
        entry: usize,
        slot: usize,
        prefix: u32,
        now: u64,
        micros: u64,
    ) {
        let agent = self.subsets[entry][slot];
        self.gauges[entry][slot].own_calls += 1;
        self.home += u64::from(fleet.entries[entry].1 == fleet.agents[agent].1);
        let server = &mut self.servers[agent];
        if server.cached.contains(&prefix) {
            self.hits += 1;
        }
        server.cached.retain(|cached| *cached != prefix);
        server.cached.push_back(prefix);
        if server.cached.len() > CACHED_PREFIXES {
            server.cached.pop_front();
        }
        let call = Call {
            entry,
            slot,
            agent,
            arrived: now,
            micros,
        };
        if server.running < SLOTS {
            server.running += 1;
            self.run_call(call, now);
        } else {
            server.waiting.push_back(call);
        }
        for server in &mut self.servers {
            server.seen += (server.running + server.waiting.len()) as u64;
        }
    }

    fn run_call(&mut self, call: Call, now: u64) {
        self.waits.push(now - call.arrived);
        self.ends.push(Reverse((now + call.micros, self.next)));
        self.running.insert(self.next, call);
        self.next += 1;
    }

    fn finish_until(&mut self, now: u64) {
        while let Some(&Reverse((at, id))) = self.ends.peek() {
            if at > now {
                return;
            }
            self.ends.pop();
            let Some(call) = self.running.remove(&id) else {
                continue;
            };
            let server = &mut self.servers[call.agent];
            server.running -= 1;
            let next = server.waiting.pop_front();
            server.running += usize::from(next.is_some());
            let load = Load {
                queued: server.waiting.len() as u32,
                running: server.running as u32,
                ..Load::default()
            };
            let gauge = &mut self.gauges[call.entry][call.slot];
            gauge.own_calls -= 1;
            gauge.record_report(&load, Duration::from_micros(at));
            if let Some(next) = next {
                self.run_call(next, at);
            }
        }
    }

    fn outcome(mut self, arrivals: u64) -> Outcome {
        self.waits.sort_unstable();
        let at = |share: f64| {
            let index = (self.waits.len() as f64 * share) as usize;
            self.waits[index.min(self.waits.len() - 1)] as f64 / 1000.0
        };
        let seen: Vec<u64> = self.servers.iter().map(|server| server.seen).collect();
        let mean = seen.iter().sum::<u64>() as f64 / seen.len() as f64;
        Outcome {
            evenness: seen.iter().copied().max().unwrap_or(0) as f64 / mean,
            p95_ms: at(0.95),
            p99_ms: at(0.99),
            hits: self.hits as f64 / arrivals as f64,
            home: self.home as f64 / arrivals as f64,
        }
    }
}

fn exponential(random: &mut ChaCha8Rng, mean: f64) -> u64 {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    (-uniform.ln() * mean) as u64
}

/// Draws a prefix with a frequency of about one over its rank.
fn prefix(random: &mut ChaCha8Rng) -> u32 {
    let uniform: f64 = random.random_range(0.0..1.0);
    PREFIXES.powf(uniform) as u32
}
