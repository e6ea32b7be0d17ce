//! Placement with and without prompt prefixes in a model of engines in simulated time.
//!
//! The figures in `docs/design/prompt-prefixes.md` come from `cargo test -p pistachiolug_gateway --test prefix_gain --
//! --nocapture`.

#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod support;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    sync::Arc,
    time::Duration,
};

use pistachiolug_gateway::{
    config::Engine,
    pool::{Choice, Pool, Requirements},
    prefix_cache::{Expectation, Prompt},
};
use pistachiolug_wire::datagram::Work;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

use support::{MODEL, POSITION, SERVICE, location, record};

const SERVERS: usize = 8;

/// Requests per second of all entries together; the engines spend about half of their time on reading prompts if none holds
/// a prefix.
const REQUESTS_PER_SECOND: f64 = 40.0;

/// Time after which requests count in the result, so that the test of the service is over.
const WARM_UP: Duration = Duration::from_secs(120);

const END: Duration = Duration::from_secs(240);

/// Milliseconds between the events of an answer.
const PASS_MS: f64 = 52.0;

const EVENTS: f64 = 18.0;

fn engine() -> Engine {
    Engine {
        slots: 12,
        prompt_tokens_per_ms: 31.9,
        step_ms: 7.4,
        step_ms_per_call: 0.0387,
        stride: 7.0,
        models: Vec::new(),
    }
}

/// What callers send and what engines keep.
#[derive(Debug, Clone, Copy)]
struct Load {
    entries: usize,
    /// Tokens that one engine keeps; 0 if it keeps none.
    memory: u32,
    /// Tokens of the part that all requests share.
    shared: u32,
    /// Sessions at a time; 0 if each request has a part of its own.
    sessions: usize,
}

const SESSIONS: Load = Load {
    entries: 1,
    memory: 200_000,
    shared: 400,
    sessions: 150,
};

/// Tokens by which a session grows with each request, and its last size.
const GROWTH: u32 = 300;
const LAST_SIZE: u32 = 6000;

/// Outcome of one run, of the requests after the warm-up.
#[derive(Debug)]
struct Outcome {
    served: usize,
    refused: usize,
    mean_ms: f64,
    /// Mean of the requests during the warm-up, in which services are tested.
    early_mean_ms: f64,
    p90_ms: f64,
    /// Share of the prompts' tokens that engines had to read.
    read_share: f64,
    /// Share of the requests that the busiest server got.
    busiest_share: f64,
    expected_tokens: u64,
    wrong_tokens: u64,
    phase: Option<&'static str>,
}

/// Engine that reads prompts one after the other and keeps the most recently used parts.
#[derive(Debug, Default)]
struct Model {
    free_at: Duration,
    /// Parts with their tokens, least recently used first.
    kept: VecDeque<(u64, u32)>,
}

impl Model {
    /// Reads a prompt that arrives now; returns when it is read, and the tokens that had to be read.
    fn read(&mut self, parts: &[(u64, u32)], memory: u32, now: Duration) -> (Duration, u32) {
        let mut to_read = 0;
        for (id, tokens) in parts {
            let kept = self.kept.iter().position(|(kept, _)| kept == id);
            let kept = kept.and_then(|index| self.kept.remove(index));
            // What follows a part that is not held has to be read.
            let held = if to_read > 0 {
                0
            } else {
                kept.map_or(0, |(_, held)| held.min(*tokens))
            };
            to_read += tokens - held;
        }
        self.kept.extend(parts);
        while self.kept.iter().map(|(_, tokens)| tokens).sum::<u32>() > memory {
            self.kept.pop_front();
        }
        let read_ms = f64::from(to_read) / engine().prompt_tokens_per_ms;
        self.free_at = self.free_at.max(now) + Duration::from_secs_f64(read_ms / 1000.0);
        (self.free_at, to_read)
    }
}

/// Request that a server has.
#[derive(Debug)]
struct Sent {
    entry: usize,
    choice: Choice,
    expectation: Option<Expectation>,
    tokens: u32,
    at: Duration,
}

