//! Cold servers without a network: how many requests all entries together send them, and that callers do not wait for them
//! without need.

#![allow(clippy::unwrap_used)]

mod support;

use std::{collections::VecDeque, net::SocketAddr, sync::Arc, time::Duration};

use pistachiolug_gateway::{
    cold::{Bound, Policy},
    config::{Config, Engine, Kind},
    peers::Peers,
    pool::{Choice, Pool, Requirements},
    server::Record,
};
use pistachiolug_routing::rate_limit;
use pistachiolug_wire::position::Position;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

use support::{MODEL, SERVICE, engine, location, parts, record, route};

const ENTRIES: usize = 14;
const SERVERS: usize = 34;

/// Load of the demanding deployments in requests per second.
const LOAD: f64 = 420.0;

/// Load that asks for far more than all cold servers take.
const FLOOD: f64 = 6000.0;

const PER_SECOND: f64 = 32.0;
const START_TIME: Duration = Duration::from_secs(5);
const BOUND: Bound = Bound {
    overrun: 1.5,
    slack: 5.0,
};

/// Largest number of requests of a cold server in any second.
const MAX_PER_SECOND: usize = 53;

const TICK: Duration = Duration::from_millis(5);
const ROUND: Duration = Duration::from_millis(30);

/// Time for which a server runs a request.
const RUN_TIME: Duration = Duration::from_millis(150);

/// Longest time from the choice of a server to the request's arrival there.
const MAX_SEND_MS: u64 = 20;

fn config(cold: Option<Policy>) -> Config {
    let mut parts = parts(route(Kind::Stream, 1));
    parts.services[0].cold = cold;
    Config::new(parts)
}

fn policy(per_second: f64) -> Policy {
    Policy {
        per_second,
        start_time: START_TIME,
    }
}

fn busy_engine() -> Engine {
    Engine {
        slots: 12,
        prompt_tokens_per_ms: 1000.0,
        ..engine()
    }
}

fn server(index: usize, cold_for: Option<Duration>) -> Record {
    Record {
        cold_for,
        ..record(
            &format!("i-{index}"),
            SocketAddr::from(([10, 0, 0, index as u8], 80)),
        )
    }
}

fn requirements() -> Requirements {
    Requirements {
        service: Arc::from(SERVICE),
        model: Some(Arc::from(MODEL)),
        prompt_tokens: 100,
        ..Requirements::default()
    }
}

fn pool(entry: u64, registered: usize, per_second: f64, now: Duration) -> Pool {
    let mut pool = Pool::default();
    pool.apply_config(&config(Some(policy(per_second))), entry, Some(&BOUND), now);
    pool.set_registered(registered as u32);
    pool
}

/// Chooses servers until none is open, and returns how many requests each server got.
fn send_all(pool: &mut Pool, now: Duration) -> FxHashMap<String, usize> {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut sent = FxHashMap::default();
    while let Some(choice) = choose(pool, now, &mut random) {
        *sent.entry(choice.record.id.to_string()).or_default() += 1;
        pool.start_request(&choice.record.id, 0);
    }
    sent
}

fn choose(pool: &mut Pool, now: Duration, random: &mut ChaCha8Rng) -> Option<Choice> {
    let (requirements, engine) = (requirements(), busy_engine());
    let mut choice = pool.choose(&requirements, Some(&engine), &location(), now, random)?;
    pool.use_grant(&mut choice);
    Some(choice)
}

struct Entry {
    number: u64,
    pool: Pool,
    is_suspended: bool,
    /// Arrivals of requests that wait.
    waiting: VecDeque<Duration>,
    /// Requests that were assigned, with the times at which they are sent and those of their arrivals.
    assigned: Vec<(Duration, Choice, Duration)>,
    /// Requests that servers run, with the times of their ends.
    running: Vec<(Duration, Arc<str>)>,
}

struct Simulation {
    now: Duration,
    random: ChaCha8Rng,
    entries: Vec<Entry>,
    per_second: f64,
    /// Load of all entries together in requests per second.
    load: f64,
    revision: u64,
    /// Newest rows.
    rows: Vec<Record>,
    /// Arrivals by server.
    arrivals: Vec<Vec<Duration>>,
    /// Longest time for which a request waited for a server.
    longest_wait: Duration,
}

