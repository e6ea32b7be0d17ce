//! Requests of three priorities that compete for the slots of engines: a simulation of many entries with the decisions of
//! the product, and what each priority, workspace and entry gets.

#![allow(clippy::unwrap_used)]

mod support;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    sync::Arc,
    time::Duration,
};

use pistachiolug_gateway::{
    admission::{self, Decision, SlotRates},
    config::Engine,
    peers::Peers,
    pool::{Choice, Pool, Requirements},
    queue::{Position, Queue, Rank},
    rate::{self, Rate},
    reservation::{Claim, Ledger, Reserve, Unmet},
};
use pistachiolug_wire::{
    datagram::{Beacon, Shortage},
    position::Position as RowPosition,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

use support::{MODEL, POSITION, SERVICE, engine, location, record};

const ENTRIES: usize = 14;
const ENGINES: usize = 34;
const SLOTS: u32 = 12;
const WORKSPACES: usize = 24;
const TIME_LIMIT: Duration = Duration::from_secs(6);
const BEACON_INTERVAL: Duration = Duration::from_millis(30);

/// Attempts of one caller.
const ATTEMPTS: u32 = 3;

/// Time before which requests are not counted: the load and the estimates build up.
const WARM_UP: Duration = Duration::from_secs(4);
const LENGTH: Duration = Duration::from_secs(14);

/// Kind of requests; its index is its priority.
struct Kind {
    per_second: f64,
    prompt_tokens: u32,
    passes: f64,
    target: Duration,
}

/// Load on the entries.
struct Load {
    kinds: [Kind; 3],
    /// Share of the requests of the first workspace; the others get shares that fall with their numbers.
    first_workspace: Option<f64>,
    /// Callers of the first entry, relative to those of another.
    first_entry: f64,
    /// Share of each kind whose callers are at entries of their own.
    at_home: f64,
    seed: u64,
}

/// Returns the mix of the demanding deployments, multiplied by a factor for each priority.
fn load(factors: [f64; 3]) -> Load {
    let kind = |per_second, prompt_tokens, passes, target_ms| Kind {
        per_second,
        prompt_tokens,
        passes,
        target: Duration::from_millis(target_ms),
    };
    let kinds = [
        kind(146.0 * factors[0], 1290, 18.0, 400),
        kind(177.0 * factors[1], 787, 18.0, 400),
        kind(114.0 * factors[2], 607, 10.0, 800),
    ];
    Load {
        kinds,
        first_workspace: None,
        first_entry: 1.0,
        at_home: 0.0,
        seed: 1,
    }
}

/// Engine parameters of the deployments.
fn parameters() -> Engine {
    Engine {
        slots: SLOTS,
        prompt_tokens_per_ms: 31.9,
        step_ms: 7.4,
        step_ms_per_call: 0.0387,
        stride: 7.0,
        ..engine()
    }
}

#[derive(Clone)]
struct Request {
    kind: usize,
    workspace: Arc<str>,
    entry: usize,
    arrived: Duration,
    attempt: u32,
}

impl Request {
    /// Returns whether the request counts; the load goes on after the last that does, until its retries have ended.
    fn is_counted(&self) -> bool {
        (WARM_UP..LENGTH).contains(&self.arrived)
    }
}

/// What callers of one group got.
#[derive(Debug, Default, Clone, Copy)]
struct Service {
    asked: u32,
    in_time: u32,
    answered: u32,
}

impl Service {
    fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.asked)
    }

    fn answered_share(&self) -> f64 {
        f64::from(self.answered) / f64::from(self.asked)
    }
}

/// Result of a run, by group.
#[derive(Debug, Default)]
struct Outcome {
    all: Service,
    kinds: [Service; 3],
    workspaces: BTreeMap<Arc<str>, Service>,
    /// By entry and priority.
    entries: BTreeMap<(usize, usize), Service>,
    /// Mean share of the engines' slots in use.
    busy: f64,
}

impl Outcome {
    fn record(&mut self, request: &Request, action: impl Fn(&mut Service)) {
        action(&mut self.all);
        action(&mut self.kinds[request.kind]);
        let workspace = Arc::clone(&request.workspace);
        action(self.workspaces.entry(workspace).or_default());
        let entry = (request.entry, request.kind);
        action(self.entries.entry(entry).or_default());
    }
}

