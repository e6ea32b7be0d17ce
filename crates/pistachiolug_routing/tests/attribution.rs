//! Attribution of crashes of servers to parts of prompts.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use pistachiolug_routing::attribution::{Attribution, Change, Limit, Part, Span};
use rand::{Rng, RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

const LIMIT: Limit = Limit {
    retention: Duration::from_secs(600),
    answer_retention: Duration::from_secs(30),
    max_crashes: 64,
    max_parts: 32,
    max_answers: 128,
    max_named: 8,
    min_moments: 3,
    min_silence: Duration::from_secs(2),
    min_crashes: 5,
    settle_time: Duration::from_millis(500),
    moment: Duration::from_millis(200),
    max_reruns: 2,
    rerun_delay: Duration::from_secs(30),
};

/// Part that crashes servers, and its position.
const BAD: Part = part(0xbad, 1);

/// First part of all prompts.
const FIRST: Part = part(0xf, 0);

const fn part(id: u64, position: u8) -> Part {
    Part { id, position }
}

const fn at(millis: u64) -> Duration {
    Duration::from_millis(1_000_000 + millis)
}

/// Crash or answer that a process sees, at a time in milliseconds.
#[derive(Debug, Clone)]
enum Event {
    /// Server with these parts in the requests that it ran.
    Crash(u64, Vec<Part>),
    /// Parts of an answered request.
    Answer(Vec<Part>),
}

use Event::{Answer, Crash};

fn attribution() -> Attribution {
    Attribution::new(LIMIT)
}

fn record(attribution: &mut Attribution, millis: u64, event: &Event) {
    let now = at(millis);
    match event {
        Crash(incarnation, parts) => {
            let span = Span {
                heard_at: now.saturating_sub(Duration::from_millis(50)),
                lost_at: now,
            };
            attribution.record_crash(*incarnation, span, parts, now);
        }
        Answer(parts) => attribution.record_answer(parts, now, now),
    }
}

/// Returns the attribution after events, once all crashes have settled.
fn attribution_after(events: &[(u64, Event)]) -> Attribution {
    let mut attribution = attribution();
    for (millis, event) in events {
        record(&mut attribution, *millis, event);
    }
    let last = events.iter().map(|(millis, _)| *millis).max();
    attribution.expire(at(last.unwrap_or_default() + 1000));
    attribution
}

fn named(attribution: &Attribution) -> Vec<u64> {
    let mut named: Vec<u64> = attribution.named().map(|(part, _)| part).collect();
    named.sort_unstable();
    named
}

/// Sends what one process has found out, and what it refuses, to another.
fn exchange(from: &Attribution, to: &mut Attribution, now: Duration) {
    to.merge_crashes(&from.updates(Duration::ZERO, now), now);
    to.update(now);
    to.merge_culprits(&from.culprits(now), now);
}

/// Returns crashes of separate servers by one part, 300 ms apart from a time on.
fn crashes_by(part: Part, count: u64, from: u64) -> Vec<(u64, Event)> {
    let crash = |number| (from + number * 300, Crash(from + number, vec![part]));
    (0..count).map(crash).collect()
}

fn attribution_with_named_part() -> Attribution {
    attribution_after(&crashes_by(BAD, 3, 0))
}

/// Name, events with their times in milliseconds, and the parts to name.
type Case = (&'static str, Vec<(u64, Event)>, Vec<u64>);

/// Asserts that the events of each case name its parts.
fn assert_named(cases: Vec<Case>) {
    for (name, mut events, expected) in cases {
        events.sort_by_key(|(millis, _)| *millis);

        let attribution = attribution_after(&events);

        assert_eq!(named(&attribution), expected, "{name}");
    }
}

/// Guards against causes that are missed, and against sound parts that are named beside them.
#[test]
fn the_part_that_explains_the_crashes_is_named() {
    let other = part(0x0d, 2);
    let own = |number| part(0x100 + number, 2);
    assert_named(vec![
        ("two crashes", crashes_by(BAD, 2, 0), vec![]),
        ("three crashes", crashes_by(BAD, 3, 0), vec![BAD.id]),
        (
            "one server, reported several times",
            (0..9).map(|n| (n * 300, Crash(1, vec![BAD]))).collect(),
            vec![],
        ),
        (
            "beside other parts of the same and of other requests",
            (0..4)
                .map(|n| (n * 300, Crash(n, vec![FIRST, BAD, own(n)])))
                .collect(),
            vec![BAD.id],
        ),
        (
            "always beside a first part that is in more crashes",
            (0..6)
                .map(|n| {
                    let parts = if n < 4 { vec![FIRST, BAD] } else { vec![FIRST] };
                    (n * 300, Crash(n, parts))
                })
                .chain([(50, Answer(vec![FIRST])), (2000, Answer(vec![FIRST]))])
                .collect(),
            vec![BAD.id],
        ),
        (
            "two causes at once",
            (0..8)
                .map(|n| (n * 300, Crash(n, vec![FIRST, [BAD, other][n as usize % 2]])))
                .chain([(1300, Answer(vec![FIRST]))])
                .collect(),
            vec![other.id, BAD.id],
        ),
    ]);
}

/// Guards against kills, cuts and losses of power that make a sound part a suspect, and causes that hide behind them.
#[test]
fn many_crashes_name_a_part_only_if_no_answer_speaks_for_it() {
    let own = |number| part(0x100 + number, 2);
    assert_named(vec![
        (
            "four servers at one moment",
            (0..4).map(|n| (n, Crash(n, vec![BAD]))).collect(),
            vec![],
        ),
        (
            "five servers at one moment, never answered",
            (0..5).map(|n| (n, Crash(n, vec![BAD]))).collect(),
            vec![BAD.id],
        ),
        (
            "many servers at one moment, answered before",
            [(0, Answer(vec![BAD]))]
                .into_iter()
                .chain((0..30).map(|n| (100 + n, Crash(n, vec![BAD]))))
                .collect(),
            vec![],
        ),
        (
            "answered before, three crashes",
            [(0, Answer(vec![BAD]))]
                .into_iter()
                .chain((1..4).map(|n| (n * 1000, Crash(n, vec![BAD]))))
                .collect(),
            vec![],
        ),
        (
            "answered before, four crashes",
            [(0, Answer(vec![BAD]))]
                .into_iter()
                .chain((1..5).map(|n| (n * 1000, Crash(n, vec![BAD]))))
                .collect(),
            vec![BAD.id],
        ),
        (
            "answered before, six crashes in less time than between two answers",
            [(0, Answer(vec![BAD]))]
                .into_iter()
                .chain(crashes_by(BAD, 6, 100))
                .collect(),
            vec![],
        ),
        (
            "answered after the crashes",
            crashes_by(BAD, 5, 0)
                .into_iter()
                .chain([(2000, Answer(vec![BAD]))])
                .collect(),
            vec![],
        ),
        (
            "a common part under many separate kills, answered between them",
            (0..40)
                .flat_map(|n| {
                    let crash = (n * 500, Crash(n, vec![FIRST, own(n)]));
                    [crash, (n * 500 + 400, Answer(vec![FIRST]))]
                })
                .collect(),
            vec![],
        ),
    ]);
}

/// Guards against a loss of power that counts as several crashes because the losses are noticed one after the other.
#[test]
fn servers_that_may_have_crashed_at_one_moment_count_once() {
    let mut attribution = attribution();
    record(&mut attribution, 0, &Answer(vec![BAD]));
    for number in 0..8 {
        let now = at(1000 + number * 400);
        let span = Span {
            heard_at: at(900),
            lost_at: now,
        };
        attribution.record_crash(number, span, &[BAD], now);
    }

    attribution.expire(at(10_000));

    assert_eq!(named(&attribution), []);
}

/// Guards against a sound part that is named anew by a crash that is reported after its answer.
#[test]
fn a_crash_that_is_reported_late_does_not_undo_an_answer() {
    let reporter = attribution_with_named_part();
    let mut attribution = attribution();
    record(&mut attribution, 5000, &Answer(vec![BAD]));

    exchange(&reporter, &mut attribution, at(6000));

    assert_eq!(named(&attribution), []);
}

/// Guards against a part that stays named at processes that did not see its answer, or is named anew by their reports.
#[test]
fn an_answer_clears_a_part_at_all_processes() {
    let mut one = attribution_with_named_part();
    let mut other = attribution();
    exchange(&one, &mut other, at(2000));
    assert_eq!(named(&other), [BAD.id]);
    let stale = (
        other.updates(Duration::ZERO, at(2000)),
        other.culprits(at(2000)),
    );

    record(&mut one, 2500, &Answer(vec![BAD]));
    exchange(&one, &mut other, at(2600));
    one.merge_crashes(&stale.0, at(2700));
    one.update(at(2700));
    one.merge_culprits(&stale.1, at(2700));

    assert_eq!(named(&one), []);
    assert_eq!(named(&other), []);
    let cleared = other.take_changes();
    assert!(cleared.contains(&Change {
        part: BAD.id,
        is_named: false,
        moments: 3
    }));
}

/// Guards against names that depend on the order, the number or the loss of messages.
#[test]
fn processes_agree_in_whatever_order_reports_arrive() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut processes: Vec<Attribution> = (0..3).map(|_| attribution()).collect();
        for step in 0..40 {
            let now = at(step * 100);
            let process = random.random_range(0..3);
            let shared = [FIRST, BAD, part(0x0d, 2), part(0x0e, 2)];
            let parts: Vec<Part> = shared.sample(&mut random, 2).copied().collect();
            let event = if random.random_bool(0.3) {
                Answer(parts)
            } else {
                Crash(random.random_range(0..20), parts)
            };
            record(&mut processes[process], step * 100, &event);
            let reports = processes[process].updates(Duration::ZERO, now);
            for other in processes.iter_mut().filter(|_| random.random_bool(0.5)) {
                other.merge_crashes(&reports, now);
            }
        }

        for round in 0..6 {
            let reports: Vec<_> = processes
                .iter()
                .map(|process| process.updates(Duration::ZERO, at(5000 + round)))
                .collect();
            for process in &mut processes {
                for report in &reports {
                    process.merge_crashes(report, at(5000 + round));
                }
            }
        }

        for process in &mut processes {
            process.expire(at(6000));
        }
        let names: Vec<Vec<u64>> = processes.iter().map(named).collect();
        assert_eq!(names[0], names[1], "seed {seed}");
        assert_eq!(names[0], names[2], "seed {seed}");
    }
}

