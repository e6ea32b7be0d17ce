//! Pure decisions: routes, events, choice of servers, queues, admission and stops.

#![allow(clippy::unwrap_used)]

mod support;

use std::{sync::Arc, time::Duration};

use pistachiolug_gateway::{
    admission::{self, Decision, Request, SlotRates},
    config::{Config, Denial, Kind, Target},
    event::Splitter,
    pool::{Pool, Requirements},
    queue::{Queue, Rank},
    rate::Rate,
    selection::{self, Candidate, Distance, UpcomingLoad},
    server::Record,
    stop::{self, Stage},
};
use pistachiolug_wire::{
    datagram::{Change, Notice},
    position::Position,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

use support::{MODEL, POSITION, SERVICE, engine, location, parts, record, route};

const NOW: Duration = Duration::from_secs(100);

fn random() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(7)
}

fn pool(records: Vec<Record>) -> Pool {
    let mut pool = Pool::default();
    for record in records {
        pool.put(record, POSITION, Duration::ZERO);
    }
    pool
}

fn numbered(index: u8) -> Record {
    record(
        &format!("i-{index}"),
        format!("10.0.0.{index}:80").parse().unwrap(),
    )
}

fn requirements() -> Requirements {
    Requirements {
        service: Arc::from(SERVICE),
        model: Some(Arc::from(MODEL)),
        prompt_tokens: 900,
        ..Requirements::default()
    }
}

fn chosen(pool: &Pool, requirements: &Requirements, now: Duration) -> Option<String> {
    let choice = pool.choose(
        requirements,
        Some(&engine()),
        &location(),
        now,
        &mut random(),
    );
    choice.map(|choice| choice.record.id.to_string())
}

/// Guards against requests that reach the wrong service where prefixes overlap, or where the host has a port or upper
/// case.
#[test]
fn the_longest_matching_prefix_of_the_host_is_chosen() {
    let mut long = route(Kind::Once, 1);
    long.name = Arc::from("long");
    long.prefix = "/book/late/".to_owned();
    let mut parts = parts(route(Kind::Once, 1));
    parts.routes.push(long);
    let config = Config::new(parts);
    let rows = [
        ("desk.example", "/book/late/1", Some("long")),
        ("DESK.example:8000", "/book/1", Some("r")),
        ("desk.example", "/bookings", None),
        ("other.example", "/book/1", None),
    ];
    for (host, path, name) in rows {
        let authorized = config.authorize(host, path, Some("key-1"));

        let found = authorized
            .ok()
            .map(|authorized| authorized.route.name.to_string());
        assert_eq!(found.as_deref(), name, "{host}{path}");
    }
}

/// Guards against calls without a valid key on routes that need one.
#[test]
fn keys_are_needed_unless_the_route_is_anonymous() {
    let mut open = parts(route(Kind::Once, 1));
    open.routes[0].anonymous = true;
    let closed = Config::new(parts(route(Kind::Once, 1)));
    let open = Config::new(open);

    let denied = closed.authorize("desk.example", "/book/1", Some("key-9"));
    let without = closed.authorize("desk.example", "/book/1", None);
    let anonymous = open.authorize("desk.example", "/book/1", None);

    assert_eq!(denied.unwrap_err(), Denial::BadKey);
    assert_eq!(without.unwrap_err(), Denial::BadKey);
    assert!(anonymous.unwrap().workspace.is_none());
}

/// Guards against traffic shares that differ from the configured weights.
#[test]
fn a_split_route_picks_services_by_weight() {
    let mut split = route(Kind::Once, 1);
    split.targets = [("a", 900), ("b", 100)]
        .map(|(service, weight)| Target {
            service: Arc::from(service),
            weight,
        })
        .to_vec();
    let mut random = random();

    let drawn = (0..10_000)
        .filter(|_| &**split.pick_service(&mut random) == "b")
        .count();

    assert!((800..1200).contains(&drawn), "{drawn}");
}

