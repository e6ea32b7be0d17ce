//! Schedule of loads and of manifest reads among the agents of a service.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use pistachiolug_loader::{manifest, schedule};

const MEMBERS: usize = 24;

/// Engines that load at the same time take away the service's capacity; engines that load too late miss the deadline.
#[test]
fn loads_are_spread_and_finish_before_the_deadline() {
    let left = Duration::from_millis(4500);

    let waits: Vec<Duration> = (0..MEMBERS)
        .map(|position| schedule::load_delay(left, position, MEMBERS, false))
        .collect();

    assert_eq!(waits[0], Duration::ZERO);
    assert!(waits.is_sorted());
    assert!(waits[MEMBERS - 1] + Duration::from_secs(1) < left);
    assert!(waits[MEMBERS / 2] > left / 4);
}

/// No agent may wait when no time is left, and an empty roster must not cause a division by zero.
#[test]
fn overdue_version_is_loaded_immediately() {
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

/// With the full schedule of a version, a newer one would be fetched too late.
#[test]
fn loads_are_spread_over_less_time_while_a_newer_version_waits() {
    let left = Duration::from_secs(7);
    let last = MEMBERS - 1;

    let alone = schedule::load_delay(left, last, MEMBERS, false);
    let awaited = schedule::load_delay(left, last, MEMBERS, true);

    assert!(awaited < alone / 2 && awaited > Duration::from_secs(2));
}

/// After a power loss many listed agents do not answer. Equal timeouts would make all agents read the origin at the
/// same time, and unbounded ones would delay the last agents.
#[test]
fn peer_read_timeouts_are_staggered_and_bounded() {
    let timeouts: Vec<_> = (0..200).map(manifest::peer_read_timeout).collect();

    let readers = timeouts.iter().filter(|timeout| timeout.is_none()).count();
    let others: Vec<Duration> = timeouts.into_iter().flatten().collect();
    assert!(
        (1..=5).contains(&readers),
        "{readers} read the origin at once"
    );
    assert!(others.is_sorted());
    assert!(
        others[0] < others[20],
        "they would read the origin together"
    );
    assert!(
        others
            .iter()
            .all(|timeout| *timeout < Duration::from_secs(1))
    );
}

/// Guards against agents that all ask the same few for the digests, and keep connections to hundreds of others. The load: the
/// origin is away for seconds when a version is announced to hundreds of agents.
#[test]
fn each_agent_is_asked_for_digests_by_few_others() {
    let members = 235;
    let upstream: Vec<usize> = (3..members).map(manifest::upstream).collect();

    let askers = |agent: usize| upstream.iter().filter(|asked| **asked == agent).count();
    let most = (0..members).map(askers).max().unwrap();
    let mut depth = 0;
    let mut position = members - 1;
    while position >= 3 {
        position = manifest::upstream(position);
        depth += 1;
    }

    assert!(most <= 4, "{most} agents ask the same one");
    assert!(depth <= 5, "the digests pass through {depth} agents");
}