/// Entry with the product's decisions, as `state/slots.rs`, `state/reservation.rs` and `acquire.rs` combine them.
struct Entry {
    pool: Pool,
    /// Waiting requests with their numbers.
    queue: Queue<(Requirements, usize)>,
    ledger: Ledger,
    peers: Peers,
    unmet: Unmet,
    freed: Rate,
    taken: Rate,
    usable: BTreeMap<u8, Rate>,
}

/// Engine that reads prompts one after the other and runs as many requests as it has slots.
#[derive(Default)]
struct Server {
    running: usize,
    queue: BTreeSet<(usize, usize)>,
    read_until: Duration,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    GiveUp(usize, usize),
    First(usize),
    End(usize),
    Tick(usize),
    /// Arrival of the sender's beacon with a number at an entry.
    Hear(usize, usize),
}

struct Simulation {
    load: Load,
    /// Whether slots are reserved; otherwise the entries decide as before.
    reserves: bool,
    random: ChaCha8Rng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, usize, Event)>>,
    sequence: usize,
    requests: Vec<Request>,
    choices: FxHashMap<usize, Choice>,
    positions: FxHashMap<usize, Position>,
    beacons: Vec<Beacon>,
    entries: Vec<Entry>,
    servers: Vec<Server>,
    outcome: Outcome,
    busy_since: Duration,
}

fn run(load: Load, reserves: bool) -> Outcome {
    let random = ChaCha8Rng::seed_from_u64(load.seed);
    let mut simulation = Simulation {
        load,
        reserves,
        random,
        now: Duration::ZERO,
        events: BinaryHeap::new(),
        sequence: 0,
        requests: Vec::new(),
        choices: FxHashMap::default(),
        positions: FxHashMap::default(),
        beacons: Vec::new(),
        entries: (0..ENTRIES).map(entry).collect(),
        servers: (0..ENGINES).map(|_| Server::default()).collect(),
        outcome: Outcome::default(),
        busy_since: Duration::ZERO,
    };
    simulation.run();
    simulation.outcome
}

fn entry(index: usize) -> Entry {
    let mut pool = Pool::default();
    for number in 0..ENGINES {
        let address = format!("10.0.0.{number}:80").parse().unwrap();
        pool.put(
            record(&number.to_string(), address),
            POSITION,
            Duration::ZERO,
        );
    }
    Entry {
        pool,
        queue: Queue::default(),
        ledger: Ledger::default(),
        peers: Peers::new(&index.to_string(), "inland"),
        unmet: Unmet::default(),
        freed: Rate::new(Duration::ZERO, rate::INITIAL_PER_SECOND),
        taken: Rate::new(Duration::ZERO, 0.0),
        usable: BTreeMap::new(),
    }
}