/// Guards against parts of events that reach the caller because reads end at arbitrary bytes, also inside a blank line.
/// A stream could then not be resumed without a gap or a repetition.
#[test]
fn events_are_whole_however_the_bytes_arrive() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\nid: 4\nda";
    bolero::check!().with_type::<Vec<u8>>().for_each(|lengths| {
        let mut splitter = Splitter::default();
        let mut passed = Vec::new();
        let mut rest = &text[..];
        let mut lengths = lengths.iter().copied().chain(std::iter::repeat(1));
        while !rest.is_empty() {
            let length = usize::from(lengths.next().unwrap()).clamp(1, rest.len());
            let (piece, tail) = rest.split_at(length);
            rest = tail;
            let events = splitter.push(piece).unwrap();
            passed.extend_from_slice(&events.unwrap_or_default());
            assert!(passed.is_empty() || passed.ends_with(b"\n\n") || passed.ends_with(b"\r\n"));
        }
        assert_eq!(passed, text[..text.len() - 8]);
        assert_eq!(splitter.cursor().map(|cursor| cursor.id), Some(3));
        // A comment is passed on, but is no event.
        assert_eq!(splitter.events(), 3);
        assert!(splitter.has_partial());
    });
}

/// Guards against unbounded memory use by a server that never ends an event.
#[test]
fn an_unfinished_event_above_the_size_limit_is_rejected() {
    let mut splitter = Splitter::default();

    let result = splitter.push(&vec![b'x'; (1 << 20) + 1]);

    assert!(result.is_err());
}

fn candidate(expected_wait_ms: f64) -> Candidate {
    Candidate {
        expected_wait_ms,
        failure_rate: 0.0,
        upcoming_load: UpcomingLoad::NotNeeded,
        distance: Distance::SameZone,
        saving_ms: 0.0,
    }
}

/// Guards against a choice by load alone: distance, failures and an upcoming load also delay an answer.
#[test]
fn the_server_with_the_lowest_cost_is_chosen() {
    let far = Candidate {
        distance: Distance::OtherRegion,
        ..candidate(50.0)
    };
    let failing = Candidate {
        failure_rate: 0.5,
        ..candidate(10.0)
    };
    let loading = Candidate {
        upcoming_load: UpcomingLoad::BreaksTwice,
        ..candidate(10.0)
    };
    let rows = [
        (vec![candidate(200.0), candidate(50.0)], 1),
        (vec![far, candidate(50.0)], 1),
        (vec![candidate(300.0), far], 1),
        (vec![failing, candidate(200.0)], 1),
        (vec![loading, candidate(100.0)], 1),
    ];
    for (candidates, index) in rows {
        for seed in 0..20 {
            let mut random = ChaCha8Rng::seed_from_u64(seed);

            assert_eq!(
                selection::choose(&candidates, &mut random),
                Some(index),
                "{candidates:?}"
            );
        }
    }
    assert_eq!(selection::choose(&[], &mut random()), None);
}

/// Guards against a random sample that misses the few servers of the own region and so loads the narrow links between
/// regions.
#[test]
fn a_server_of_the_own_region_is_chosen_among_many_remote_ones() {
    let far = Candidate {
        distance: Distance::OtherRegion,
        ..candidate(50.0)
    };
    // One server of the own region is hidden among many remote ones.
    let mut candidates = vec![far; 40];
    candidates[17] = candidate(50.0);
    let mut random = random();

    let near = (0..200).filter(|_| selection::choose(&candidates, &mut random) == Some(17));

    assert_eq!(near.count(), 200);
}

/// Guards against a long queue at the best server, which arises when many entries choose it between two beacons.
#[test]
fn a_burst_that_sees_the_same_loads_is_spread() {
    // Forty entries choose between two beacons; one server is slightly better than the others.
    let mut candidates = vec![candidate(50.0); 24];
    candidates[3] = candidate(30.0);
    let mut random = random();
    let mut taken = [0; 24];

    for _ in 0..40 {
        taken[selection::choose(&candidates, &mut random).unwrap()] += 1;
    }

    assert!(taken.iter().all(|taken| *taken <= 16), "{taken:?}");
}

/// Guards against requests that queue inside an engine, where more urgent ones can't overtake them.
#[test]
fn a_full_engine_gets_no_request() {
    let mut pool = pool(vec![numbered(1)]);
    let freed = Requirements {
        freed_server: Some(Arc::from("i-1")),
        ..requirements()
    };
    // The last slot is reserved for requests of other entries that are not known yet.
    for _ in 1..engine().slots {
        assert!(chosen(&pool, &requirements(), NOW).is_some());
        pool.start_request("i-1", 900);
    }

    assert_eq!(chosen(&pool, &requirements(), NOW), None);
    assert!(chosen(&pool, &freed, NOW).is_some());
    pool.start_request("i-1", 900);
    assert_eq!(chosen(&pool, &freed, NOW), None);
    pool.end_request("i-1", 900);
    pool.end_request("i-1", 900);
    assert!(chosen(&pool, &requirements(), NOW).is_some());
}