/// Guards against processes that miss the first reports and don't learn of a named part later.
#[test]
fn a_process_that_missed_all_reports_learns_of_named_parts() {
    let mut one = attribution_with_named_part();
    let mut late = attribution();

    late.merge_culprits(&one.culprits(at(100_000)), at(100_000));

    assert_eq!(named(&late), [BAD.id]);
    assert!(late.delay(&[BAD], |_| false, at(100_000)).is_some());
    assert!(one.delay(&[FIRST], |_| true, at(100_000)).is_none());
}

/// Guards against reruns that add up over requests, processes or time.
#[test]
fn requests_with_a_named_part_run_again_twice_at_all_processes_together() {
    let mut one = attribution_with_named_part();
    let mut other = attribution();
    let mut runs = Vec::new();
    for second in 2..3000 {
        let now = at(second * 1000);
        exchange(&one, &mut other, now);
        exchange(&other, &mut one, now);
        for (process, is_first) in [(&mut one, true), (&mut other, false)] {
            if process.try_run(&[BAD], |_| is_first, now) {
                runs.push(second);
                record(process, second * 1000, &Crash(second, vec![BAD]));
            }
        }
        one.expire(now);
        other.expire(now);
    }

    assert_eq!(runs.len(), 2, "{runs:?}");
    assert!(runs[0] >= 30, "{runs:?}");
    assert!(runs[1] >= runs[0] + 60, "{runs:?}");
}