impl Simulation {
    fn schedule(&mut self, at: Duration, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn run(&mut self) {
        for kind in 0..3 {
            self.draw_arrivals(kind);
        }
        for entry in 0..ENTRIES {
            self.schedule(Duration::from_millis(2 * entry as u64), Event::Tick(entry));
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > LENGTH + TIME_LIMIT {
                break;
            }
            if (WARM_UP..LENGTH).contains(&at) {
                let busy: usize = self.servers.iter().map(|server| server.running).sum();
                let share = busy as f64 / (ENGINES as f64 * f64::from(SLOTS));
                let since = self.busy_since.max(WARM_UP);
                let counted = LENGTH.saturating_sub(WARM_UP);
                self.outcome.busy +=
                    share * at.saturating_sub(since).as_secs_f64() / counted.as_secs_f64();
                self.busy_since = at;
            }
            self.now = at;
            match event {
                Event::Arrive(request) => self.arrive(request),
                Event::GiveUp(request, _) => self.give_up(request),
                Event::First(request) => self.first_event(request),
                Event::End(request) => self.end(request),
                Event::Tick(entry) => self.tick(entry),
                Event::Hear(entry, beacon) => {
                    let beacon = self.beacons[beacon].clone();
                    self.entries[entry].peers.record_beacon(beacon, at);
                }
            }
        }
    }

    /// Draws the Poisson arrivals of a kind.
    fn draw_arrivals(&mut self, kind: usize) {
        let mut at = 0.0;
        loop {
            let draw: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
            at -= draw.ln() / self.load.kinds[kind].per_second;
            if at >= (LENGTH + TIME_LIMIT).as_secs_f64() {
                return;
            }
            let request = Request {
                kind,
                workspace: self.draw_workspace(),
                entry: self.draw_entry(kind),
                arrived: Duration::from_secs_f64(at),
                attempt: 1,
            };
            self.requests.push(request);
            let number = self.requests.len() - 1;
            self.schedule(Duration::from_secs_f64(at), Event::Arrive(number));
        }
    }

    fn draw_workspace(&mut self) -> Arc<str> {
        let first = self.load.first_workspace;
        if first.is_some_and(|share| self.random.random_bool(share)) {
            return Arc::from("w0");
        }
        let point: f64 = self.random.random_range(0.0..1.0);
        let number = (point * point * WORKSPACES as f64) as usize;
        Arc::from(format!("w{number}"))
    }

    fn draw_entry(&mut self, kind: usize) -> usize {
        if self.random.random_bool(self.load.at_home) {
            let home = self.random.random_range(0..ENTRIES / 3);
            return home * 3 + kind;
        }
        let (first, others) = (self.load.first_entry, (ENTRIES - 1) as f64);
        let point: f64 = self.random.random_range(0.0..first + others);
        (point + 1.0 - first).max(0.0) as usize
    }

    fn requirements(&self, request: usize) -> Requirements {
        let request = &self.requests[request];
        Requirements {
            service: Arc::from(SERVICE),
            model: Some(Arc::from(MODEL)),
            prompt_tokens: self.load.kinds[request.kind].prompt_tokens,
            is_late: request.attempt > 1,
            priority: request.kind as u8,
            workspace: Some(Arc::clone(&request.workspace)),
            ..Requirements::default()
        }
    }

    fn reserve(&self, entry: usize, claim: &Claim<'_>) -> Reserve {
        if !self.reserves {
            return Reserve::default();
        }
        let entry = &self.entries[entry];
        let ledger = &entry.ledger;
        ledger.reserve(claim, Some(&entry.unmet), ENGINES, SLOTS, self.now)
    }

    fn is_below_floor(&self, entry: usize, requirements: &Requirements) -> bool {
        let (claim, entry) = (requirements.claim(), &self.entries[entry]);
        self.reserves
            && entry
                .ledger
                .is_below_floor(&claim, Some(&entry.unmet), self.now)
    }

    fn arrive(&mut self, number: usize) {
        let request = self.requests[number].clone();
        if request.attempt == 1 && request.is_counted() {
            self.outcome.record(&request, |service| service.asked += 1);
        }
        let mut requirements = self.requirements(number);
        requirements.reserve = self.reserve(request.entry, &requirements.claim());
        let now = self.now;
        self.entries[request.entry]
            .ledger
            .record_request(&requirements.claim(), now);
        let rank = Rank {
            is_late: requirements.is_late,
            priority: requirements.priority,
        };
        let below_floor = self.is_below_floor(request.entry, &requirements);
        let ahead = self.entries[request.entry].queue.ahead(rank);
        let ahead = ahead
            .filter(|(waiting, _)| !below_floor || self.is_below_floor(request.entry, waiting))
            .count();
        if ahead == 0 && self.assign(number, &requirements) {
            return;
        }
        let kind = &self.load.kinds[request.kind];
        let first_event = admission::first_event(kind.prompt_tokens, &parameters());
        let entry = &mut self.entries[request.entry];
        let competes = self.reserves
            && !requirements.is_late
            && entry.ledger.has_less_urgent(requirements.priority, now);
        entry.ledger.record_shortage(&requirements.claim(), now);
        let time_left = (request.arrived + TIME_LIMIT).saturating_sub(now);
        let ask = admission::Request {
            target_latency: kind.target,
            is_first_attempt: !requirements.is_late,
            time_left,
            ahead,
            reopens_in: Duration::ZERO,
            limit: None,
            first_event: competes.then_some(first_event),
        };
        let usable = entry.usable.get(&requirements.priority);
        let usable = usable.filter(|_| requirements.reserve.slots_left > 0.0);
        let freed = entry.freed.per_second();
        let rates = SlotRates {
            freed_per_second: usable.map_or(freed, |usable| usable.decayed_per_second(now)),
            first_attempts_per_second: entry.taken.decayed_per_second(now),
        };
        match admission::decide(&ask, &rates) {
            Decision::Refuse => self.refuse(number),
            Decision::Wait(max_wait) => {
                let position = entry.queue.push(rank, (requirements, number));
                self.positions.insert(number, position);
                let attempt = request.attempt as usize;
                self.schedule(now + max_wait, Event::GiveUp(number, attempt));
            }
        }
    }

    fn give_up(&mut self, number: usize) {
        let entry = self.requests[number].entry;
        if let Some(position) = self.positions.remove(&number) {
            self.entries[entry].queue.remove(position);
            self.refuse(number);
        }
    }

    /// Refuses a request, whose caller comes back after the delay that it is told.
    fn refuse(&mut self, number: usize) {
        let request = &mut self.requests[number];
        request.attempt += 1;
        let time_left = (request.arrived + TIME_LIMIT).saturating_sub(self.now);
        if request.attempt <= ATTEMPTS && !time_left.is_zero() {
            let point = self.random.random_range(0.0..1.0);
            let delay = admission::retry_after(time_left, None, point);
            self.schedule(self.now + delay, Event::Arrive(number));
        }
    }

    /// Sends a request to the best engine with a free slot.
    fn assign(&mut self, number: usize, requirements: &Requirements) -> bool {
        let entry = &mut self.entries[self.requests[number].entry];
        let (now, random) = (self.now, &mut self.random);
        let choice = entry
            .pool
            .choose(requirements, Some(&parameters()), &location(), now, random);
        let Some(choice) = choice else {
            return false;
        };
        entry
            .pool
            .start_request(&choice.record.id, requirements.prompt_tokens);
        entry.pool.record_assignment(&choice);
        if !requirements.is_late {
            entry.taken.count(now);
        }
        entry.ledger.record_slot(&requirements.claim(), now);
        let server: usize = choice.record.id.parse().unwrap();
        self.choices.insert(number, choice);
        self.servers[server]
            .queue
            .insert((self.requests[number].kind, number));
        self.start_next(server);
        true
    }

    /// Starts the requests at an engine that it has slots for, the most urgent first.
    fn start_next(&mut self, number: usize) {
        let engine = parameters();
        while self.servers[number].running < SLOTS as usize {
            let server = &mut self.servers[number];
            let Some((kind, request)) = server.queue.pop_first() else {
                return;
            };
            server.running += 1;
            let kind = &self.load.kinds[kind];
            let read_ms = f64::from(kind.prompt_tokens) / engine.prompt_tokens_per_ms;
            let read = Duration::from_secs_f64(read_ms / 1000.0);
            server.read_until = server.read_until.max(self.now) + read;
            let step_ms = engine.step_ms + engine.step_ms_per_call * server.running as f64;
            let pass = Duration::from_secs_f64(step_ms * engine.stride / 1000.0);
            // The prompt waits for the end of a pass.
            let begun = server.read_until + pass.mul_f64(self.random.random_range(0.0..1.0));
            let end = begun + pass.mul_f64(kind.passes);
            self.schedule(begun + pass, Event::First(request));
            self.schedule(end, Event::End(request));
        }
    }

    fn first_event(&mut self, number: usize) {
        let request = self.requests[number].clone();
        let kind = &self.load.kinds[request.kind];
        let (now, tokens) = (self.now, kind.prompt_tokens);
        let id = Arc::clone(&self.choices[&number].record.id);
        let pool = &mut self.entries[request.entry].pool;
        pool.finish_prompt(&id, tokens);
        if !request.is_counted() {
            return;
        }
        let is_in_time = now <= request.arrived + kind.target;
        self.outcome.record(&request, |service| {
            service.answered += 1;
            service.in_time += u32::from(is_in_time);
        });
    }

    fn end(&mut self, number: usize) {
        let entry = self.requests[number].entry;
        let id = self.choices.remove(&number).unwrap().record.id;
        let server: usize = id.parse().unwrap();
        self.servers[server].running -= 1;
        self.start_next(server);
        let now = self.now;
        self.entries[entry].pool.end_request(&id, 0);
        self.entries[entry].freed.count(now);
        for priority in 0..3 {
            let claim = Claim {
                priority,
                is_late: false,
                workspace: None,
            };
            let reserve = self.reserve(entry, &claim);
            let entry = &mut self.entries[entry];
            let freed = entry.freed.per_second();
            let usable = entry.usable.entry(priority);
            let usable = usable.or_insert_with(|| Rate::new(now, freed));
            let server = entry.pool.get(&id).unwrap();
            if server.is_freed_usable(reserve, &parameters()) {
                usable.count(now);
            }
        }
        let was_held = self.serve_queue(entry, Some(&id));
        if was_held {
            self.entries[entry].pool.keep_freed(&id, now);
        }
    }

    fn serve_queue(&mut self, entry: usize, freed: Option<&Arc<str>>) -> bool {
        'served: loop {
            let preferred =
                |waiting: &(Requirements, usize)| self.is_below_floor(entry, &waiting.0);
            let waiting = self.entries[entry].queue.iter_preferring(&preferred);
            let waiting: Vec<(Position, usize)> = waiting
                .map(|(position, waiting)| (position, waiting.1))
                .collect();
            for (position, number) in waiting {
                let mut requirements = self.requirements(number);
                requirements.freed_server = freed.cloned();
                requirements.reserve = self.reserve(entry, &requirements.claim());
                if self.assign(number, &requirements) {
                    self.entries[entry].queue.remove(position);
                    self.positions.remove(&number);
                    continue 'served;
                }
                if !self.is_below_floor(entry, &requirements) {
                    return requirements.reserve.slots_left > 0.0;
                }
            }
            return false;
        }
    }