/// Guards against requests to servers that drain, lack the model or the version, or had the request before.
#[test]
fn unusable_servers_are_not_chosen() {
    let mut leaving = numbered(1);
    leaving.leaving = true;
    let mut empty = numbered(2);
    empty.models.clear();
    let pool = pool(vec![leaving, empty, numbered(3), numbered(4)]);
    let tried = Requirements {
        tried: vec![Arc::from("i-3")],
        ..requirements()
    };
    let newer = Requirements {
        min_version: Some(2),
        ..requirements()
    };

    assert_eq!(chosen(&pool, &tried, NOW).as_deref(), Some("i-4"));
    assert_eq!(chosen(&pool, &newer, NOW), None);
}

/// Guards against repeated attempts at a dead server, and against one that is never used again.
#[test]
fn a_failed_server_is_not_chosen_during_its_backoff() {
    let mut pool = pool(vec![numbered(1)]);

    pool.record_failure("i-1", NOW);

    assert_eq!(chosen(&pool, &requirements(), NOW), None);
    assert!(!pool.can_serve(&requirements(), NOW));
    assert!(chosen(&pool, &requirements(), NOW + Duration::from_secs(4)).is_some());
}

/// Guards against load and failures of an ended process that count against its successor with the same id.
#[test]
fn a_restart_under_a_known_id_replaces_the_server() {
    let mut pool = pool(vec![numbered(1)]);
    pool.start_request("i-1", 900);
    pool.record_failure("i-1", NOW);
    let mut restarted = numbered(1);
    restarted.started_ms = 2;

    pool.put(restarted, Position::without_era(2), Duration::ZERO);

    assert_eq!(pool.get("i-1").unwrap().own_work().calls, 0);
    assert!(chosen(&pool, &requirements(), NOW).is_some());
}

/// Guards against a wrong version of a server: its agent reports a load at once, while the server list follows later
/// and would undo the report.
#[test]
fn a_notice_overrides_a_lagging_list() {
    let mut pool = pool(vec![numbered(1)]);
    let notice = |change| Notice {
        server: numbered(1).address,
        started: 1,
        model: MODEL.to_owned(),
        change,
    };
    let newer = Requirements {
        min_version: Some(2),
        ..requirements()
    };

    pool.apply_notice(&notice(Change::Loading { for_ms: 8000 }), NOW);
    let loading = chosen(&pool, &requirements(), NOW);
    pool.apply_notice(&notice(Change::Holds { version: 2 }), NOW);
    // The list still names the earlier version.
    pool.put(numbered(1), POSITION, Duration::ZERO);

    assert_eq!(loading, None);
    assert_eq!(chosen(&pool, &newer, NOW).as_deref(), Some("i-1"));
}

/// Guards against delayed notices of an ended process that are applied to its successor at the same address.
#[test]
fn a_notice_of_another_incarnation_is_ignored() {
    let mut pool = pool(vec![numbered(1)]);
    let notice = Notice {
        server: numbered(1).address,
        started: 9,
        model: MODEL.to_owned(),
        change: Change::Loading { for_ms: 8000 },
    };

    assert!(!pool.apply_notice(&notice, NOW));
    assert!(chosen(&pool, &requirements(), NOW).is_some());
}

/// Guards against the loss of live servers whose rows disappeared with expired leases.
#[test]
fn a_server_is_used_until_its_scheduled_removal() {
    let mut pool = pool(vec![numbered(1)]);

    pool.schedule_removal("i-1", NOW + Duration::from_secs(2));

    assert!(pool.remove_expired(NOW).is_empty());
    assert!(chosen(&pool, &requirements(), NOW).is_some());
    assert_eq!(pool.remove_expired(NOW + Duration::from_secs(2)).len(), 1);
    assert_eq!(chosen(&pool, &requirements(), NOW), None);
}

/// Guards against a preference for a server that is slower than the configuration states.
#[test]
fn the_faster_of_two_servers_is_chosen() {
    let mut pool = pool(vec![numbered(1), numbered(2)]);
    for _ in 0..20 {
        pool.update_slowdown("i-1", 100.0, 500.0);
    }

    assert_eq!(chosen(&pool, &requirements(), NOW).as_deref(), Some("i-2"));
}

