//! Which connection is closed for a new one.

use std::time::Duration;

use pistachiolug_http::connections::{
    PROGRESS_TIME, Peer, SLOW_BYTES_PER_SECOND, Stage, UNREAD_TIME, choose,
};

fn peer(stage: Stage, age: Duration, quiet: Duration) -> Peer {
    Peer {
        stage,
        age,
        quiet,
        received: u64::MAX,
        is_unread: false,
    }
}

/// Guards against a connection whose request a server may be running that is closed, and against ordinary peers that
/// are closed before those that hold connections for nothing.
#[test]
fn connections_without_a_request_are_closed_first() {
    let (short, long, longer) = (PROGRESS_TIME / 2, PROGRESS_TIME, PROGRESS_TIME * 2);
    let busy = peer(Stage::Busy, longer, longer);
    let idle = peer(Stage::Idle, longer, longer);
    let body = peer(Stage::Body, longer, long);
    let new = peer(Stage::New, long, short);
    let unread = |quiet| Peer {
        is_unread: true,
        ..peer(Stage::Idle, UNREAD_TIME, quiet)
    };
    let rows = [
        ("none", vec![], None),
        ("busy", vec![busy], None),
        ("just opened", vec![peer(Stage::New, short, short)], None),
        (
            "just answered",
            vec![peer(Stage::Idle, longer, short)],
            None,
        ),
        (
            "body that goes on",
            vec![peer(Stage::Body, longer, short)],
            None,
        ),
        ("answer being read", vec![unread(UNREAD_TIME / 2)], None),
        ("unread answer", vec![busy, unread(UNREAD_TIME)], Some(1)),
        (
            "idle before unread",
            vec![unread(UNREAD_TIME), idle],
            Some(1),
        ),
        ("idle", vec![busy, idle], Some(1)),
        ("body before idle", vec![idle, busy, body], Some(2)),
        ("head before body", vec![idle, body, new], Some(2)),
        (
            "oldest head",
            vec![new, peer(Stage::New, longer, short)],
            Some(1),
        ),
    ];

    for (name, peers, expected) in rows {
        assert_eq!(choose(&peers), expected, "{name}");
    }
}

/// Guards against bodies that hold a connection by sending a byte now and then.
#[test]
fn a_body_that_trickles_does_not_hold_its_connection() {
    let age = Duration::from_secs(4);
    let with_bytes = |received| Peer {
        received,
        ..peer(Stage::Body, age, Duration::ZERO)
    };
    let enough = SLOW_BYTES_PER_SECOND * age.as_secs();

    assert_eq!(choose(&[with_bytes(enough - 1)]), Some(0));
    assert_eq!(choose(&[with_bytes(enough)]), None);
}
