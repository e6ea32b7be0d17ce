//! Decisions about silent servers, without I/O.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use pistachiolug_gateway::silence::{Progress, Side, Silence, choose};
use tokio::time::Instant;

const BOUND: Duration = Duration::from_millis(800);

/// Guards against requests to ever more servers while one is silent, and against none at all.
#[test]
fn servers_are_asked_after_each_bound_a_limited_number_of_times() {
    let start = Instant::now();
    let mut silence = Silence::new(BOUND, start);
    let mut asks = Vec::new();

    while let Some(at) = silence.ask_at() {
        asks.push(at - start);
        silence.record_ask(at);
    }

    assert_eq!(asks, [BOUND, BOUND * 2, BOUND * 3]);
}

/// Guards against servers that are asked beside one that still sends.
#[test]
fn data_begins_a_new_silence() {
    let start = Instant::now();
    let mut silence = Silence::new(BOUND, start);
    for _ in 0..3 {
        silence.record_ask(start + BOUND);
    }
    let heard_at = start + BOUND * 2;

    silence.record_data(heard_at);

    assert_eq!(silence.ask_at(), Some(heard_at + BOUND));
}

/// Guards against a server that is asked late because the wait for a slot of another one took long.
#[test]
fn the_next_ask_is_one_bound_after_the_last() {
    let start = Instant::now();
    let mut silence = Silence::new(BOUND, start);

    silence.record_ask(start + BOUND * 5);

    assert_eq!(silence.ask_at(), Some(start + BOUND * 6));
}

/// Guards against an overflow where a route has no bound.
#[test]
fn a_bound_without_end_is_never_reached() {
    let silence = Silence::new(Duration::MAX, Instant::now());

    assert_eq!(silence.ask_at(), None);
}

/// Guards against streams that go on at a server that failed, or end at one that may have crashed.
#[test]
fn the_server_that_does_something_first_goes_on_unless_it_fails() {
    let rows = [
        (Side::Former, Progress::Events, Side::Former),
        (Side::Former, Progress::MarkedEnd, Side::Former),
        (Side::Former, Progress::UnmarkedEnd, Side::Former),
        (Side::Former, Progress::Failed, Side::Other),
        (Side::Other, Progress::Events, Side::Other),
        (Side::Other, Progress::MarkedEnd, Side::Other),
        (Side::Other, Progress::UnmarkedEnd, Side::Former),
        (Side::Other, Progress::Failed, Side::Former),
    ];

    for (side, progress, expected) in rows {
        assert_eq!(choose(side, progress), expected, "{side:?} {progress:?}");
    }
}