impl Simulation {
    fn new(seed: u64, load: f64) -> Self {
        let now = Duration::from_secs(100);
        let mut simulation = Self {
            now,
            random: ChaCha8Rng::seed_from_u64(seed),
            entries: Vec::new(),
            per_second: PER_SECOND,
            load,
            revision: 1,
            rows: (0..SERVERS)
                .map(|index| server(index, Some(Duration::ZERO)))
                .collect(),
            arrivals: vec![Vec::new(); SERVERS],
            longest_wait: Duration::ZERO,
        };
        let entries = (0..ENTRIES).map(|number| simulation.start_entry(number as u64));
        simulation.entries = entries.collect();
        simulation
    }

    fn start_entry(&self, number: u64) -> Entry {
        let mut pool = pool(number, ENTRIES, self.per_second, self.now);
        for row in &self.rows {
            pool.put(row.clone(), Position::without_era(self.revision), self.now);
        }
        Entry {
            number,
            pool,
            is_suspended: false,
            waiting: VecDeque::new(),
            assigned: Vec::new(),
            running: Vec::new(),
        }
    }

    /// Writes the row of a server, which all entries that run read at once.
    fn write(&mut self, index: usize, cold_for: Option<Duration>) {
        self.rows[index] = server(index, cold_for);
        self.revision += 1;
        let position = Position::without_era(self.revision);
        for entry in self.entries.iter_mut().filter(|entry| !entry.is_suspended) {
            entry.pool.put(self.rows[index].clone(), position, self.now);
        }
    }

    fn run(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now += TICK;
            for index in 0..self.entries.len() {
                self.run_entry(index);
            }
        }
    }

    fn run_entry(&mut self, index: usize) {
        let (now, entry) = (self.now, &mut self.entries[index]);
        if entry.is_suspended {
            return;
        }
        if now.as_millis().is_multiple_of(ROUND.as_millis()) {
            entry.pool.record_round(now);
        }
        let expected = self.load / ENTRIES as f64 * TICK.as_secs_f64();
        let count = expected as usize + usize::from(self.random.random_bool(expected.fract()));
        entry.waiting.extend(std::iter::repeat_n(now, count));
        // Under a flood, callers leave.
        entry.waiting.truncate(200);
        entry.running.retain(|(end_at, id)| {
            if now >= *end_at {
                entry.pool.end_request(id, 0);
            }
            now < *end_at
        });
        for (send_at, choice, arrived_at) in std::mem::take(&mut entry.assigned) {
            if now < send_at {
                entry.assigned.push((send_at, choice, arrived_at));
            } else if entry.pool.is_within_limit(&choice, now) {
                let id = &choice.record.id;
                let server: usize = id.trim_start_matches("i-").parse().unwrap();
                self.arrivals[server].push(now);
                entry.running.push((now + RUN_TIME, Arc::clone(id)));
            } else {
                entry.pool.end_request(&choice.record.id, 0);
                entry.waiting.push_front(arrived_at);
            }
        }
        while let Some(arrived_at) = entry.waiting.front().copied() {
            let Some(choice) = choose(&mut entry.pool, now, &mut self.random) else {
                break;
            };
            entry.waiting.pop_front();
            entry.pool.start_request(&choice.record.id, 0);
            self.longest_wait = self.longest_wait.max(now.saturating_sub(arrived_at));
            let delay = Duration::from_millis(self.random.random_range(0..MAX_SEND_MS));
            entry.assigned.push((now + delay, choice, arrived_at));
        }
        for arrived_at in &entry.waiting {
            self.longest_wait = self.longest_wait.max(now.saturating_sub(*arrived_at));
        }
    }

    /// Forgets the arrivals so far.
    fn count_anew(&mut self) {
        self.arrivals = vec![Vec::new(); SERVERS];
        self.longest_wait = Duration::ZERO;
    }

    fn most_in_a_second(&self) -> usize {
        let most = self.arrivals.iter().map(|arrivals| {
            let counts = arrivals.iter().enumerate().map(|(index, first)| {
                let rest = arrivals[index..].iter();
                rest.take_while(|at| **at < *first + Duration::from_secs(1))
                    .count()
            });
            counts.max().unwrap_or(0)
        });
        most.max().unwrap_or(0)
    }

    fn fewest(&self) -> usize {
        self.arrivals.iter().map(Vec::len).min().unwrap()
    }
}

