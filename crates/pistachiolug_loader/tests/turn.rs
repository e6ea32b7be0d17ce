//! Turns of engines that load.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use pistachiolug_loader::{manifest, schedule};

const MEMBERS: usize = 24;

#[test]
fn loads_are_spread_and_end_before_the_version_is_due() {
    let left = Duration::from_millis(4500);

    let waits: Vec<Duration> = (0..MEMBERS)
        .map(|position| schedule::load_delay(left, position, MEMBERS, false))
        .collect();

    assert_eq!(waits[0], Duration::ZERO);
    assert!(waits.is_sorted());
    assert!(waits[MEMBERS - 1] + Duration::from_secs(1) < left);
    assert!(waits[MEMBERS / 2] > left / 4);
}

#[test]
fn a_version_that_is_due_is_loaded_at_once() {
    for position in 0..MEMBERS {
        assert_eq!(
            schedule::load_delay(Duration::ZERO, position, MEMBERS, false),
            Duration::ZERO
        );
    }
    assert_eq!(
        schedule::load_delay(Duration::from_secs(5), 0, 0, false),
        Duration::ZERO
    );
}

#[test]
fn loads_that_a_newer_version_waits_for_are_spread_over_less() {
    let left = Duration::from_secs(7);
    let last = MEMBERS - 1;

    let alone = schedule::load_delay(left, last, MEMBERS, false);
    let awaited = schedule::load_delay(left, last, MEMBERS, true);

    assert!(awaited < alone / 2 && awaited > Duration::from_secs(2));
}

#[test]
fn an_agent_asks_others_for_digests_for_a_bounded_time_and_its_own() {
    let head_starts: Vec<_> = (0..200).map(manifest::peer_read_timeout).collect();

    let readers = head_starts.iter().filter(|start| start.is_none()).count();
    let others: Vec<Duration> = head_starts.into_iter().flatten().collect();
    assert!(
        (1..=5).contains(&readers),
        "{readers} read the origin at once"
    );
    assert!(others.is_sorted());
    assert!(
        others[0] < others[20],
        "they would read the origin together"
    );
    assert!(others.iter().all(|start| *start < Duration::from_secs(1)));
}