    /// Sends a beacon, takes over what others have sent, and serves the queue.
    fn tick(&mut self, index: usize) {
        let now = self.now;
        let entry = &mut self.entries[index];
        let work = entry.peers.work(now);
        entry.pool.set_peer_work(ENTRIES as u32 - 1, &work);
        entry.unmet = entry
            .peers
            .shortages(now)
            .into_values()
            .next()
            .unwrap_or_default();
        let shortage: Option<Shortage> = entry.ledger.shortage(SERVICE, now);
        self.beacons.push(Beacon {
            name: index.to_string(),
            address: "127.0.0.1:1".parse().unwrap(),
            region: "inland".to_owned(),
            in_touch: true,
            position: RowPosition::default(),
            rows_age_ms: None,
            work: entry.pool.own_work(),
            shortages: shortage.into_iter().collect(),
            paces: Vec::new(),
        });
        let beacon = self.beacons.len() - 1;
        for other in (0..ENTRIES).filter(|other| *other != index) {
            // The same for each pair, as the paths between them are.
            let delay_ms = 30 + (index * 37 + other * 53) % 101;
            let at = now + Duration::from_millis(delay_ms as u64);
            self.schedule(at, Event::Hear(other, beacon));
        }
        self.serve_queue(index, None);
        self.schedule(now + BEACON_INTERVAL, Event::Tick(index));
    }
}

