//! Which body is dropped for another one, what a process may hold, and when the memory of a body is given back.

#![allow(clippy::unwrap_used)]

use std::{
    pin::Pin,
    task::{Context, Poll, Waker},
    time::Duration,
};

use bytes::Bytes;
use hyper::body::Body;
use pistachiolug_gateway::{
    capacity::Capacity,
    intake::{Candidate, Intake, PROGRESS_BYTES, Refusal, STALL_TIME, choose},
    payload::{Content, Payload},
};
use pistachiolug_http::memory::{Budget, SMALL_BYTES};

/// Memory of a budget with room for one body of [`BODY_BYTES`].
const BUDGET_BYTES: usize = 1 << 20;

const BODY_BYTES: usize = (1 << 20) + SMALL_BYTES;

fn candidate(held_bytes: usize, stalled: Duration) -> Candidate {
    Candidate {
        held_bytes,
        stalled,
    }
}

fn intake(reserve: usize) -> (Budget, Intake) {
    let budget = Budget::new(BUDGET_BYTES);
    (budget.clone(), Intake::new(budget, reserve))
}

/// Guards against ordinary callers that are dropped for large bodies without progress, or among them the wrong one.
#[test]
fn the_largest_body_without_progress_is_dropped() {
    let (going, stalled, long) = (STALL_TIME / 2, STALL_TIME, STALL_TIME * 2);
    let rows = [
        ("none", vec![], None),
        ("none stalls", vec![candidate(9, going)], None),
        ("takes nothing", vec![candidate(0, long)], None),
        (
            "a larger one goes on",
            vec![candidate(9, going), candidate(1, stalled)],
            Some(1),
        ),
        (
            "the largest",
            vec![candidate(1, long), candidate(2, stalled)],
            Some(1),
        ),
        (
            "the longest",
            vec![candidate(2, long), candidate(2, stalled)],
            Some(0),
        ),
    ];

    for (name, candidates, expected) in rows {
        assert_eq!(choose(&candidates), expected, "{name}");
    }
}

/// Guards against a body that is refused although only bodies without progress are in its way.
#[test]
fn a_stalled_body_gives_its_memory_to_a_new_one() {
    let (budget, intake) = intake(0);
    let stalled = intake.begin(BODY_BYTES, Duration::ZERO);
    stalled.reserve(BODY_BYTES, Duration::ZERO).unwrap();
    assert_eq!(budget.free(), 0);
    let new = intake.begin(BODY_BYTES, Duration::ZERO);

    let before = new.reserve(BODY_BYTES, STALL_TIME / 2);
    let after = new.reserve(BODY_BYTES, STALL_TIME);

    assert_eq!((before, after), (Err(Refusal::NoMemory), Ok(())));
    assert_eq!(stalled.push(b"x", STALL_TIME), Err(Refusal::NoMemory));
    assert_eq!(stalled.finish(), Err(Refusal::NoMemory));
    new.push(b"whole", STALL_TIME).unwrap();
    let whole = new.finish().unwrap();
    assert_eq!(&whole[..], b"whole");
    drop(whole);
    assert_eq!(budget.free(), BUDGET_BYTES);
}

/// Guards against bodies that keep their memory by sending a byte now and then.
#[test]
fn a_body_that_trickles_makes_no_progress() {
    let (_, intake) = intake(0);
    let [trickling, going] = [0, 1].map(|_| intake.begin(BODY_BYTES, Duration::ZERO));
    trickling.reserve(BODY_BYTES / 2, Duration::ZERO).unwrap();
    going.reserve(BODY_BYTES / 2, Duration::ZERO).unwrap();
    trickling.push(b"x", STALL_TIME).unwrap();
    let progress = vec![b'x'; PROGRESS_BYTES as usize];
    going.push(&progress, STALL_TIME).unwrap();

    let new = intake.begin(BODY_BYTES, STALL_TIME);
    new.reserve(BODY_BYTES / 2, STALL_TIME).unwrap();

    assert_eq!(trickling.finish(), Err(Refusal::NoMemory));
    assert_eq!(going.finish().unwrap().len(), progress.len());
}

/// Guards against bodies of requests that leave no memory for answers, or none for small bodies.
#[test]
fn bodies_leave_memory_to_answers_and_small_bodies() {
    let (budget, intake) = intake(BUDGET_BYTES / 4);
    let large = intake.begin(BODY_BYTES, Duration::ZERO);
    let small = intake.begin(BODY_BYTES, Duration::ZERO);

    let all = large.reserve(BODY_BYTES, Duration::ZERO);
    let most = large.reserve(BUDGET_BYTES / 4 * 3, Duration::ZERO);

    assert_eq!((all, most), (Err(Refusal::NoMemory), Ok(())));
    assert!(budget.free() >= BUDGET_BYTES / 4);
    let bytes = vec![b'x'; SMALL_BYTES];
    assert_eq!(small.push(&bytes, Duration::ZERO), Ok(()));
    let over = small.reserve(BODY_BYTES + 1, Duration::ZERO);
    assert_eq!(over, Err(Refusal::TooLarge));
}

/// Guards against limits that clients within the pages' limits meet on the smallest deployment, and that take more than
/// its memory or descriptors.
#[test]
fn the_capacity_follows_from_memory_and_descriptors() {
    for (memory_mb, descriptors) in [(112, 2_870), (160, 4_100), (512, 8_192), (64, 300)] {
        let memory = memory_mb * 1_000_000;

        let capacity = Capacity::new(memory, descriptors);

        let connections = capacity.front_connections;
        let all = connections + capacity.internal_connections + capacity.ready_connections;
        assert!(capacity.held_bytes - capacity.answer_bytes >= 4 << 20);
        assert!(capacity.held_bytes + connections * (48 << 10) < memory / 4 * 3);
        // Each request of a caller takes another descriptor to its server.
        assert!(all + connections + 40 < descriptors);
    }
    let smallest = Capacity::new(112_000_000, 2_870);
    assert!(smallest.front_connections > 700, "{smallest:?}");
}

fn send(payload: &mut Payload) -> Bytes {
    let mut context = Context::from_waker(Waker::noop());
    match Pin::new(payload).poll_frame(&mut context) {
        Poll::Ready(Some(Ok(frame))) => frame.into_data().unwrap(),
        other => panic!("{other:?}"),
    }
}

/// Guards against bodies that stay in memory until the answer although they can't be sent again.
#[test]
fn a_body_that_is_sent_once_is_given_back_with_its_send() {
    let (budget, intake) = intake(0);
    let reception = intake.begin(BODY_BYTES, Duration::ZERO);
    reception.reserve(BODY_BYTES, Duration::ZERO).unwrap();
    reception.push(b"order", Duration::ZERO).unwrap();
    let content = Content::new(reception.finish().unwrap(), true);
    let unsent = Payload::new(&content);
    drop(unsent);
    assert!(!content.is_released());

    let sent = send(&mut Payload::new(&content));

    assert!(content.is_released());
    assert_eq!(budget.free(), 0);
    drop(sent);
    assert_eq!(budget.free(), BUDGET_BYTES);
}

/// Guards against a repeated request that is sent without its body.
#[test]
fn a_body_that_may_be_sent_again_is_kept_until_it_is_released() {
    let content = Content::new(Bytes::from_static(b"order"), false);

    let sent = [0, 1].map(|_| send(&mut Payload::new(&content)));

    assert_eq!(sent, ["order", "order"]);
    assert!(!content.is_released());
    content.release();
    assert!(content.is_released());
}