/// Guards against first attempts that wait behind retries, and against requests of one rank that overtake each other.
#[test]
fn the_queue_orders_by_rank_then_by_arrival() {
    let rank = |is_late, priority| Rank { is_late, priority };
    let mut queue = Queue::default();
    for (name, rank) in [
        ("late", rank(true, 0)),
        ("second", rank(false, 1)),
        ("third", rank(false, 1)),
        ("first", rank(false, 0)),
    ] {
        queue.push(rank, name);
    }
    let position = queue.push(rank(false, 0), "removed");
    queue.remove(position);

    assert_eq!(queue.ahead(rank(false, 1)).count(), 3);
    let order: Vec<&str> = queue.iter().map(|(_, name)| *name).collect();
    assert_eq!(order, ["first", "second", "third", "late"]);
}

fn request(ahead: usize) -> Request {
    Request {
        target_latency: Duration::from_millis(400),
        is_first_attempt: true,
        time_left: Duration::from_secs(5),
        ahead,
        reopens_in: Duration::ZERO,
        limit: None,
        first_event: None,
    }
}

/// Guards against requests that wait in a long queue only to be refused late.
#[test]
fn requests_that_cannot_be_served_in_time_are_refused_at_once() {
    let rows = [
        (request(0), 50.0, true),
        (request(5), 50.0, true),
        (request(30), 50.0, false),
        (request(0), 1.0, false),
        // A retry may wait longer.
        (
            Request {
                is_first_attempt: false,
                ..request(30)
            },
            50.0,
            true,
        ),
    ];
    for (request, slots_per_second, waits) in rows {
        let decision = admission::decide(&request, &rates(slots_per_second));

        assert_eq!(
            decision != Decision::Refuse,
            waits,
            "{request:?} at {slots_per_second}"
        );
    }
}

/// Returns rates of freed slots of which first attempts take none.
fn rates(slots_per_second: f64) -> SlotRates {
    SlotRates {
        freed_per_second: slots_per_second,
        first_attempts_per_second: 0.0,
    }
}

/// Guards against a rate that stays at its last value after the traffic ends, because it is only updated when something
/// is counted.
#[test]
fn a_rate_falls_while_nothing_is_counted() {
    let mut rate = Rate::new(NOW, 0.0);
    let gap = Duration::from_millis(50);
    for count in 1..=100 {
        rate.count(NOW + gap * count);
    }

    let end = NOW + gap * 100;
    let later = rate.decayed_per_second(end + Duration::from_secs(3));

    assert!(
        (15.0..25.0).contains(&rate.decayed_per_second(end)),
        "{rate:?}"
    );
    assert!(later < 2.0, "{later}");
}

/// Guards against retries that wait for slots which first attempts take before them.
#[test]
fn a_retry_waits_only_for_slots_that_first_attempts_leave() {
    let late = Request {
        is_first_attempt: false,
        ..request(2)
    };
    let rows = [
        // Freed slots per second, those that first attempts take, and whether the retry waits.
        (20.0, 0.0, true),
        (20.0, 10.0, true),
        (20.0, 19.5, false),
        (20.0, 40.0, false),
    ];
    for (slots_per_second, first_attempts, waits) in rows {
        let decision = admission::decide(
            &late,
            &SlotRates {
                freed_per_second: slots_per_second,
                first_attempts_per_second: first_attempts,
            },
        );

        assert_eq!(
            decision != Decision::Refuse,
            waits,
            "{first_attempts} of {slots_per_second}"
        );
    }
    // First attempts are served first and can count on all slots.
    let all = SlotRates {
        freed_per_second: 20.0,
        first_attempts_per_second: 20.0,
    };
    assert_ne!(admission::decide(&request(0), &all), Decision::Refuse);
}

/// Simulates a load on the slots of one engine and returns how many of `callers` begin within the target latency.
///
/// Every caller needs a slot for `busy`; callers arrive every `gap`.
fn simulate(callers: usize, gap: Duration, busy: Duration, admit: bool) -> usize {
    const SLOTS: usize = 8;
    let slots_per_second = SLOTS as f64 / busy.as_secs_f64();
    let target_latency = Duration::from_millis(400);
    let mut free = [Duration::ZERO; SLOTS];
    let mut starts: Vec<Duration> = Vec::new();
    let mut on_time = 0;
    for caller in 0..callers {
        let now = gap * caller as u32;
        let ahead = starts.iter().filter(|start| **start > now).count();
        let slot = free.iter_mut().min().unwrap();
        let wait = slot.saturating_sub(now);
        // A waiting caller leaves the queue after its longest wait.
        let max_wait = match admission::decide(&request(ahead), &rates(slots_per_second)) {
            Decision::Wait(max_wait) => max_wait,
            Decision::Refuse => Duration::ZERO,
        };
        if admit && wait > max_wait {
            continue;
        }
        let start = now + wait;
        starts.push(start);
        *slot = start + busy;
        on_time += usize::from(wait < target_latency);
    }
    on_time
}