/// Runs a load without and with the reservation, and prints what callers get.
#[allow(clippy::print_stdout)]
fn compare(name: &str, load: impl Fn() -> Load) -> (Outcome, Outcome) {
    let (before, after) = (run(load(), false), run(load(), true));
    for (label, outcome) in [("before", &before), ("after", &after)] {
        let in_time = outcome.kinds.map(|kind| kind.in_time_share());
        let answered = outcome.kinds.map(|kind| kind.answered_share());
        let workspaces = outcome.workspaces.values().map(Service::answered_share);
        let least = workspaces.fold(f64::INFINITY, f64::min);
        let all = outcome.all.answered_share();
        println!(
            "{name} {label}: in time {in_time:.3?}, answered {answered:.3?}, all {all:.3}, least workspace {least:.3}, \
             busy {:.3}",
            outcome.busy
        );
    }
    (before, after)
}

/// Checks the rules of the priority order and of fairness.
fn check_rules(outcome: &Outcome) {
    let least = outcome.all.answered_share() / 4.0;
    for kinds in outcome.kinds.windows(2) {
        assert!(
            kinds[0].answered_share() >= kinds[1].answered_share() - 0.05,
            "{outcome:?}"
        );
        assert!(
            kinds[0].in_time_share() >= kinds[1].in_time_share() - 0.05,
            "{outcome:?}"
        );
    }
    for group in outcome.kinds.iter().chain(outcome.workspaces.values()) {
        assert!(group.answered_share() >= least, "{outcome:?}");
    }
}