/// Guards against a sound part that stays named although its rerun was answered.
#[test]
fn an_answered_rerun_clears_the_part() {
    let mut attribution = attribution_with_named_part();
    assert!(!attribution.try_run(&[BAD], |_| true, at(20_000)));
    assert!(attribution.try_run(&[BAD], |_| true, at(40_000)));

    record(&mut attribution, 41_000, &Answer(vec![BAD]));

    assert_eq!(attribution.delay(&[BAD], |_| true, at(41_000)), None);
    assert_eq!(named(&attribution), []);
}

/// Guards against a part that is forgotten while its requests still come, or kept when they have ended.
#[test]
fn a_named_part_is_kept_while_its_requests_come() {
    let rows = [(300, vec![BAD.id]), (900, vec![])];
    for (pause, expected) in rows {
        let mut attribution = attribution_with_named_part();
        for number in 1..10 {
            let now = at(number * pause * 1000);
            attribution.expire(now);
            attribution.delay(&[BAD], |_| false, now);
        }

        assert_eq!(named(&attribution), expected, "{pause} s");
    }
}

/// Guards against memory that grows with the number of crashes or parts, and against named parts that are evicted.
#[test]
fn the_number_of_crashes_and_parts_is_bounded_and_named_parts_stay() {
    let mut attribution = attribution_with_named_part();
    for number in 0..1000 {
        let parts = (0..100).map(|index| part(1_000_000 + number * 100 + index, 1));
        let millis = 2000 + number * 300;
        record(
            &mut attribution,
            millis,
            &Crash(number + 10_000, parts.collect()),
        );
        record(&mut attribution, millis, &Answer(vec![part(number, 1)]));
    }
    for number in 0..1000 {
        let millis = 400_000 + number;
        record(&mut attribution, millis, &Crash(number + 20_000, vec![BAD]));
    }

    let (crashes, parts) = attribution.size();

    assert!(crashes <= LIMIT.max_crashes, "{crashes} crashes");
    assert!(
        parts <= LIMIT.max_crashes * LIMIT.max_parts,
        "{parts} parts"
    );
    assert_eq!(named(&attribution), [BAD.id]);
}

