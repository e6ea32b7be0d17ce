//! Paces of servers that slow down at random, and what callers get from them.

// The figures of the runs are printed for docs/design/pace.md.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

mod support;

use std::{sync::Arc, time::Duration};

use pistachiolug_gateway::{
    config::{Engine, Kind},
    peers::Peers,
    pool::{Choice, Location, Pool, Requirements},
    server::Record,
};
use pistachiolug_wire::datagram::Beacon;
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

use support::{
    Action, Entry, MODEL, POSITION, SERVICE, Server, answer, chunk, parts, read_all, record,
    request, route, run, stream_head,
};

const ENGINES: usize = 34;
const ENTRIES: usize = 16;
const ZONES: [&str; 3] = ["north", "south", "coast"];
const STEP: Duration = Duration::from_millis(1);
const BEACON_STEPS: u32 = 30;
const RUN_TIME: Duration = Duration::from_secs(10);

/// Wait after which a request is refused, as admission control has it for a target of 400 ms.
const QUEUE_TIME: Duration = Duration::from_millis(160);

/// Target for the first event and for the longest pause.
const TARGET: Duration = Duration::from_millis(400);

const SLOW_FACTOR: f64 = 2.5;
const SLOW_TIME: Duration = Duration::from_millis(600);

/// Time between two slowdowns of one engine, so that it is slow during 15 in 100 of the time.
const SOUND_TIME: Duration = Duration::from_millis(3400);

/// Mean prompt tokens and events by kind.
const KINDS: [(f64, f64); 3] = [(1290.0, 18.0), (787.0, 18.0), (607.0, 10.0)];

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

fn location(zone: usize) -> Location {
    let regions = ZONES.map(|zone| (zone.to_owned(), zone.to_owned()));
    Location {
        zone: Arc::from(ZONES[zone]),
        regions: FxHashMap::from_iter(regions),
    }
}

fn engine_record(index: usize) -> Record {
    let address = format!("10.0.0.{}:80", index + 1).parse().unwrap();
    Record {
        zone: Arc::from(ZONES[index % ZONES.len()]),
        ..record(&format!("i-{index}"), address)
    }
}

fn requirements(prompt_tokens: u32) -> Requirements {
    Requirements {
        service: Arc::from(SERVICE),
        model: Some(Arc::from(MODEL)),
        prompt_tokens,
        ..Requirements::default()
    }
}

fn beacon(name: &str) -> Beacon {
    Beacon {
        name: name.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        region: "north".to_owned(),
        in_touch: true,
        position: POSITION,
        rows_age_ms: None,
        work: Vec::new(),
        shortages: Vec::new(),
        paces: Vec::new(),
    }
}

/// Returns a factor with mean 1 and a long tail.
fn spread(random: &mut impl Rng) -> f64 {
    0.25 - 0.75 * random.random_range(0.01_f64..1.0).ln()
}

struct Call {
    entry: usize,
    arrived: Duration,
    prompt: u32,
    events_left: u32,
    choice: Option<Choice>,
    first_event_after: Option<Duration>,
    last_event_at: Duration,
    longest_gap: Duration,
}

impl Call {
    fn is_on_time(&self) -> bool {
        self.events_left == 0
            && self.first_event_after.is_some_and(|after| after <= TARGET)
            && self.longest_gap <= TARGET
    }
}

struct Machine {
    /// Requests in the pass that runs, and those that wait for the next one.
    running: Vec<usize>,
    waiting: Vec<usize>,
    /// Milliseconds of sound work until the pass ends.
    left_ms: f64,
    slow_from: Duration,
}

/// Figures of a run.
#[derive(Debug, Default)]
struct Figures {
    requests: usize,
    /// Answered with no late first event and no long pause.
    on_time: usize,
    /// First event after the target.
    late: usize,
    /// Longest pause above the target.
    paused: usize,
    /// Sent to a server while it was slow.
    sent_to_slow: usize,
    /// Times to the first event in ascending order.
    firsts: Vec<Duration>,
}