/// Guards against an overload in which urgent requests are refused while less urgent ones get slots, and against a
/// reservation that starves the least urgent ones.
#[test]
fn urgent_requests_come_first_under_a_small_overload() {
    let (before, after) = compare("1.3", || load([1.3; 3]));

    check_rules(&after);
    assert!(after.kinds[0].in_time_share() > before.kinds[0].in_time_share());
    assert!(after.kinds[2].answered_share() > after.all.answered_share() * 0.4);
    assert!(after.busy > 0.93, "{}", after.busy);
}

/// Guards against a least urgent priority below its floor when the more urgent ones could take all slots.
#[test]
fn the_floor_of_the_least_urgent_holds_under_twice_the_load() {
    let (before, after) = compare("2", || load([2.0; 3]));

    check_rules(&after);
    assert!(before.kinds[2].answered_share() < before.all.answered_share() * 0.4);
    assert!(after.kinds[2].answered_share() > after.all.answered_share() * 0.4);
    // What the floors cost comes from the next priority first.
    assert!(after.kinds[0].in_time_share() > before.kinds[0].in_time_share() - 0.08);
}

/// Guards against slots that each entry gives to its own callers while more urgent ones are refused elsewhere.
#[test]
fn urgent_requests_get_the_slots_of_entries_with_less_urgent_callers() {
    for factor in [1.3, 2.0] {
        let (before, after) = compare(&format!("kinds apart, {factor}"), || Load {
            at_home: 0.6,
            ..load([factor; 3])
        });

        check_rules(&after);
        let gain = after.kinds[0].in_time_share() - before.kinds[0].in_time_share();
        assert!(gain > 0.1, "{gain} at {factor}");
    }
}

/// Guards against slots that stay free though nobody more urgent wants them.
#[test]
fn requests_of_one_priority_are_served_as_without_a_reservation() {
    for kind in 0..3 {
        let mut factors = [0.0; 3];
        // Each is about 1.7 times what the engines serve.
        factors[kind] = [4.5, 4.0, 10.0][kind];
        let (before, after) = compare(&format!("only {kind}"), || load(factors));

        let counts = |outcome: &Outcome| {
            let service = outcome.all;
            [service.asked, service.in_time, service.answered]
        };
        assert_eq!(counts(&before), counts(&after), "{kind}");
    }
}

/// Guards against workspaces that starve beside one which sends half of everything.
#[test]
fn small_workspaces_are_served_beside_a_large_one() {
    let (_, after) = compare("half of one workspace", || Load {
        first_workspace: Some(0.5),
        ..load([1.3; 3])
    });

    check_rules(&after);
}

/// Guards against priorities that starve at an entry which frees few slots itself.
#[test]
fn an_entry_with_few_callers_serves_all_priorities() {
    let (before, after) = compare("a small entry", || Load {
        first_entry: 0.1,
        ..load([1.3; 3])
    });

    check_rules(&after);
    let first = |outcome: &Outcome, kind| outcome.entries[&(0, kind)];
    assert!(first(&after, 0).in_time > first(&before, 0).in_time);
    for kind in 0..3 {
        let share = first(&after, kind).answered_share();
        assert!(share > after.all.answered_share() / 4.0, "{kind}: {share}");
    }
}