/// Guards against cold servers that crash because entries that don't hear from each other, that were suspended or that have just
/// started each send as much as if they were alone, and against cold servers that get much less than they take.
#[test]
fn entries_with_faults_keep_the_bound_of_cold_servers() {
    const FAULTS: u32 = 24;
    for seed in 0..3 {
        let mut simulation = Simulation::new(seed, FLOOD);
        for index in 0..SERVERS {
            simulation.write(index, Some(Duration::from_secs(60)));
        }
        simulation.run(Duration::from_secs(1));
        simulation.count_anew();
        let mut restarts = 0;

        for _ in 0..FAULTS {
            for _ in 0..5 {
                let index = simulation.random.random_range(0..ENTRIES);
                if simulation.random.random_bool(0.5) {
                    simulation.entries[index].is_suspended ^= true;
                } else {
                    let number = simulation.entries[index].number;
                    simulation.entries[index] = simulation.start_entry(number);
                    restarts += 1;
                }
            }
            let step = simulation.random.random_range(50..700);
            simulation.run(Duration::from_millis(step));
        }
        for entry in &mut simulation.entries {
            entry.is_suspended = false;
        }
        simulation.run(Duration::from_secs(1));
        let most = simulation.most_in_a_second();
        simulation.count_anew();
        simulation.run(Duration::from_secs(4));

        assert!(most <= MAX_PER_SECOND, "{most}, {restarts} restarts");
        let most = simulation.most_in_a_second();
        assert!(most <= MAX_PER_SECOND, "{most} without faults");
        let fewest = simulation.fewest() as f64;
        assert!(fewest > 0.9 * 4.0 * PER_SECOND, "{fewest} in 4 s");
    }
}

/// Guards against requests that are assigned, wait while their entry is suspended, and all reach the cold server when it goes on.
#[test]
fn entries_that_go_on_together_send_no_burst() {
    let mut simulation = Simulation::new(5, FLOOD);
    for index in 0..SERVERS {
        simulation.write(index, Some(Duration::from_secs(60)));
    }
    simulation.run(Duration::from_secs(2));
    simulation.count_anew();
    for pause_ms in [100, 240, 300, 700, 3000] {
        for entry in &mut simulation.entries {
            entry.is_suspended = true;
        }
        simulation.run(Duration::from_millis(pause_ms));
        for entry in &mut simulation.entries {
            entry.is_suspended = false;
        }
        simulation.run(Duration::from_millis(600));
    }

    let most = simulation.most_in_a_second();

    assert!(most <= MAX_PER_SECOND, "{most}");
}

/// Guards against an entry whose row expires while it is cut off from the store: it goes on with its share, so the others must not
/// take it.
#[test]
fn entries_whose_rows_are_gone_count_for_a_while() {
    let now = Duration::from_secs(100);
    let mut peers = Peers::new("entry-0", "sea");
    for index in 1..ENTRIES {
        let address = SocketAddr::from(([10, 0, 1, index as u8], 80));
        peers.add(&format!("entry-{index}"), address);
    }

    peers.remove("entry-1", now);
    peers.remove("entry-2", now);
    peers.remove("entry-unknown", now);
    peers.add("entry-2", SocketAddr::from(([10, 0, 1, 2], 80)));

    assert_eq!(peers.count(), ENTRIES - 1);
    assert_eq!(
        peers.count_registered(now + Duration::from_secs(50)),
        ENTRIES
    );
    assert_eq!(
        peers.count_registered(now + Duration::from_secs(70)),
        ENTRIES - 1
    );
}

/// Guards against requests that wait, though cold servers together take far more than the load, because all shares start empty.
#[test]
fn all_servers_may_become_cold_at_once_under_load() {
    let mut simulation = Simulation::new(1, LOAD);
    simulation.run(Duration::from_secs(2));
    simulation.count_anew();

    for index in 0..SERVERS {
        simulation.write(index, Some(Duration::from_secs(60)));
    }
    simulation.run(Duration::from_secs(5));

    let most = simulation.most_in_a_second();
    assert!(most <= MAX_PER_SECOND, "{most}");
    let wait = simulation.longest_wait;
    assert!(wait <= Duration::from_millis(100), "{wait:?}");
}

/// Guards against requests that wait for a cold server while warm ones are free, and against a cold server that gets none.
#[test]
fn a_cold_server_among_warm_ones_delays_nobody_and_gets_requests() {
    let mut simulation = Simulation::new(2, LOAD);
    simulation.write(7, Some(Duration::from_secs(60)));
    simulation.run(Duration::from_secs(1));
    simulation.count_anew();

    simulation.run(Duration::from_secs(5));

    assert_eq!(simulation.longest_wait, Duration::ZERO);
    let cold = &simulation.arrivals[7];
    assert!(cold.len() > 20, "{} requests in 5 s", cold.len());
    simulation.arrivals = vec![cold.clone()];
    assert!(simulation.most_in_a_second() <= MAX_PER_SECOND);
}