/// Guards against more named parts than the messages and rows can hold.
#[test]
fn the_number_of_named_parts_is_bounded() {
    let mut attribution = attribution();
    for number in 0..20 {
        for (millis, event) in crashes_by(part(number, 1), 3, number * 1000) {
            record(&mut attribution, millis, &event);
        }
    }

    assert_eq!(attribution.named().count(), LIMIT.max_named);
}

/// Requests of one random run: a first part, some documents, and a part that crashes servers.
struct Traffic {
    random: ChaCha8Rng,
    bad: Part,
}

impl Traffic {
    fn new(seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let position = random.random_range(0..4);
        Self {
            random,
            bad: part(0xbad, position),
        }
    }

    /// Returns the shared parts of a request.
    fn prompt(&mut self, is_bad: bool) -> Vec<Part> {
        let first = part(self.random.random_range(1..4), 0);
        let document = part(self.random.random_range(10..20), 1);
        let own = part(self.random.next_u64() | 1 << 63, 2);
        let mut parts = vec![first, document, own];
        if is_bad {
            let position = usize::from(self.bad.position).min(parts.len());
            parts.insert(position, self.bad);
        }
        let parts = parts.iter().enumerate();
        parts
            .map(|(position, known)| part(known.id, position as u8))
            .collect()
    }
}

/// Guards against causes that take too many crashes to find, and sound parts that are named though they are answered.
#[test]
fn a_cause_is_named_within_few_crashes_and_no_answered_part_is() {
    /// Crashes of the cause until it has to be named.
    const MAX_CRASHES: u64 = 5;
    for seed in 0..300 {
        let mut traffic = Traffic::new(seed);
        let mut attribution = attribution();
        let mut incarnation = 0;
        let mut millis = 0;
        for number in 0..60 {
            millis += traffic.random.random_range(250..500);
            // Each server also runs sound requests, and some servers are killed for another reason.
            let is_bad = (20..20 + MAX_CRASHES).contains(&number);
            let is_killed = traffic.random.random_bool(0.2);
            if is_bad || is_killed {
                let mut parts = traffic.prompt(is_bad);
                for _ in 0..traffic.random.random_range(0..8) {
                    parts.extend(traffic.prompt(false));
                }
                incarnation += 1;
                record(&mut attribution, millis, &Crash(incarnation, parts));
            }
            for _ in 0..12 {
                let parts = traffic.prompt(false);
                record(&mut attribution, millis + 200, &Answer(parts));
            }
        }

        attribution.expire(at(millis + 1000));

        assert_eq!(named(&attribution), [0xbad], "seed {seed}");
    }
}

/// Request that runs at a server.
struct Running {
    server: usize,
    sent_at: u64,
    ends_at: u64,
    parts: Vec<Part>,
    crashes: bool,
    /// Number of servers that were sent the request.
    attempts: u32,
}

/// Servers that run requests for a while, in steps of 10 ms; those that crash are away for a while.
struct Fleet {
    traffic: Traffic,
    attribution: Attribution,
    running: Vec<Running>,
    /// When each server is back, and its incarnation.
    servers: Vec<(u64, u64)>,
    /// Times of the crashes by the cause, and of the sends of its requests.
    crashes: Vec<u64>,
    bad_sends: Vec<u64>,
}

impl Fleet {
    const STEP: u64 = 10;

    fn new(seed: u64, servers: u64) -> Self {
        Self {
            traffic: Traffic::new(seed),
            attribution: attribution(),
            running: Vec::new(),
            servers: (0..servers).map(|server| (0, server * 1000)).collect(),
            crashes: Vec::new(),
            bad_sends: Vec::new(),
        }
    }

    /// Sends a request to a server that is up, if there is one.
    fn send(&mut self, parts: Vec<Part>, crashes: bool, attempts: u32, millis: u64) {
        let up = |server: &usize| self.servers[*server].0 <= millis;
        let up: Vec<usize> = (0..self.servers.len()).filter(up).collect();
        let Some(server) = up.choose(&mut self.traffic.random).copied() else {
            return;
        };
        let lasts = if crashes {
            self.traffic.random.random_range(40..100)
        } else {
            self.traffic.random.random_range(500..3000)
        };
        self.bad_sends.extend(crashes.then_some(millis));
        self.running.push(Running {
            server,
            sent_at: millis,
            ends_at: millis + lasts,
            parts,
            crashes,
            attempts,
        });
    }