fn pool() -> Pool {
    let mut pool = Pool::default();
    for index in 0..SERVERS {
        let address = format!("10.0.0.{index}:80").parse().unwrap();
        pool.put(
            record(&format!("i-{index}"), address),
            POSITION,
            Duration::ZERO,
        );
    }
    pool
}

/// Tells an entry of the open requests of the others.
fn exchange_work(pools: &mut [Pool], entry: usize) {
    let mut sum: FxHashMap<u32, Work> = FxHashMap::default();
    let others = pools
        .iter()
        .enumerate()
        .filter(|(index, _)| *index != entry);
    for (server, work) in others.flat_map(|(_, pool)| pool.own_work()) {
        let known = sum.entry(server).or_default();
        known.calls += work.calls;
        known.prompt += work.prompt;
    }
    let peers = pools.len() as u32 - 1;
    pools[entry].set_peer_work(peers, &sum);
}

/// Request before it is placed.
#[derive(Debug)]
struct Arrival {
    at: Duration,
    number: u64,
    entry: usize,
    /// Ids and tokens of the parts of the prompt.
    parts: [(u64, u32); 2],
    /// Milliseconds until the engine looks for new requests, once in each pass.
    pass_wait_ms: f64,
}

/// Source of requests; the same for both runs of a comparison.
#[derive(Debug)]
struct Traffic {
    load: Load,
    random: ChaCha8Rng,
    now: Duration,
    number: u64,
    /// Ids and sizes of the sessions.
    sessions: Vec<(u64, u32)>,
    next_id: u64,
}

impl Traffic {
    fn new(load: Load) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(11);
        let sessions = (0..load.sessions as u64)
            .map(|id| (id + 1, random.random_range(1..=LAST_SIZE / GROWTH) * GROWTH))
            .collect();
        Self {
            load,
            random,
            now: Duration::ZERO,
            number: 0,
            sessions,
            next_id: 1_000_000,
        }
    }

    fn next(&mut self) -> Arrival {
        let gap_s = -self.random.random_range(f64::EPSILON..1.0).ln() / REQUESTS_PER_SECOND;
        self.now += Duration::from_secs_f64(gap_s);
        self.number += 1;
        let own = if self.sessions.is_empty() {
            self.next_id += 1;
            (self.next_id, self.random.random_range(200..400))
        } else {
            let index = self.random.random_range(0..self.sessions.len());
            let session = &mut self.sessions[index];
            session.1 += GROWTH;
            if session.1 > LAST_SIZE {
                self.next_id += 1;
                *session = (self.next_id, GROWTH);
            }
            *session
        };
        Arrival {
            at: self.now,
            number: self.number,
            entry: self.random.random_range(0..self.load.entries),
            parts: [(0, self.load.shared), own],
            pass_wait_ms: self.random.random_range(0.0..PASS_MS),
        }
    }
}

/// Entries and engines, and what is counted of them.
#[derive(Debug)]
struct Fleet {
    load: Load,
    is_weighed: bool,
    pools: Vec<Pool>,
    models: Vec<Model>,
    /// Times of first events (`false`) and ends (`true`), with the number of the request.
    due: BinaryHeap<Reverse<(Duration, u64, bool)>>,
    sent: BTreeMap<u64, Sent>,
    early_ms: Vec<f64>,
    times_ms: Vec<f64>,
    by_server: [usize; SERVERS],
    refused: usize,
    prompt_tokens: u64,
    read_tokens: u64,
    expected_tokens: u64,
    wrong_tokens: u64,
}

impl Fleet {
    fn new(load: Load, is_weighed: bool) -> Self {
        Self {
            load,
            is_weighed,
            pools: (0..load.entries).map(|_| pool()).collect(),
            models: (0..SERVERS).map(|_| Model::default()).collect(),
            due: BinaryHeap::new(),
            sent: BTreeMap::new(),
            early_ms: Vec::new(),
            times_ms: Vec::new(),
            by_server: [0; SERVERS],
            refused: 0,
            prompt_tokens: 0,
            read_tokens: 0,
            expected_tokens: 0,
            wrong_tokens: 0,
        }
    }

