//! Outages of the key-value service around the announcement of a version: when older versions may still begin requests.

#![allow(clippy::unwrap_used)]

mod support;

use std::{rc::Rc, time::Duration};

use pistachiolug_gateway::{
    outage::{Change, Disturbance, View},
    state::{Options, State},
    versions::Versions,
};
use pistachiolug_platform::kv;
use pistachiolug_wire::{datagram::Beacon, position::Position};

use support::{metrics, options};

/// Time between the setting of a target version and the moment from which no older version may begin a request.
const GRACE: Duration = Duration::from_secs(10);

/// Interval at which an entry looks at the service.
const TICK: Duration = Duration::from_millis(30);

/// View of an entry that sees all others fail, too.
const AWAY: View = View {
    fails: true,
    heard: 13,
    reaching: 0,
    members: 13,
};

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}

/// Returns targets of which version 2 was set at a time.
fn versions_with_target(set_at: Duration) -> Versions {
    let mut versions = Versions::new(GRACE, Duration::from_secs(4));
    versions.record_target("m", 2, Some(set_at), set_at);
    versions
}

/// Shows an entry a view from one time to another.
fn show(versions: &mut Versions, view: &View, from: Duration, until: Duration) {
    let mut now = from;
    while now < until {
        versions.record_service(view, now);
        now += TICK;
    }
    versions.record_service(
        &View {
            fails: false,
            ..*view
        },
        until,
    );
}

/// Returns the first of the tenths of a second at which only version 2 may begin a request.
fn enforced_at(versions: &Versions) -> Duration {
    let mut tenths = (0..1000).map(|tenth| Duration::from_millis(tenth * 100));
    tenths
        .find(|now| versions.minimum("m", *now) == Some(2))
        .unwrap()
}

/// Guards against servers that are all excluded just after an outage, although the time for the version has not counted in it.
/// The load: a version is set 2 s into an outage of 12 s.
#[test]
fn a_version_that_was_set_in_an_outage_has_its_whole_time_after_it() {
    let mut versions = versions_with_target(seconds(20.0));

    show(&mut versions, &AWAY, seconds(18.0), seconds(30.0));

    let enforced_at = enforced_at(&versions);
    assert!(
        enforced_at > seconds(38.0) && enforced_at <= seconds(40.0),
        "{enforced_at:?}"
    );
}

/// Guards against a version that is learned of only after the outage in which it was set, and is due at once.
#[test]
fn a_version_that_is_learned_after_the_outage_is_postponed_too() {
    let mut versions = Versions::new(GRACE, Duration::from_secs(4));
    show(&mut versions, &AWAY, seconds(18.0), seconds(30.0));

    versions.record_target("m", 2, Some(seconds(17.0)), seconds(31.0));

    assert!(enforced_at(&versions) > seconds(38.0));
}

/// Guards against two outages of which only the first postpones a version.
#[test]
fn each_of_two_outages_postpones_a_version() {
    let mut versions = versions_with_target(seconds(20.0));

    show(&mut versions, &AWAY, seconds(18.0), seconds(30.0));
    show(&mut versions, &AWAY, seconds(31.0), seconds(38.0));

    assert!(enforced_at(&versions) > seconds(46.0));
}

/// Guards against an outage that lets a version begin requests again which was outdated before it.
#[test]
fn a_version_that_was_due_before_the_outage_stays_due() {
    let mut versions = versions_with_target(seconds(5.0));

    show(&mut versions, &AWAY, seconds(15.0), seconds(20.0));

    assert!(enforced_at(&versions) <= seconds(15.0));
}

/// Guards against a restarted entry that takes a target of unknown age for a new one because the service is away.
#[test]
fn a_target_of_unknown_age_is_not_postponed() {
    let mut versions = Versions::new(GRACE, Duration::from_secs(4));
    versions.record_target("m", 2, None, seconds(1.0));

    show(&mut versions, &AWAY, seconds(1.0), seconds(12.0));

    assert!(enforced_at(&versions) <= seconds(4.0));
}

/// Guards against an entry that takes its own trouble for an outage of the service: each row is a view that proves nothing.
#[test]
fn views_that_prove_no_outage_postpone_nothing() {
    let views = [
        (
            "own calls succeed",
            View {
                fails: false,
                ..AWAY
            },
        ),
        (
            "another entry reaches the service",
            View {
                reaching: 1,
                ..AWAY
            },
        ),
        ("no other entry is heard", View { heard: 0, ..AWAY }),
        ("most entries are not heard", View { heard: 6, ..AWAY }),
        (
            "the only entry",
            View {
                heard: 0,
                members: 0,
                ..AWAY
            },
        ),
    ];
    for (name, view) in views {
        let mut versions = versions_with_target(seconds(20.0));

        show(&mut versions, &view, seconds(18.0), seconds(30.0));

        assert!(enforced_at(&versions) <= seconds(30.0), "{name}");
    }
}

/// Guards against logs that miss the begin or the end of an outage.
#[test]
fn the_begin_and_the_end_of_an_outage_are_reported_once() {
    let mut versions = versions_with_target(seconds(1.0));
    let sound = View {
        fails: false,
        ..AWAY
    };

    let changes = [
        versions.record_service(&AWAY, seconds(1.0)),
        versions.record_service(&AWAY, seconds(2.0)),
        versions.record_service(&sound, seconds(3.0)),
        versions.record_service(&sound, seconds(4.0)),
    ];

    let outage = Disturbance {
        since: seconds(1.0),
        until: seconds(2.0),
    };
    let expected = [Some(Change::Began), None, Some(Change::Ended(outage)), None];
    assert_eq!(changes, expected);
}

/// Returns an entry of region `r` that has rows.
fn entry() -> Rc<State> {
    let mut options = Options {
        name: "e-self".to_owned(),
        ..options()
    };
    let regions = &mut options.location.regions;
    regions.insert(options.location.zone.to_string(), "r".to_owned());
    let state = State::new(options, metrics());
    state.with_rows(|rows| {
        rows.reset(kv::Range {
            entries: Vec::new(),
            position: Position::new(1, 1),
        })
    });
    state
}

fn beacon(name: &str, in_touch: bool) -> Beacon {
    Beacon {
        name: name.to_owned(),
        address: "127.0.0.1:9".parse().unwrap(),
        region: "r".to_owned(),
        in_touch,
        position: Position::new(1, 1),
        rows_age_ms: None,
        work: Vec::new(),
        shortages: Vec::new(),
        paces: Vec::new(),
    }
}

/// Guards against review/3: an entry that does not follow the service stays in the belief that it is unreachable, and uses
/// servers that were removed.
#[test]
fn an_entry_that_makes_no_calls_learns_of_the_end_of_an_outage() {
    let state = entry();
    let error = kv::Error::unavailable("refused");
    state.with_reachability(|store| store.record_failure(&error, Duration::ZERO));

    for index in 0..50 {
        state.record_beacon(beacon(&format!("e-{index}"), true), state.now());
    }

    assert!(!state.is_active());
    assert!(state.with_reachability(|store| store.is_reachable()));
}

/// Guards against refusals for too many calls, which are taken for an outage.
#[test]
fn calls_refused_for_their_rate_are_no_outage() {
    let state = entry();
    let throttled = kv::Error::Throttled {
        after: Duration::from_millis(200),
    };
    state.with_reachability(|store| store.record_failure(&throttled, Duration::ZERO));

    assert!(!state.with_reachability(|store| store.fails()));
    assert!(!state.with_reachability(|store| store.is_reachable()));
}
