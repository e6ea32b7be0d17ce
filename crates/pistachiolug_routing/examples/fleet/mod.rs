//! Discrete-event simulation of a deployment: seeded arrivals, the crate's own choices, and a queue at each agent.

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

/// Number of calls that one backend server runs at once.
const SLOTS: usize = 16;

/// Number of prefixes that one engine's cache holds; the least recently used one is evicted.
const CACHED_PREFIXES: usize = 64;

/// Number of distinct prefixes; the n-th is about 1/n as frequent as the first.
const PREFIXES: f64 = 5_000.0;

/// Mean duration of a call in seconds.
const MEAN_SECONDS: f64 = 0.5;

/// Policy by which an entry chooses an agent of its subset.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// A random agent.
    Random,
    /// The agent with the fewest open calls of this entry.
    LeastOutstanding,
    /// The one of two random agents with the lower estimate (Mitzenmacher, 2001).
    TwoChoices,
    /// [`choice::choose`] without prefix affinity.
    Estimate,
    /// [`choice::choose`] with prefix affinity, as entries do it.
    Affinity,
}

/// Result of a simulation.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Outcome {
    /// Mean number of calls at the busiest agent, divided by the mean over all agents.
    pub(crate) max_to_mean: f64,
    /// 95th percentile of the queueing time in milliseconds.
    pub(crate) p95_ms: f64,
    /// 99th percentile of the queueing time in milliseconds.
    pub(crate) p99_ms: f64,
    /// Share of calls whose prefix was in the engine's cache, in 0..=1.
    pub(crate) hit_share: f64,
    /// Share of calls that ran in the entry's zone, in 0..=1.
    pub(crate) local_share: f64,
}

#[derive(Default)]
struct Server {
    running: usize,
    waiting: VecDeque<Call>,
    /// Prefixes in the engine's cache, least recently used first.
    cached_prefixes: VecDeque<u32>,
    /// Sum of the numbers of calls here at each arrival, for the mean.
    call_sum: u64,
}

#[derive(Clone, Copy)]
struct Call {
    entry: usize,
    /// Index of the agent in the entry's subset.
    subset_index: usize,
    agent: usize,
    arrived_us: u64,
    duration_us: u64,
}

/// Simulates `arrivals` calls that use the share `utilization` of the deployment's capacity.
pub(crate) fn run(
    size: &Size,
    policy: Policy,
    utilization: f64,
    arrivals: u64,
    seed: u64,
) -> Outcome {
    let fleet = Fleet::new(size);
    let mut simulation = Simulation::new(fleet.subsets(size.subset), &fleet, seed);
    let capacity = (fleet.agents.len() * SLOTS) as f64 / MEAN_SECONDS;
    let rate = capacity * utilization;
    let mut arrival_random = ChaCha8Rng::seed_from_u64(seed);
    let mut now_us = 0;
    for _ in 0..arrivals {
        now_us += exponential(&mut arrival_random, 1e6 / rate);
        let entry = arrival_random.random_range(0..fleet.entries.len());
        let prefix = draw_prefix(&mut arrival_random);
        let duration_us = exponential(&mut arrival_random, 1e6 * MEAN_SECONDS);
        simulation.finish_until(now_us);
        let subset_index = simulation.choose(policy, entry, prefix, now_us);
        simulation.start(&fleet, entry, subset_index, prefix, now_us, duration_us);
    }
    simulation.outcome(arrivals)
}

struct Simulation {
    /// Indices of the agents in each entry's subset.
    subsets: Vec<Vec<usize>>,
    /// Whether each agent of each subset is in the entry's zone.
    is_local: Vec<Vec<bool>>,
    /// Load of each agent of each subset, as seen by the entry.
    loads: Vec<Vec<AgentLoad>>,
    /// Hashes of the agents' names.
    name_hashes: Vec<u64>,
    servers: Vec<Server>,
    /// End times of the running calls with their ids, earliest first.
    ends: BinaryHeap<Reverse<(u64, u64)>>,
    running: rustc_hash::FxHashMap<u64, Call>,
    next_id: u64,
    /// Queueing times of the started calls in microseconds.
    waits_us: Vec<u64>,
    cache_hits: u64,
    local_calls: u64,
    random: ChaCha8Rng,
}

impl Simulation {
    fn new(subsets: Vec<Vec<usize>>, fleet: &Fleet, seed: u64) -> Self {
        let is_local = fleet.entries.iter().zip(&subsets);
        let is_local = is_local.map(|((_, place), subset)| {
            let agents = subset.iter();
            agents
                .map(|agent| fleet.agents[*agent].1 == *place)
                .collect()
        });
        Self {
            is_local: is_local.collect(),
            loads: subsets
                .iter()
                .map(|subset| vec![AgentLoad::default(); subset.len()])
                .collect(),
            subsets,
            name_hashes: fleet
                .agents
                .iter()
                .map(|(name, _)| subset::hash(name.as_bytes()))
                .collect(),
            servers: fleet.agents.iter().map(|_| Server::default()).collect(),
            ends: BinaryHeap::new(),
            running: rustc_hash::FxHashMap::default(),
            next_id: 0,
            waits_us: Vec::new(),
            cache_hits: 0,
            local_calls: 0,
            random: ChaCha8Rng::seed_from_u64(seed ^ 1),
        }
    }