    /// Brings the first events and ends of answers that are due.
    fn advance(&mut self, now: Duration) {
        while self.due.peek().is_some_and(|Reverse((at, ..))| *at <= now) {
            let Some(Reverse((at, number, is_end))) = self.due.pop() else {
                break;
            };
            if !is_end {
                self.record_first_event(number, at);
            } else if let Some(request) = self.sent.remove(&number) {
                let server = &request.choice.record.id;
                self.pools[request.entry].end_request(server, 0);
            }
        }
    }

    fn record_first_event(&mut self, number: u64, at: Duration) {
        let request = &self.sent[&number];
        let (pool, choice) = (&mut self.pools[request.entry], &request.choice);
        let taken_ms = at.saturating_sub(request.at).as_secs_f64() * 1000.0;
        let is_early = request.at < WARM_UP;
        let expectation = request.expectation.as_ref();
        let saving_ms = expectation.map_or(0.0, |known| known.saving_ms);
        let expected_ms = choice.expected_wait_ms - saving_ms;
        pool.finish_prompt(&choice.record.id, request.tokens);
        pool.update_slowdown(&choice.record.id, expected_ms, taken_ms);
        if let Some(known) = expectation {
            let service = Arc::from(SERVICE);
            let verdict = pool.record_prefix_time(&service, choice, known, taken_ms, at);
            if !is_early {
                self.expected_tokens += u64::from(verdict.expected_tokens);
                self.wrong_tokens += u64::from(verdict.wrong_tokens);
            }
        }
        let times_ms = if is_early {
            &mut self.early_ms
        } else {
            &mut self.times_ms
        };
        times_ms.push(taken_ms);
    }

    fn requirements(&self, arrival: &Arrival) -> Requirements {
        let parts = arrival.parts.iter();
        let parts = parts.map(|(id, size)| (id.to_string(), Some(*size)));
        Requirements {
            service: Arc::from(SERVICE),
            model: Some(Arc::from(MODEL)),
            prompt_tokens: arrival.parts.iter().map(|(_, size)| size).sum(),
            prompt: if self.is_weighed {
                Prompt::new(MODEL, parts)
            } else {
                Prompt::default()
            },
            ..Requirements::default()
        }
    }

    /// Places a request; a refused one does not come again.
    fn place(&mut self, arrival: &Arrival) {
        let (now, engine) = (arrival.at, engine());
        let is_early = now < WARM_UP;
        exchange_work(&mut self.pools, arrival.entry);
        let requirements = self.requirements(arrival);
        let pool = &mut self.pools[arrival.entry];
        // A generator of its own, so that both runs of a comparison choose by the same numbers.
        let mut random = ChaCha8Rng::seed_from_u64(arrival.number);
        let choice = pool.choose(&requirements, Some(&engine), &location(), now, &mut random);
        let Some(choice) = choice else {
            self.refused += usize::from(!is_early);
            return;
        };
        let tokens = requirements.prompt_tokens;
        pool.start_request(&choice.record.id, tokens);
        let expectation = pool.expect_prefix(&requirements, Some(&engine), &choice);
        let index: usize = choice.record.id[2..].parse().unwrap();
        let (read_at, read) = self.models[index].read(&arrival.parts, self.load.memory, now);
        if !is_early {
            self.by_server[index] += 1;
            self.prompt_tokens += u64::from(tokens);
            self.read_tokens += u64::from(read);
        }
        let begin_ms = arrival.pass_wait_ms + engine.step_ms;
        let first_at = read_at + Duration::from_secs_f64(begin_ms / 1000.0);
        let end_at = first_at + Duration::from_secs_f64(EVENTS * PASS_MS / 1000.0);
        self.due.push(Reverse((first_at, arrival.number, false)));
        self.due.push(Reverse((end_at, arrival.number, true)));
        let request = Sent {
            entry: arrival.entry,
            choice,
            expectation,
            tokens,
            at: now,
        };
        self.sent.insert(arrival.number, request);
    }
}