impl Figures {
    /// Returns the sum of the runs with several seeds.
    fn sum(is_paced: bool, per_second: f64, seeds: u64) -> Self {
        let mut sum = Self::default();
        for seed in 1..=seeds {
            let run = Play::new(is_paced, per_second, seed).run();
            sum.requests += run.requests;
            sum.on_time += run.on_time;
            sum.late += run.late;
            sum.paused += run.paused;
            sum.sent_to_slow += run.sent_to_slow;
            sum.firsts.extend(run.firsts);
        }
        sum.firsts.sort();
        let part = |count: usize| 100.0 * count as f64 / sum.requests as f64;
        let first_ms = |share: usize| sum.firsts[sum.firsts.len() * share / 100].as_millis();
        println!(
            "{per_second} requests a second, pace {is_paced}: {} requests, of 100 on time {:.2}, late {:.2}, paused {:.2}, \
             to slow servers {:.2}; first event in ms: median {}, 95th percentile {}, 99th {}",
            sum.requests,
            part(sum.on_time),
            part(sum.late),
            part(sum.paused),
            part(sum.sent_to_slow),
            first_ms(50),
            first_ms(95),
            first_ms(99)
        );
        sum
    }
}

/// Entries that send requests to engines which slow down at random.
struct Play {
    is_paced: bool,
    per_second: f64,
    pools: Vec<Pool>,
    peers: Vec<Peers>,
    machines: Vec<Machine>,
    queues: Vec<Vec<usize>>,
    calls: Vec<Call>,
    sent_to_slow: usize,
    /// Arrivals and slowdowns, which are the same in runs with and without the pace, and choices.
    world: ChaCha8Rng,
    choices: ChaCha8Rng,
}