    /// Returns the index of the chosen agent in the entry's subset.
    fn choose(&mut self, policy: Policy, entry: usize, prefix: u32, now_us: u64) -> usize {
        let loads = &self.loads[entry];
        let now = Duration::from_micros(now_us);
        match policy {
            Policy::Random => self.random.random_range(0..loads.len()),
            Policy::LeastOutstanding => {
                let fewest = loads.iter().map(|load| load.own_calls).min().unwrap_or(0);
                let least_loaded =
                    (0..loads.len()).filter(|index| loads[*index].own_calls == fewest);
                let least_loaded: Vec<usize> = least_loaded.collect();
                least_loaded.choose(&mut self.random).copied().unwrap_or(0)
            }
            Policy::TwoChoices => {
                let estimates = choice::estimate(loads, now);
                let first = self.random.random_range(0..estimates.len());
                let second = self.random.random_range(0..estimates.len());
                if estimates[second] < estimates[first] {
                    second
                } else {
                    first
                }
            }
            Policy::Estimate | Policy::Affinity => {
                let estimates = choice::estimate(loads, now).into_iter();
                let candidates: Vec<Candidate> = estimates
                    .zip(&self.is_local[entry])
                    .map(|(calls, is_local)| Candidate {
                        calls,
                        is_local: *is_local,
                        is_avoided: false,
                    })
                    .collect();
                let name_hashes = self.subsets[entry]
                    .iter()
                    .map(|agent| self.name_hashes[*agent]);
                let preferred = (policy == Policy::Affinity)
                    .then(|| affinity::prefer(&prefix.to_le_bytes(), name_hashes))
                    .flatten();
                choice::choose(&candidates, preferred, &mut self.random).unwrap_or(0)
            }
        }
    }

    fn start(
        &mut self,
        fleet: &Fleet,
        entry: usize,
        subset_index: usize,
        prefix: u32,
        now_us: u64,
        duration_us: u64,
    ) {
        let agent = self.subsets[entry][subset_index];
        self.loads[entry][subset_index].own_calls += 1;
        self.local_calls += u64::from(fleet.entries[entry].1 == fleet.agents[agent].1);
        let server = &mut self.servers[agent];
        if server.cached_prefixes.contains(&prefix) {
            self.cache_hits += 1;
        }
        server.cached_prefixes.retain(|cached| *cached != prefix);
        server.cached_prefixes.push_back(prefix);
        if server.cached_prefixes.len() > CACHED_PREFIXES {
            server.cached_prefixes.pop_front();
        }
        let call = Call {
            entry,
            subset_index,
            agent,
            arrived_us: now_us,
            duration_us,
        };
        if server.running < SLOTS {
            server.running += 1;
            self.run_call(call, now_us);
        } else {
            server.waiting.push_back(call);
        }
        for server in &mut self.servers {
            server.call_sum += (server.running + server.waiting.len()) as u64;
        }
    }

    fn run_call(&mut self, call: Call, now_us: u64) {
        self.waits_us.push(now_us - call.arrived_us);
        self.ends
            .push(Reverse((now_us + call.duration_us, self.next_id)));
        self.running.insert(self.next_id, call);
        self.next_id += 1;
    }

    fn finish_until(&mut self, now_us: u64) {
        while let Some(&Reverse((end_us, id))) = self.ends.peek() {
            if end_us > now_us {
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
            let report = Load {
                queued: server.waiting.len() as u32,
                running: server.running as u32,
                ..Load::default()
            };
            let load = &mut self.loads[call.entry][call.subset_index];
            load.own_calls -= 1;
            load.record_report(&report, Duration::from_micros(end_us));
            if let Some(next) = next {
                self.run_call(next, end_us);
            }
        }
    }

    fn outcome(mut self, arrivals: u64) -> Outcome {
        self.waits_us.sort_unstable();
        let quantile_ms = |share: f64| {
            let index = (self.waits_us.len() as f64 * share) as usize;
            self.waits_us[index.min(self.waits_us.len() - 1)] as f64 / 1000.0
        };
        let call_sums: Vec<u64> = self.servers.iter().map(|server| server.call_sum).collect();
        let mean = call_sums.iter().sum::<u64>() as f64 / call_sums.len() as f64;
        Outcome {
            max_to_mean: call_sums.iter().copied().max().unwrap_or(0) as f64 / mean,
            p95_ms: quantile_ms(0.95),
            p99_ms: quantile_ms(0.99),
            hit_share: self.cache_hits as f64 / arrivals as f64,
            local_share: self.local_calls as f64 / arrivals as f64,
        }
    }
}

/// Draws from an exponential distribution.
fn exponential(random: &mut ChaCha8Rng, mean: f64) -> u64 {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    (-uniform.ln() * mean) as u64
}

/// Draws a prefix whose frequency is about one over its rank.
fn draw_prefix(random: &mut ChaCha8Rng) -> u32 {
    let uniform: f64 = random.random_range(0.0..1.0);
    PREFIXES.powf(uniform) as u32
}