fn run(load: Load, is_weighed: bool) -> Outcome {
    let mut traffic = Traffic::new(load);
    let mut fleet = Fleet::new(load, is_weighed);
    while traffic.now < END {
        let arrival = traffic.next();
        fleet.advance(arrival.at);
        fleet.place(&arrival);
    }
    let mut times_ms = fleet.times_ms;
    times_ms.sort_by(f64::total_cmp);
    let served: usize = fleet.by_server.iter().sum();
    let busiest = fleet.by_server.iter().max().unwrap();
    let evidence = fleet.pools[0].prefix_evidence(SERVICE);
    Outcome {
        served,
        refused: fleet.refused,
        mean_ms: mean(&times_ms),
        early_mean_ms: mean(&fleet.early_ms),
        p90_ms: times_ms[times_ms.len() * 9 / 10],
        read_share: fleet.read_tokens as f64 / fleet.prompt_tokens as f64,
        busiest_share: *busiest as f64 / served as f64,
        expected_tokens: fleet.expected_tokens,
        wrong_tokens: fleet.wrong_tokens,
        phase: evidence.map(|evidence| evidence.phase(traffic.now).as_str()),
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

/// Runs a load with and without the weighing of prefixes and prints both outcomes.
fn compare(name: &str, load: Load) -> (Outcome, Outcome) {
    let (without, with) = (run(load, false), run(load, true));
    for (kind, outcome) in [("without", &without), ("with", &with)] {
        println!(
            "{name} | {kind} | mean {:.1} ms (warm-up {:.1} ms) | 90% {:.1} ms | read {:.3} | busiest {:.3} | served {} | refused {} | wrong {} of {} | {:?}",
            outcome.mean_ms,
            outcome.early_mean_ms,
            outcome.p90_ms,
            outcome.read_share,
            outcome.busiest_share,
            outcome.served,
            outcome.refused,
            outcome.wrong_tokens,
            outcome.expected_tokens,
            outcome.phase,
        );
    }
    (without, with)
}

/// Guards against estimates that save nothing where servers do keep the prompts of sessions.
#[test]
fn sessions_are_answered_sooner_where_servers_keep_prefixes() {
    let (without, with) = compare("sessions", SESSIONS);

    assert_eq!(with.phase, Some("weighing"));
    assert!(with.mean_ms < without.mean_ms * 0.8);
    assert!(with.read_share < without.read_share * 0.7);
    assert!(with.refused <= without.refused);
    assert!(with.wrong_tokens * 4 < with.expected_tokens);
}

/// Guards against harm where the requests of a session reach several entries, each of which knows only its own.
#[test]
fn sessions_that_reach_several_entries_are_not_answered_later() {
    let (without, with) = compare(
        "sessions at four entries",
        Load {
            entries: 4,
            ..SESSIONS
        },
    );

    assert!(with.mean_ms <= without.mean_ms * 1.02);
    assert!(with.refused <= without.refused);
}

/// Guards against a server that is overloaded because it holds a part that all requests share.
#[test]
fn a_part_that_all_share_does_not_overload_its_holders() {
    let (without, with) = compare(
        "one shared part",
        Load {
            shared: 2000,
            sessions: 0,
            ..SESSIONS
        },
    );

    assert!(with.mean_ms <= without.mean_ms * 1.02);
    assert!(with.busiest_share < 1.3 / SERVERS as f64);
}

/// Guards against costs where servers keep less than one prompt, or nothing.
#[test]
fn servers_that_keep_too_little_cost_nothing() {
    for (name, memory) in [("small memory", 3000), ("nothing kept", 0)] {
        let (without, with) = compare(name, Load { memory, ..SESSIONS });

        assert_eq!(with.phase, Some("resting"), "{name}");
        assert_eq!(with.expected_tokens, 0, "{name}");
        assert!(with.early_mean_ms <= without.early_mean_ms * 1.02, "{name}");
        // After the test each request goes where it would go otherwise.
        assert!((with.mean_ms - without.mean_ms).abs() < 1e-6, "{name}");
        assert_eq!(with.served, without.served, "{name}");
        assert_eq!(with.refused, without.refused, "{name}");
    }
}