impl Play {
    fn new(is_paced: bool, per_second: f64, seed: u64) -> Self {
        let mut world = ChaCha8Rng::seed_from_u64(seed);
        let machine = |_| Machine {
            running: Vec::new(),
            waiting: Vec::new(),
            left_ms: 0.0,
            slow_from: SOUND_TIME.mul_f64(world.random_range(0.0..1.0)),
        };
        let machines = (0..ENGINES).map(machine).collect();
        let pool = |_| {
            let mut pool = Pool::default();
            for index in 0..ENGINES {
                pool.put(engine_record(index), POSITION, Duration::ZERO);
            }
            pool
        };
        let peers = |entry: usize| Peers::new(&entry.to_string(), ZONES[entry % ZONES.len()]);
        Self {
            is_paced,
            per_second,
            pools: (0..ENTRIES).map(pool).collect(),
            peers: (0..ENTRIES).map(peers).collect(),
            machines,
            queues: vec![Vec::new(); ENTRIES],
            calls: Vec::new(),
            sent_to_slow: 0,
            world,
            choices: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn is_slow(&self, machine: usize, now: Duration) -> bool {
        now >= self.machines[machine].slow_from
    }

    fn exchange_beacons(&mut self, round: u32, now: Duration) {
        for sender in 0..ENTRIES {
            let pool = &self.pools[sender];
            let beacon = Beacon {
                region: ZONES[sender % ZONES.len()].to_owned(),
                work: pool.own_work(),
                paces: pool.own_paces(now),
                ..beacon(&sender.to_string())
            };
            for receiver in 0..ENTRIES {
                let is_near = sender % ZONES.len() == receiver % ZONES.len();
                if sender != receiver && (is_near || round.is_multiple_of(4)) {
                    self.peers[receiver].record_beacon(beacon.clone(), now);
                }
            }
        }
        for (pool, peers) in self.pools.iter_mut().zip(&self.peers) {
            pool.set_peer_work(ENTRIES as u32 - 1, &peers.work(now));
            pool.set_peer_paces(&peers.paces(now));
        }
    }

    fn arrive(&mut self, now: Duration) {
        let world = &mut self.world;
        if world.random_range(0.0..1.0) >= self.per_second * STEP.as_secs_f64() {
            return;
        }
        let (prompt, events) = KINDS[world.random_range(0..KINDS.len())];
        let entry = world.random_range(0..ENTRIES);
        self.queues[entry].push(self.calls.len());
        self.calls.push(Call {
            entry,
            arrived: now,
            prompt: (prompt * spread(world)) as u32,
            events_left: (events * spread(world)).ceil() as u32,
            choice: None,
            first_event_after: None,
            last_event_at: now,
            longest_gap: Duration::ZERO,
        });
    }

    /// Sends waiting requests of an entry to engines, and refuses those that have waited too long.
    fn serve(&mut self, entry: usize, freed: Option<&Arc<str>>, now: Duration) {
        let calls = &self.calls;
        self.queues[entry].retain(|call| now < calls[*call].arrived + QUEUE_TIME);
        while let Some(index) = self.queues[entry].first().copied() {
            let prompt = self.calls[index].prompt;
            let requirements = Requirements {
                freed_server: freed.cloned(),
                ..requirements(prompt)
            };
            let (pool, location) = (&mut self.pools[entry], location(entry % ZONES.len()));
            let (engine, random) = (engine(), &mut self.choices);
            let choice = pool.choose(&requirements, Some(&engine), &location, now, random);
            let Some(choice) = choice else {
                return;
            };
            pool.start_request(&choice.record.id, prompt);
            pool.record_assignment(&choice);
            let machine: usize = choice.record.id[2..].parse().unwrap();
            self.sent_to_slow += usize::from(self.is_slow(machine, now));
            self.machines[machine].waiting.push(index);
            self.calls[index].choice = Some(choice);
            self.queues[entry].remove(0);
        }
    }

    fn advance(&mut self, machine: usize, now: Duration) {
        let factor = if self.is_slow(machine, now) {
            SLOW_FACTOR
        } else {
            1.0
        };
        let state = &mut self.machines[machine];
        if now >= state.slow_from + SLOW_TIME {
            let pause = SOUND_TIME.mul_f64(self.world.random_range(0.5..1.5));
            state.slow_from = now + pause;
        }
        state.left_ms -= STEP.as_secs_f64() * 1000.0 / factor;
        if state.left_ms > 0.0 {
            return;
        }
        for index in std::mem::take(&mut self.machines[machine].running) {
            self.record_event(index, now);
            if self.calls[index].events_left > 0 {
                self.machines[machine].running.push(index);
            }
        }
        let state = &mut self.machines[machine];
        let free = engine().slots as usize - state.running.len();
        let begun: Vec<usize> = state
            .waiting
            .drain(..free.min(state.waiting.len()))
            .collect();
        let read: u32 = begun.iter().map(|index| self.calls[*index].prompt).sum();
        state.running.extend(begun);
        let step_ms = 7.4 + 0.0387 * state.running.len() as f64;
        state.left_ms = if state.running.is_empty() {
            0.0
        } else {
            step_ms * 7.0 + f64::from(read) / 31.9
        };
    }

    fn record_event(&mut self, index: usize, now: Duration) {
        let call = &mut self.calls[index];
        let (entry, choice) = (call.entry, call.choice.clone().unwrap());
        let (pool, id) = (&mut self.pools[entry], &choice.record.id);
        call.events_left -= 1;
        pool.record_data(id);
        let gap = call
            .first_event_after
            .map(|_| now.saturating_sub(call.last_event_at));
        if gap.is_none() {
            let taken = now.saturating_sub(call.arrived);
            call.first_event_after = Some(taken);
            pool.finish_prompt(id, call.prompt);
            pool.update_slowdown(id, choice.expected_wait_ms, taken.as_secs_f64() * 1000.0);
        }
        call.longest_gap = call.longest_gap.max(gap.unwrap_or_default());
        call.last_event_at = now;
        let is_over = call.events_left == 0;
        if self.is_paced {
            pool.record_events(id, &engine(), gap, 1, now);
        }
        if is_over {
            pool.end_request(id, 0);
            if self.is_paced {
                pool.end_stream(id);
            }
            self.serve(entry, Some(id), now);
        }
    }

    fn run(mut self) -> Figures {
        let steps = RUN_TIME.div_duration_f64(STEP) as u32;
        for step in 0..steps {
            let now = STEP * step;
            if step.is_multiple_of(BEACON_STEPS) {
                self.exchange_beacons(step / BEACON_STEPS, now);
            }
            self.arrive(now);
            for entry in 0..ENTRIES {
                self.serve(entry, None, now);
            }
            for machine in 0..ENGINES {
                self.advance(machine, now);
            }
        }
        self.figures()
    }

    fn figures(&self) -> Figures {
        let count = |test: fn(&Call) -> bool| self.calls.iter().filter(|call| test(call)).count();
        let firsts = self.calls.iter().filter_map(|call| call.first_event_after);
        Figures {
            requests: self.calls.len(),
            on_time: count(Call::is_on_time),
            late: count(|call| call.first_event_after.is_some_and(|after| after > TARGET)),
            paused: count(|call| call.longest_gap > TARGET),
            sent_to_slow: self.sent_to_slow,
            firsts: firsts.collect(),
        }
    }
}

/// Guards against requests that go on to slow servers although sound ones have free slots.
#[test]
fn fewer_requests_are_late_if_servers_slow_down_and_others_are_free() {
    let without = Figures::sum(false, 200.0, 2);
    let with = Figures::sum(true, 200.0, 2);

    assert!(with.sent_to_slow * 2 < without.sent_to_slow);
    assert!(with.late < without.late);
    assert!(with.on_time >= without.on_time);
}

/// Guards against a pace that costs callers answers when nearly all slots are taken and there is little to choose from.
#[test]
fn the_pace_costs_nothing_under_overload() {
    let without = Figures::sum(false, 484.0, 2);
    let with = Figures::sum(true, 484.0, 2);

    assert!(with.on_time * 100 >= without.on_time * 99);
}

fn pool_of(count: usize) -> Pool {
    let mut pool = Pool::default();
    for index in 0..count {
        pool.put(engine_record(index * ZONES.len()), POSITION, Duration::ZERO);
    }
    pool
}

/// Time of a pass of an engine with one request that reads no prompt.
fn pass() -> Duration {
    Duration::from_secs_f64((7.4 + 0.0387) * 7.0 / 1000.0)
}

/// Opens a stream at the first server that has sent its first event.
fn begin_stream(pool: &mut Pool, now: Duration) {
    pool.start_request("i-0", 0);
    pool.record_events("i-0", &engine(), None, 1, now);
}

/// Records one event at the first server `gap` after `now`, and returns the time then.
fn pass_after(pool: &mut Pool, gap: Duration, now: Duration) -> Duration {
    pool.record_events("i-0", &engine(), Some(gap), 1, now + gap);
    now + gap
}

fn pace(pool: &Pool, now: Duration) -> f64 {
    pool.get("i-0").unwrap().pace(now)
}

/// Returns the share of choices that go to the first server.
fn share(pool: &Pool, requirements: &Requirements, engine: Option<&Engine>, now: Duration) -> f64 {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let location = location(0);
    let choices = (0..1000).filter(|_| {
        let choice = pool.choose(requirements, engine, &location, now, &mut random);
        &*choice.unwrap().record.id == "i-0"
    });
    choices.count() as f64 / 1000.0
}

const NOW: Duration = Duration::from_secs(100);

/// Guards against requests that go to a server whose streams have slowed down, also before its slow pass has ended.
#[test]
fn a_slow_server_is_avoided_from_its_first_slow_pass_on() {
    let mut pool = pool_of(4);
    begin_stream(&mut pool, NOW);
    let now = pass_after(&mut pool, pass(), NOW);
    let sound = share(&pool, &requirements(900), Some(&engine()), now);

    let running = now + pass().mul_f64(2.2);
    let within_pass = share(&pool, &requirements(900), Some(&engine()), running);
    let now = pass_after(&mut pool, pass().mul_f64(SLOW_FACTOR), now);
    let now = pass_after(&mut pool, pass().mul_f64(SLOW_FACTOR), now);
    let after_two = pace(&pool, now);

    assert!(sound > 0.1, "{sound}");
    assert!(within_pass < 0.01, "{within_pass}");
    assert!((after_two - SLOW_FACTOR).abs() < 0.01, "{after_two}");
}

/// Guards against sound servers that are avoided because a pass has read a long prompt.
#[test]
fn a_long_prompt_does_not_make_a_server_slow() {
    let prompt = 4000;
    let reading = Duration::from_secs_f64(f64::from(prompt) / 31.9 / 1000.0);
    // Whether this entry, another one whose beacon has come, or nobody that it hears has sent the prompt.
    for (sender, largest) in [("own", 1.0), ("other", 1.0), ("unknown", 2.25)] {
        let mut pool = pool_of(4);
        begin_stream(&mut pool, NOW);
        let now = pass_after(&mut pool, pass(), NOW);
        match sender {
            "own" => pool.start_request("i-0", prompt),
            "other" => {
                let mut peers = Peers::new("a", "north");
                let mut beacon = beacon("b");
                beacon.work = sender_pool(prompt).own_work();
                peers.record_beacon(beacon, now);
                pool.set_peer_work(1, &peers.work(now));
            }
            _ => {}
        }
        let now = pass_after(&mut pool, pass() + reading, now);
        if sender == "own" {
            pool.finish_prompt("i-0", prompt);
        } else {
            pool.set_peer_work(1, &FxHashMap::default());
        }

        let after_prompt = pace(&pool, now);
        let now = pass_after(&mut pool, pass(), now);

        assert!(after_prompt <= largest, "{sender}: {after_prompt}");
        assert!(pace(&pool, now) < 1.01, "{sender}");
    }
}

fn sender_pool(prompt: u32) -> Pool {
    let mut pool = pool_of(1);
    pool.start_request("i-0", prompt);
    pool
}

/// Guards against a server that is avoided for long after it has recovered, also by entries that have no streams there.
#[test]
fn a_server_that_recovers_gets_requests_again_within_half_a_second() {
    let mut pool = pool_of(4);
    begin_stream(&mut pool, NOW);
    let slow = pass().mul_f64(SLOW_FACTOR);
    let now = pass_after(&mut pool, slow, NOW);
    let now = pass_after(&mut pool, slow, now);
    let mut peers = Peers::new("a", "north");
    peers.record_beacon(
        Beacon {
            paces: pool.own_paces(now),
            ..beacon("b")
        },
        now,
    );
    let mut other = pool_of(4);
    other.set_peer_paces(&peers.paces(now));
    let heard = pace(&other, now);

    pool.end_request("i-0", 0);
    pool.end_stream("i-0");
    let later = now + Duration::from_millis(500);
    other.set_peer_paces(&peers.paces(later));

    assert!((heard - SLOW_FACTOR).abs() < 0.1, "{heard}");
    for pool in [&pool, &other] {
        assert!((pace(pool, later) - 1.0).abs() < f64::EPSILON);
        assert!(share(pool, &requirements(900), Some(&engine()), later) > 0.1);
    }
}

/// Guards against a sound pass of this entry's stream that is ignored because another entry's report is older.
#[test]
fn a_new_own_sample_counts_before_what_others_report() {
    let mut pool = pool_of(1);
    begin_stream(&mut pool, NOW);
    let now = pass_after(&mut pool, pass(), NOW);
    let id = pool.own_work()[0].0;
    pool.set_peer_paces(&FxHashMap::from_iter([(id, 2.5)]));

    let new = pace(&pool, now);
    pool.end_stream("i-0");
    let old = pace(&pool, now + Duration::from_millis(200));

    assert!(new < 1.01, "{new}");
    assert!((old - 2.5).abs() < f64::EPSILON, "{old}");
}

/// Guards against one stream's pause, and against events that arrive together, which count as slow passes of the server.
#[test]
fn the_least_gap_of_one_pass_counts() {
    let mut pool = pool_of(1);
    begin_stream(&mut pool, NOW);
    begin_stream(&mut pool, NOW);
    let now = NOW + pass() * 3;
    let millisecond = Duration::from_millis(1);

    pool.record_events("i-0", &engine(), Some(pass() * 3), 1, now);
    let one = pace(&pool, now);
    pool.record_events("i-0", &engine(), Some(pass()), 1, now + millisecond);
    let both = pace(&pool, now + millisecond);
    let later = now + pass() * 3;
    pool.record_events("i-0", &engine(), Some(pass() * 3), 3, later);

    assert!(one > 1.5, "{one}");
    assert!(both < 1.01, "{both}");
    assert!(pace(&pool, later) < 1.01);
}

/// Guards against a stream that has ended and whose silence counts as a long pass.
#[test]
fn a_server_without_streams_is_not_slow() {
    let mut pool = pool_of(1);
    begin_stream(&mut pool, NOW);
    let now = pass_after(&mut pool, pass(), NOW);
    pool.end_request("i-0", 0);
    pool.end_stream("i-0");

    let later = now + Duration::from_millis(300);

    assert!((pace(&pool, later) - 1.0).abs() < f64::EPSILON);
}

/// Guards against other expected waits than before for entries that see no samples.
#[test]
fn without_samples_the_expected_wait_is_that_of_the_parameters() {
    let mut pool = pool_of(1);
    pool.start_request("i-0", 500);
    let location = location(0);
    let random = &mut ChaCha8Rng::seed_from_u64(7);

    let engines = pool.choose(&requirements(900), Some(&engine()), &location, NOW, random);
    let plain = pool.choose(&plain_requirements(), None, &location, NOW, random);

    let expected_ms = 1400.0 / 31.9 + (7.4 + 0.0387) * 7.0;
    assert!((engines.unwrap().expected_wait_ms - expected_ms).abs() < 1e-9);
    assert!((plain.unwrap().expected_wait_ms - 15.0 / 8.0).abs() < 1e-9);
}

fn plain_requirements() -> Requirements {
    Requirements {
        model: None,
        ..requirements(0)
    }
}

/// Guards against plain requests that go to a slow server of the entry's zone while others are idle.
#[test]
fn a_slow_plain_server_is_avoided_until_it_answers_as_usual() {
    let mut pool = pool_of(4);
    let random = &mut ChaCha8Rng::seed_from_u64(7);
    let mut choice = pool
        .choose(&plain_requirements(), None, &location(0), NOW, random)
        .unwrap();
    choice.record = engine_record(0);
    let usual = Duration::from_millis(30);
    for _ in 0..20 {
        pool.record_answer_time(&choice, usual, NOW);
    }
    let sound = share(&pool, &plain_requirements(), None, NOW);

    pool.record_answer_time(&choice, usual.mul_f64(SLOW_FACTOR), NOW);
    let slow = share(&pool, &plain_requirements(), None, NOW);
    pool.record_answer_time(&choice, usual, NOW);
    let recovered = share(&pool, &plain_requirements(), None, NOW);

    assert!(sound > 0.1 && recovered > 0.1, "{sound} {recovered}");
    assert!(slow < 0.01, "{slow}");
}

/// Waits until the entry's pace of its server is as wanted; gives up after some seconds.
async fn wait_for_pace(entry: &Entry, is_wanted: impl Fn(f64) -> bool) -> bool {
    for _ in 0..5000 {
        let now = entry.state.now();
        let paces = entry.state.with_pool(|pool| {
            pool.servers()
                .map(|server| server.pace(now))
                .collect::<Vec<_>>()
        });
        if paces.into_iter().any(&is_wanted) {
            return true;
        }
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    false
}

/// Guards against events of streams that don't reach the samples, and against streams whose end is not recorded.
#[test]
fn an_entry_measures_the_pace_of_a_server_by_its_streams() {
    run(async {
        // The parameters predict 48 ms for a pass.
        let events = (1..=10).map(|id| chunk(&format!("id: {id}\ndata: ravi\n\n")));
        let pause = Duration::from_millis(200);
        let script = Action::Pieces(stream_head("a1"), events.collect(), pause);
        let server = Server::start(vec![script]).await;
        let entry = Entry::start(parts(route(Kind::Stream, 1)), &[&server]);
        let stream = entry.open(&request("a1")).await;

        let is_slow = wait_for_pace(&entry, |pace| pace > 1.5).await;
        let (beacon, _) = entry.state.build_beacon(0);
        let response = read_all(stream).await;
        let is_usual = wait_for_pace(&entry, |pace| pace <= 1.0).await;

        assert!(response.contains("id: 10"), "{response}");
        assert!(is_slow);
        assert_eq!(beacon.paces.len(), 1);
        assert!(is_usual);
    });
}

/// Guards against answers of plain services that don't reach the samples.
#[test]
fn an_entry_measures_the_pace_of_a_plain_server_by_its_answers() {
    run(async {
        let late = answer("a2", "200 OK", "late");
        let (head, rest) = late.split_at(20);
        let script = vec![
            Action::Write(answer("a1", "200 OK", "soon")),
            Action::Pause(head.to_owned(), Duration::from_millis(300), rest.to_owned()),
        ];
        let server = Server::start(script).await;
        let entry = Entry::start(parts(route(Kind::Once, 1)), &[&server]);
        read_all(entry.open(&request("a1")).await).await;

        let stream = entry.open(&request("a2")).await;
        let (is_slow, response) =
            tokio::join!(wait_for_pace(&entry, |pace| pace > 1.5), read_all(stream));

        assert!(response.ends_with("late"), "{response}");
        assert!(is_slow);
    });
}