    /// Ends the requests that are due, with their servers if they crash them; lost requests are sent once more.
    fn step(&mut self, millis: u64) {
        while let Some(index) = self.running.iter().position(|run| run.ends_at <= millis) {
            if self.running[index].crashes {
                self.crash(self.running[index].server, millis);
            } else {
                let run = self.running.swap_remove(index);
                let now = at(millis);
                self.attribution.record_answer(&run.parts, now, now);
            }
        }
        if millis.is_multiple_of(1000) {
            self.attribution.expire(at(millis));
        }
    }

    fn crash(&mut self, server: usize, millis: u64) {
        let running = std::mem::take(&mut self.running);
        let (lost, running) = running.into_iter().partition(|run| run.server == server);
        self.running = running;
        let (back_at, incarnation) = &mut self.servers[server];
        *back_at = millis + 2000;
        *incarnation += 1;
        let lost: Vec<Running> = lost;
        // Servers send something about every 50 ms.
        let heard_at = lost.iter().map(|run| run.sent_at).max().unwrap_or_default();
        let span = Span {
            heard_at: at(heard_at.max(millis - 50)),
            lost_at: at(millis),
        };
        let parts: Vec<Part> = lost.iter().flat_map(|run| run.parts.clone()).collect();
        self.attribution
            .record_crash(*incarnation, span, &parts, at(millis));
        for run in lost {
            self.crashes.extend(run.crashes.then_some(millis));
            let is_named = self.attribution.find_named(&run.parts).is_some();
            if run.attempts < 2 && !is_named {
                self.send(run.parts, run.crashes, run.attempts + 1, millis);
            }
        }
    }
}

/// Guards against sound parts that are named for a while, and causes that are not, while many servers crash.
#[test]
fn only_the_cause_is_named_while_it_crashes_servers() {
    /// Time after the fifth crash from which sends count, and their largest number.
    const CONTACT_MS: u64 = 3000;
    const MAX_LATE_SENDS: usize = 3;
    /// When the cause begins to crash servers, in milliseconds.
    const ONSET: u64 = 9000;
    /// Until when sound requests with it come; all have been answered, also those sent twice, at the onset.
    const LAST_SOUND: u64 = 2000;
    for seed in 0..100 {
        let was_sound = seed % 2 == 1;
        let mut fleet = Fleet::new(seed, 20);
        for millis in (0..24_000).step_by(Fleet::STEP as usize) {
            if millis % 20 == 0 {
                let parts = fleet.traffic.prompt(false);
                fleet.send(parts, false, 1, millis);
            }
            let is_bad = fleet.traffic.random.random_bool(0.08);
            if is_bad && (was_sound && millis < LAST_SOUND || millis >= ONSET) {
                let parts = fleet.traffic.prompt(true);
                if fleet.attribution.find_named(&parts).is_none() {
                    fleet.send(parts, millis >= ONSET, 1, millis);
                }
            }
            if millis >= 50 && fleet.traffic.random.random_bool(0.005) {
                let server = fleet.traffic.random.random_range(0..20);
                fleet.crash(server, millis);
            }
            fleet.step(millis);

            let named = named(&fleet.attribution);
            let is_sound = |part: &u64| *part != 0xbad && *part < 1 << 63;
            assert!(
                !named.iter().any(is_sound),
                "seed {seed} {millis} {named:x?}"
            );
        }

        assert_eq!(named(&fleet.attribution), [0xbad], "seed {seed}");
        let counted_from = fleet.crashes[4] + CONTACT_MS;
        let late = fleet.bad_sends.iter().filter(|sent| **sent > counted_from);
        let late = late.count();
        assert!(late <= MAX_LATE_SENDS, "seed {seed}: {late} sends");
    }
}

/// Guards against a common part that passes for one that was not answered, since many others were answered after it.
#[test]
fn a_part_that_is_answered_often_is_remembered_among_many_others() {
    let mut attribution = attribution();
    for number in 0..1000 {
        let own = part(1000 + number, 2);
        record(&mut attribution, number * 10, &Answer(vec![FIRST, own]));
    }
    for number in 0..6 {
        let millis = 10_000 + number * 300;
        record(&mut attribution, millis, &Crash(number, vec![FIRST]));
    }

    attribution.expire(at(12_500));

    assert_eq!(named(&attribution), []);
}