/// Guards against a server that is flooded when it becomes cold again, or that is held back when its row says that it is warm.
#[test]
fn a_server_may_become_cold_again() {
    let now = Duration::from_secs(100);
    let later = now + Duration::from_secs(10);
    let mut pool = pool(1, ENTRIES, PER_SECOND, now);
    let put = |pool: &mut Pool, revision, cold_for, now| {
        pool.put(server(1, cold_for), Position::without_era(revision), now);
    };
    put(&mut pool, 1, Some(Duration::from_secs(3)), now);
    let at_start = pool.cold_left("i-1", now + Duration::from_secs(2));
    let warm = pool.cold_left("i-1", now + Duration::from_secs(4));

    put(&mut pool, 2, Some(Duration::from_secs(3)), later);
    let again = send_all(&mut pool, later).len();
    // The same row, read again, says nothing new.
    put(
        &mut pool,
        2,
        Some(Duration::from_secs(3)),
        later + Duration::from_secs(2),
    );
    let reread = pool.cold_left("i-1", later + Duration::from_secs(3));
    put(
        &mut pool,
        3,
        Some(Duration::from_secs(3)),
        later + Duration::from_secs(4),
    );
    put(
        &mut pool,
        4,
        Some(Duration::ZERO),
        later + Duration::from_secs(5),
    );
    let told_warm = pool.cold_left("i-1", later + Duration::from_secs(5));

    assert_eq!(at_start, Some(Duration::from_secs(1)));
    assert_eq!(warm, None);
    assert_eq!(again, 0);
    assert_eq!(reread, None);
    assert_eq!(told_warm, None);
}

/// Guards against servers that are flooded because their rows say nothing, and against those that stay limited for good or without
/// reason.
#[test]
fn rows_that_say_nothing_make_only_new_servers_cold() {
    let now = Duration::from_secs(100);
    let later = now + Duration::from_secs(10);
    let mut pool = pool(1, ENTRIES, PER_SECOND, now);
    let row = |index| server(index, None);

    pool.put(row(1), Position::without_era(1), now);
    pool.put(row(2), Position::without_era(2), later);
    let heartbeat = later + Duration::from_secs(2);
    pool.put(row(1), Position::without_era(3), heartbeat);
    pool.put(row(2), Position::without_era(4), heartbeat);

    assert_eq!(pool.cold_left("i-1", now), None);
    assert_eq!(pool.cold_left("i-1", heartbeat), None);
    assert_eq!(
        pool.cold_left("i-2", heartbeat),
        Some(Duration::from_secs(3))
    );
    assert_eq!(pool.cold_left("i-2", later + START_TIME), None);
    let config = config(None);
    pool.apply_config(&config, 1, Some(&BOUND), heartbeat);
    assert_eq!(pool.cold_left("i-2", heartbeat), None);
}

/// Guards against a limit on deployments whose settings state no bound.
#[test]
fn without_a_bound_there_is_no_limit() {
    let now = Duration::from_secs(100);
    let mut pool = Pool::default();
    pool.apply_config(&config(Some(policy(PER_SECOND))), 1, None, now);
    pool.set_registered(ENTRIES as u32);
    pool.put(
        server(1, Some(Duration::from_secs(60))),
        Position::without_era(1),
        now,
    );

    let sent = send_all(&mut pool, now + Duration::from_secs(1));

    assert_eq!(sent["i-1"], 11);
    assert_eq!(pool.count_cold(now), None);
}

/// Guards against a server that became cold while an entry was suspended and is flooded when the entry goes on with old rows.
#[test]
fn servers_count_as_cold_after_a_suspension() {
    let now = Duration::from_secs(100);
    let resumed = now + Duration::from_secs(8);
    let mut pool = pool(1, ENTRIES, PER_SECOND, now);
    pool.put(
        server(1, Some(Duration::ZERO)),
        Position::without_era(1),
        now,
    );
    pool.record_round(now);
    let in_time = pool.record_round(now + Duration::from_millis(60));

    let late = pool.record_round(resumed);

    assert!(!in_time && late);
    assert!(pool.cold_left("i-1", resumed).is_some());
    assert!(send_all(&mut pool, resumed).is_empty());
    assert_eq!(
        pool.cold_left("i-1", resumed + Duration::from_secs(1)),
        None
    );
}