/// Guards against an overload in which every request waits and nearly all are answered late.
#[test]
fn admitted_requests_are_served_on_time_under_twice_the_load() {
    let busy = Duration::from_millis(1200);
    let gap = Duration::from_millis(75);

    let admitted = simulate(400, gap, busy, true);
    let queued = simulate(400, gap, busy, false);

    // Half of the load fits; an unbounded queue serves almost nobody on time.
    assert!(admitted >= 180, "{admitted}");
    assert!(queued < admitted / 4, "{queued}");
}

/// Guards against refused callers that all return at once, and against delays that callers ignore because they exceed a
/// third of their time.
#[test]
fn retry_delays_are_spread_within_the_time_that_callers_honor() {
    let left = Duration::from_secs(6);

    let soonest = admission::retry_after(left, None, 0.0);
    let latest = admission::retry_after(left, None, 1.0);

    assert!(soonest >= left / 10 && soonest < latest && latest <= left / 3);
}

/// Guards against requests lost in a restart: the load balancer goes on sending until it has noticed the stop.
#[test]
fn a_stop_accepts_connections_for_a_while_and_then_finishes() {
    let rows = [
        (0, 0, Stage::Accepting),
        (2100, 0, Stage::Accepting),
        (2100, 5, Stage::Accepting),
        // A connection that was accepted last may not have sent its request yet.
        (2700, 0, Stage::Finishing),
        // Requests sent later than three seconds after the signal could be cut off by the end of the process.
        (3000, 5, Stage::Finishing),
        (3000, 0, Stage::Done),
    ];
    for (millis, open, expected) in rows {
        let stage = stop::stage(Duration::from_millis(millis), open);

        assert_eq!(stage, expected, "{millis} ms, {open} open");
    }
}

/// Guards against requests for an ended server whose row has not expired while another server has its address. Rows may
/// arrive in any order.
#[test]
fn the_server_with_the_latest_row_keeps_a_shared_address() {
    let rows = [("i-old", 5), ("i-new", 9)];
    for order in [[0, 1], [1, 0]] {
        let mut pool = Pool::default();
        let replaced = order.map(|index| {
            let (id, revision) = rows[index];
            let record = record(id, "10.0.0.1:80".parse().unwrap());
            pool.put(record, Position::without_era(revision), Duration::ZERO)
        });

        assert_eq!(replaced, [None, Some(Arc::from("i-old"))]);
        assert_eq!(
            chosen(&pool, &requirements(), NOW),
            Some("i-new".to_owned())
        );
        assert_eq!(pool.servers().count(), 1);
    }
}

/// Sends requests from an endless queue at one moment, as one of many entries that see the same empty engine; returns
/// their number.
fn fill(pool: &mut Pool, now: Duration) -> u32 {
    let mut sent = 0;
    while let Some(id) = chosen(pool, &requirements(), now) {
        pool.start_request(&id, requirements().prompt_tokens);
        sent += 1;
    }
    sent
}

/// Guards against an engine that is flooded when it starts: all entries with waiting requests see it empty at once and
/// fill all its slots.
#[test]
fn an_engine_that_starts_under_load_is_not_sent_many_times_its_slots() {
    const ENTRIES: u32 = 15;
    let slots = engine().slots;
    let mut pools: Vec<Pool> = (0..ENTRIES)
        .map(|_| {
            let mut pool = Pool::default();
            pool.set_peer_work(ENTRIES - 1, &FxHashMap::default());
            pool.put(numbered(1), POSITION, NOW);
            pool
        })
        .collect();

    let at_once: u32 = pools.iter_mut().map(|pool| fill(pool, NOW)).sum();
    let alone = {
        let mut pool = Pool::default();
        pool.put(numbered(1), POSITION, NOW);
        fill(&mut pool, NOW)
    };

    assert!(at_once >= slots, "{at_once} sent to {slots} slots");
    assert!(at_once < 2 * slots, "{at_once} sent to {slots} slots");
    assert!(alone + 1 >= slots, "an entry alone fills it");
}
