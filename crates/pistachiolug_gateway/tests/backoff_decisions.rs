//! Backoffs of servers without a network: header values, ends, and what the pool and the admission make of them.

#![allow(clippy::unwrap_used)]

mod support;

use std::{sync::Arc, time::Duration};

use pistachiolug_gateway::{
    admission::{self, Decision, Request, SlotRates},
    backoff::{self, Backoff, MAX_BACKOFF, PROBE_INTERVAL},
    pool::{Choice, Pool, Requirements},
    server::Record,
};
use pistachiolug_wire::{
    datagram::{Change, Notice},
    position::Position,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use support::{MODEL, POSITION, SERVICE, engine, location, record};

const NOW: Duration = Duration::from_secs(100);

/// Backoff for which servers ask.
const RETRY_AFTER: Duration = Duration::from_secs(3);

/// Smallest time that the tests tell apart.
const INSTANT: Duration = Duration::from_millis(1);

/// Later than the end of the backoff and of all other times for which servers are avoided.
const AFTER: Duration = Duration::from_secs(110);

fn numbered(index: u8) -> Record {
    record(
        &format!("i-{index}"),
        format!("10.0.0.{index}:80").parse().unwrap(),
    )
}

fn restarted(index: u8) -> Record {
    Record {
        started_ms: 2,
        ..numbered(index)
    }
}

fn requirements() -> Requirements {
    Requirements {
        service: Arc::from(SERVICE),
        model: Some(Arc::from(MODEL)),
        ..Requirements::default()
    }
}

/// Returns a pool of one server, which has asked for a backoff.
fn pool_in_backoff() -> Pool {
    let mut pool = Pool::default();
    pool.put(numbered(1), POSITION, Duration::ZERO);
    pool.record_backoff(&numbered(1), RETRY_AFTER, NOW);
    pool
}

fn choose(pool: &Pool, now: Duration) -> Option<Choice> {
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let engine = engine();
    pool.choose(
        &requirements(),
        Some(&engine),
        &location(),
        now,
        &mut random,
    )
}

fn assign(pool: &mut Pool, now: Duration) -> Option<Choice> {
    let choice = choose(pool, now)?;
    pool.start_request(&choice.record.id, 0);
    pool.record_assignment(&choice);
    Some(choice)
}

/// Guards against header values that take a server out of service for ever, and against valid ones that are ignored.
#[test]
fn retry_delays_of_servers_are_parsed() {
    let seconds = |seconds| Some(Duration::from_secs_f64(seconds));
    let rows = [
        ("3", seconds(3.0)),
        (" 3 ", seconds(3.0)),
        ("0.25", seconds(0.25)),
        (".5", seconds(0.5)),
        ("0", seconds(0.0)),
        ("0.0", seconds(0.0)),
        ("86400", Some(MAX_BACKOFF)),
        ("99999999999999999999999999", Some(MAX_BACKOFF)),
        ("-1", None),
        ("+1", None),
        ("1e3", None),
        ("inf", None),
        ("NaN", None),
        ("3s", None),
        ("1.2.3", None),
        (".", None),
        ("", None),
        ("Fri, 04 Dec 2026 09:16:00 GMT", None),
    ];
    for (value, expected) in rows {
        assert_eq!(backoff::parse_retry_after(value), expected, "{value}");
    }
}

/// Guards against a backoff that a shorter one, or one of no length, brings to an earlier end.
#[test]
fn only_a_later_end_replaces_the_end_of_a_backoff() {
    let second = Duration::from_secs(1);
    let rows = [
        (Duration::ZERO, RETRY_AFTER),
        (second, RETRY_AFTER),
        (RETRY_AFTER, RETRY_AFTER + second),
        (Duration::MAX, MAX_BACKOFF + second),
    ];
    for (next, end) in rows {
        let mut backoff = Backoff::default();

        let begins = backoff.extend(RETRY_AFTER, NOW);
        let begins_again = backoff.extend(next, NOW + second);

        assert!(begins && !begins_again, "{next:?}");
        assert!(
            backoff.is_active(NOW + end.saturating_sub(INSTANT)),
            "{next:?}"
        );
        assert!(!backoff.is_active(NOW + end), "{next:?}");
    }
}

/// Guards against a backoff that another record of the same server, a failure or an answer ends.
#[test]
fn a_backoff_lasts_whatever_else_is_learnt_of_the_server() {
    type Event = fn(&mut Pool);
    let rows: [(&str, Event); 9] = [
        ("nothing", |_| {}),
        ("row", |pool| {
            pool.put(numbered(1), Position::without_era(2), NOW);
        }),
        ("restored row", |pool| {
            pool.put_restored(numbered(1), Position::without_era(2), NOW);
        }),
        ("failure", |pool| pool.record_failure("i-1", NOW)),
        ("full", |pool| pool.record_full("i-1", NOW)),
        ("answer", |pool| {
            pool.record_answer("i-1", true);
            let choice = Choice {
                record: numbered(1),
                expected_wait_ms: 1.0,
                calls: 0,
                pace: 1.0,
                chosen_at: NOW.saturating_sub(INSTANT),
                send_before: None,
            };
            pool.record_reopening(&choice);
        }),
        ("agent's notice", |pool| {
            let notice = Notice {
                server: numbered(1).address,
                started: 1,
                model: MODEL.to_owned(),
                change: Change::Holds { version: 2 },
            };
            assert!(pool.apply_notice(&notice, NOW));
        }),
        ("missing and listed again", |pool| {
            pool.schedule_removal("i-1", NOW);
            assert_eq!(pool.remove_expired(NOW).len(), 1);
            pool.put(numbered(1), Position::without_era(2), NOW);
        }),
        ("answer while missing", |pool| {
            pool.schedule_removal("i-1", NOW);
            pool.remove_expired(NOW);
            pool.record_backoff(&numbered(1), RETRY_AFTER, NOW);
            pool.put(numbered(1), Position::without_era(2), NOW);
        }),
    ];
    for (name, event) in rows {
        let mut pool = pool_in_backoff();

        event(&mut pool);

        let last = NOW + RETRY_AFTER.saturating_sub(INSTANT);
        assert!(choose(&pool, last).is_none(), "{name}");
        assert!(!pool.can_serve(&requirements(), last), "{name}");
        assert!(!pool.may_send(&numbered(1), last), "{name}");
        assert!(choose(&pool, AFTER).is_some(), "{name}");
        assert!(pool.may_send(&numbered(1), AFTER), "{name}");
    }
}

/// Guards against a new process that has to keep the backoff of the former one at its id or address.
#[test]
fn another_incarnation_is_not_in_the_backoff_of_the_former_one() {
    let mut successor = numbered(2);
    successor.address = numbered(1).address;
    let rows = [("same id", restarted(1)), ("same address", successor)];
    for (name, record) in rows {
        let mut pool = pool_in_backoff();

        pool.put(record.clone(), Position::without_era(2), NOW);
        // A late answer of the former one.
        pool.record_backoff(&numbered(1), RETRY_AFTER, NOW);

        assert!(choose(&pool, NOW).is_some(), "{name}");
        assert!(pool.may_send(&record, NOW), "{name}");
    }
}

/// Guards against a burst onto a server at the end of its backoff, where all entries come back at once.
#[test]
fn one_request_at_a_time_follows_a_backoff_until_one_is_answered() {
    let end = NOW + RETRY_AFTER;
    let mut pool = pool_in_backoff();

    let probe = assign(&mut pool, end).unwrap();
    let beside = assign(&mut pool, end);
    let next = assign(&mut pool, end + PROBE_INTERVAL);
    let beside_next = assign(&mut pool, end + PROBE_INTERVAL);
    pool.record_reopening(&probe);
    let reopened = [(); 3].map(|()| assign(&mut pool, end + PROBE_INTERVAL).is_some());

    assert!(beside.is_none() && next.is_some() && beside_next.is_none());
    assert_eq!(reopened, [true; 3]);
}

/// Guards against requests that are refused because of one server's backoff while others can take them.
#[test]
fn the_first_end_of_all_backoffs_is_known_only_if_no_server_is_open() {
    let second = Duration::from_secs(1);
    let mut pool = pool_in_backoff();
    let first = pool.time_to_reopening(&requirements(), NOW + second);
    pool.put(numbered(2), POSITION, Duration::ZERO);
    let beside_an_open_one = pool.time_to_reopening(&requirements(), NOW);
    pool.record_full("i-2", NOW);
    let beside_a_full_one = pool.time_to_reopening(&requirements(), NOW);
    pool.record_backoff(&numbered(2), second, NOW);
    let shortest = pool.time_to_reopening(&requirements(), NOW);
    let tried = Requirements {
        tried: vec![Arc::from("i-2")],
        ..requirements()
    };
    let untried = pool.time_to_reopening(&tried, NOW);

    assert_eq!(first, Some(Duration::from_secs(2)));
    assert_eq!((beside_an_open_one, beside_a_full_one), (None, None));
    assert_eq!((shortest, untried), (Some(second), Some(RETRY_AFTER)));
}

/// Guards against requests that wait for servers whose backoffs last too long, and are refused late.
#[test]
fn a_request_waits_for_the_end_of_a_backoff_only_if_it_comes_in_time() {
    let rates = SlotRates {
        freed_per_second: 50.0,
        first_attempts_per_second: 0.0,
    };
    let rows = [(0, true), (100, true), (150, false), (3000, false)];
    for (reopens_in_ms, waits) in rows {
        let request = Request {
            target_latency: Duration::from_millis(400),
            is_first_attempt: true,
            time_left: Duration::from_secs(5),
            ahead: 0,
            reopens_in: Duration::from_millis(reopens_in_ms),
            limit: None,
            first_event: None,
        };

        let decision = admission::decide(&request, &rates);

        assert_eq!(decision != Decision::Refuse, waits, "{reopens_in_ms} ms");
    }
}

/// Guards against refused callers that come back before any server takes requests, or all at once, or that ignore the
/// delay because it exceeds a third of their time.
#[test]
fn retry_delays_reach_the_end_of_a_backoff_as_far_as_callers_honor_them() {
    let left = Duration::from_secs(6);
    let honored = left / 3;
    for reopens_in_ms in [1, 100, 1000, 1500, 1900, 3000, 600_000] {
        let reopens_in = Duration::from_millis(reopens_in_ms);

        let soonest = admission::retry_after(left, Some(reopens_in), 0.0);
        let latest = admission::retry_after(left, Some(reopens_in), 1.0);

        assert!(latest <= honored, "{reopens_in_ms} ms: {latest:?}");
        assert!(latest >= soonest + left / 20, "{reopens_in_ms} ms");
        let is_reached = soonest >= reopens_in;
        assert!(
            is_reached || reopens_in > honored.mul_f64(0.75),
            "{reopens_in_ms} ms: {soonest:?}"
        );
    }
}