/// Guards against servers of a zone that all entries fill at once when its evacuation ends.
#[test]
fn servers_of_a_zone_that_is_open_again_count_as_cold() {
    let now = Duration::from_secs(100);
    let reopened = now + Duration::from_secs(20);
    let mut pool = pool(1, ENTRIES, PER_SECOND, now);
    let other = Record {
        zone: Arc::from("coast"),
        ..server(2, Some(Duration::ZERO))
    };
    let warm = server(1, Some(Duration::ZERO));
    pool.put(warm.clone(), Position::without_era(1), now);
    pool.put(other, Position::without_era(1), now);

    pool.reopen_zone("north", reopened);
    let heartbeat = reopened + Duration::from_secs(1);
    pool.put(warm, Position::without_era(2), heartbeat);

    assert_eq!(
        pool.cold_left("i-1", heartbeat),
        Some(Duration::from_secs(4))
    );
    assert_eq!(pool.cold_left("i-2", heartbeat), None);
}

/// Guards against a rate that is too low for each entry to get a token a second, so that callers would wait for tokens that other
/// entries hold.
#[test]
fn a_low_rate_is_used_with_grants_of_the_coordinator() {
    let now = Duration::from_secs(100);
    let mut pool = pool(1, ENTRIES, 8.0, now);
    let row = server(1, Some(Duration::from_secs(60)));
    let incarnation = row.incarnation();
    pool.put(row, Position::without_era(1), now);
    let later = now + Duration::from_secs(3);
    let without = send_all(&mut pool, later).len();
    let wanted = pool.want(
        &requirements(),
        Some(&busy_engine()),
        &location(),
        None,
        later,
        &mut ChaCha8Rng::seed_from_u64(1),
    );
    let demands = pool.take_demands(later).len();

    pool.add_grants(incarnation, 2, Duration::ZERO, later);

    assert_eq!((without, wanted, demands), (0, true, 1));
    assert_eq!(pool.allocatable_rate(incarnation, later), Some(8.0));
    assert_eq!(send_all(&mut pool, later)["i-1"], 2);
}

/// Guards against stated limits that are kept by other rules than those of cold servers, and against the higher one of both.
#[test]
fn stated_limits_are_split_as_those_of_cold_servers_are() {
    let now = Duration::from_secs(100);
    let later = now + Duration::from_secs(3);
    let rows = [
        // Split evenly among 4 entries: 12 less the agent's share of 8 in 100 leaves 2.8 a second for each.
        (Some(12.0), None, Some(11.04), 1),
        (Some(12.0), Some(Duration::from_secs(60)), Some(11.04), 1),
        (
            Some(1000.0),
            Some(Duration::from_secs(60)),
            Some(PER_SECOND),
            2,
        ),
        (Some(2.0), Some(Duration::from_secs(60)), Some(1.8), 0),
        (None, None, None, 11),
    ];
    for (stated, cold_for, rate, sent) in rows {
        let mut pool = pool(1, 4, PER_SECOND, now);
        let row = Record {
            cold_for,
            ..server(1, Some(Duration::ZERO))
        };
        pool.put(row.clone(), Position::without_era(1), now);
        let statement = rate_limit::Statement {
            per_second: stated,
            made_after: now,
            made_before: now,
        };
        pool.record_limit(&row, statement, now);

        let found = pool.get("i-1").unwrap().rate(later);
        let counted = send_all(&mut pool, later).values().sum::<usize>();

        assert_eq!(found, rate, "{stated:?} {cold_for:?}");
        assert_eq!(counted, sent, "{stated:?} {cold_for:?}");
    }
}

/// Guards against rows that are logged as new listings at each heartbeat because the time for which a server stays cold runs down.
#[test]
fn rows_that_differ_only_in_the_time_left_are_the_same_listing() {
    let leaving = Record {
        leaving: true,
        ..server(1, Some(Duration::from_secs(3)))
    };

    assert!(
        server(1, Some(Duration::from_secs(3)))
            .is_same_listing(&server(1, Some(Duration::from_secs(2))))
    );
    assert!(server(1, Some(Duration::from_secs(3))).is_same_listing(&server(1, None)));
    assert!(!server(1, Some(Duration::from_secs(3))).is_same_listing(&leaving));
}
