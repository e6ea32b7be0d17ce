//! State of an entry: versions, servers, retry budget and other entries.

#![allow(clippy::unwrap_used)]

mod support;

use std::{rc::Rc, sync::Arc, time::Duration};

use pistachiolug_gateway::{
    config::{Config, Kind},
    reachability::Reachability,
    state::{Options, State},
};
use pistachiolug_platform::kv;
use pistachiolug_wire::{
    datagram::{Beacon, Work},
    position::Position,
};

use support::{metrics, options, parts, route};

fn state(options: Options) -> Rc<State> {
    State::new(options, metrics())
}

fn record_beacon(state: &State, beacon: Beacon) {
    let now = state.now();
    state.with_peers(|peers| peers.record_beacon(beacon, now));
}

fn without_grace() -> Options {
    Options {
        version_grace: Duration::ZERO,
        startup_grace: Duration::ZERO,
        cold_bound: None,
        ..options()
    }
}

/// Guards against a configuration that is undone by rows which are read again out of order.
#[test]
fn an_older_configuration_does_not_replace_a_newer_one() {
    let state = state(options());
    let mut newer = parts(route(Kind::Once, 1));
    newer.version = 7;

    state.set_config(Config::new(newer));
    state.set_config(Config::new(parts(route(Kind::Once, 1))));

    assert_eq!(state.config().unwrap().version(), 7);
}

/// Guards against outages during a rollout: old versions must serve until the new one is due, and no longer.
#[test]
fn a_target_version_is_enforced_once_it_is_due() {
    let waiting = state(options());
    let due = state(without_grace());
    for state in [&waiting, &due] {
        state.set_target_version("m", 2, Some(state.now()));
    }

    assert_eq!(waiting.min_version("m"), None);
    assert_eq!(waiting.target_version("m"), Some(2));
    assert_eq!(due.min_version("m"), Some(2));
    assert_eq!(due.min_version("other"), None);
}

/// Guards against old versions that are allowed again because a newer target replaced one that was already due.
#[test]
fn a_due_version_stays_enforced_while_a_newer_one_is_not_due() {
    // A version that was set before the start is due at once, a new one later.
    let state = state(Options {
        startup_grace: Duration::ZERO,
        cold_bound: None,
        ..options()
    });
    state.set_target_version("m", 2, None);
    state.set_target_version("m", 3, Some(state.now()));
    state.set_target_version("m", 2, Some(state.now()));

    assert_eq!(state.min_version("m"), Some(2));
    assert_eq!(state.target_version("m"), Some(3));
}

/// Guards against the loss of all servers when their leases expire in an outage of the key-value service. A removal while it is
/// reachable takes effect at once; tests/reachability.rs has outages that no call notices.
#[test]
fn servers_that_disappear_around_an_outage_are_kept() {
    let calm = state(options());
    let away = state(options());
    away.with_reachability(|store| {
        store.record_failure(&kv::Error::unavailable("gone"), away.now());
    });
    let back = state(options());
    back.with_reachability(|store| {
        store.record_failure(&kv::Error::unavailable("gone"), back.now());
    });
    back.with_reachability(|store| store.record_success(back.now()));

    let removal = |state: &State| {
        let now = state.now();
        state.with_reachability(|store| store.usable_until(now))
    };
    let calm_until = removal(&calm);

    assert!(calm_until <= calm.now());
    for state in [&away, &back] {
        assert!(removal(state) > state.now() + Duration::from_secs(2));
    }
}

/// Guards against servers that are used after their rows were removed, because only this entry's own calls failed: the service
/// answered other entries all the while, so no lease expired.
#[test]
fn a_removal_takes_effect_at_once_if_the_service_answers_other_entries() {
    let millis = Duration::from_millis;
    let failure = kv::Error::unavailable("cut");
    // Times of answers to others, the first before the failure at 10 s; the service is back at 15 s.
    let cases: [(&str, &[u64], bool); 5] = [
        (
            "others answered throughout",
            &[9_500, 10_700, 11_900, 13_100, 14_300],
            true,
        ),
        (
            "others away for a while",
            &[9_500, 12_700, 13_900, 14_900],
            false,
        ),
        ("others away at the end", &[9_500, 10_700, 11_900], false),
        ("no others heard", &[], false),
        ("others heard again at the end", &[9_500, 14_900], false),
    ];
    for (name, answers, at_once) in cases {
        let mut store = Reachability::default();
        let (before, after): (Vec<u64>, Vec<u64>) =
            answers.iter().partition(|answer| **answer < 10_000);
        for answer in before {
            store.record_answer_to_other(millis(answer));
        }
        store.record_failure(&failure, millis(10_000));
        for answer in after {
            store.record_answer_to_other(millis(answer));
        }

        let during = store.usable_until(millis(15_000));
        store.record_success(millis(15_000));
        let afterwards = store.usable_until(millis(15_100));

        assert_eq!(during <= millis(15_000), at_once, "{name}");
        assert_eq!(afterwards <= millis(15_100), at_once, "{name}");
    }
}

/// Guards against servers that are kept because one watch was cut, and against an outage that is forgotten with it.
#[test]
fn an_outage_of_all_entries_is_remembered_and_a_cut_watch_is_none() {
    let millis = Duration::from_millis;
    let failure = kv::Error::unavailable("cut");
    let mut store = Reachability::default();
    store.record_answer_to_other(millis(9_900));

    store.record_failure(&failure, millis(10_000));
    store.record_success(millis(10_100));
    let after_cut = store.usable_until(millis(10_200));
    store.record_failure(&failure, millis(20_000));
    store.record_success(millis(25_000));
    store.record_failure(&failure, millis(25_200));
    store.record_answer_to_other(millis(25_200));
    let after_outage = store.usable_until(millis(25_300));

    assert_eq!(after_cut, millis(10_200));
    assert!(after_outage > millis(27_000), "{after_outage:?}");
}

/// Guards against retries that are served as first attempts. Their time limits are shorter by what the refused attempt
/// took; those of first attempts differ by up to 15 percent.
#[test]
fn first_attempts_are_distinguished_from_retries() {
    let state = state(options());
    let route = Arc::from("r");
    let limits = [
        (6000, true),
        (5150, true),
        (4700, false),
        (5900, true),
        (2500, false),
    ];

    for (millis, expected) in limits {
        let is_first_attempt = state.record_time_limit(&route, Duration::from_millis(millis));
        assert_eq!(is_first_attempt, expected, "{millis}");
    }
}

/// Guards against a budget that each entry spends in full, so that all entries together exceed it.
#[test]
fn retries_of_all_entries_stay_within_the_budget() {
    let state = state(options());
    let service = Arc::from("s");
    let peer = |name: &str| Beacon {
        name: name.to_owned(),
        address: "10.0.0.9:1".parse().unwrap(),
        region: "inland".to_owned(),
        in_touch: true,
        position: Position::without_era(1),
        rows_age_ms: None,
        work: Vec::<(u32, Work)>::new(),
        shortages: Vec::new(),
        paces: Vec::new(),
    };
    for name in ["entry-2", "entry-3", "entry-4"] {
        record_beacon(&state, peer(name));
    }
    for _ in 0..100 {
        state.count_request(&service);
    }

    let spent = (0..1000).filter(|_| state.take_retry(&service)).count();

    // A quarter of the slack and a fifth of the entry's own requests.
    assert!((30..=45).contains(&spent), "{spent}");
}

/// Guards against rows that are read from an entry which is itself behind.
#[test]
fn the_entry_with_the_newest_rows_is_found() {
    let state = state(options());
    let beacon = |name: &str, port: u16, revision| Beacon {
        name: name.to_owned(),
        address: ([10, 0, 0, 1], port).into(),
        region: "inland".to_owned(),
        in_touch: true,
        position: Position::without_era(revision),
        rows_age_ms: None,
        work: Vec::new(),
        shortages: Vec::new(),
        paces: Vec::new(),
    };

    assert_eq!(state.newer_peer(), None);
    record_beacon(&state, beacon("entry-2", 2, 5));
    record_beacon(&state, beacon("entry-3", 3, 9));

    assert_eq!(state.newer_peer().unwrap().port(), 3);
}

/// Guards against calls to the key-value service that grow with the number of entries, and against a region in which
/// nobody follows it because no entry reaches it.
#[test]
fn two_entries_of_a_region_follow_the_service_for_the_others() {
    let follows = |name: &str, in_touch: bool| {
        let state = state(Options {
            name: name.to_owned(),
            ..options()
        });
        state.with_rows(|rows| {
            rows.reset(pistachiolug_platform::kv::Range {
                entries: Vec::new(),
                position: Position::without_era(1),
            })
        });
        for peer in ["a", "b", "c", "d"].iter().filter(|peer| **peer != name) {
            record_beacon(
                &state,
                Beacon {
                    name: (*peer).to_owned(),
                    address: "10.0.0.9:1".parse().unwrap(),
                    region: "inland".to_owned(),
                    in_touch,
                    position: Position::without_era(1),
                    rows_age_ms: None,
                    work: Vec::new(),
                    shortages: Vec::new(),
                    paces: Vec::new(),
                },
            );
        }
        state.is_active()
    };

    let active = ["a", "b", "c", "d"].map(|name| follows(name, true));
    let alone = ["a", "b", "c", "d"].map(|name| follows(name, false));

    assert_eq!(active.iter().filter(|active| **active).count(), 2);
    assert_eq!(alone, [true; 4]);
}

/// Guards against requests that wait at a server and begin on its old version after the new one is due.
#[test]
fn a_request_may_begin_on_an_old_version_only_until_the_new_one_is_due() {
    let state = state(options());
    state.set_target_version("m", 2, Some(state.now()));
    state.set_target_version("m", 3, Some(state.now()));

    let old = state.time_to_begin("m", 1).unwrap();
    let newest = state.time_to_begin("m", 3);

    assert!(old < options().version_grace);
    assert!(old > options().version_grace / 2);
    assert_eq!(newest, None);
}

/// Guards against beacons that fill the narrow links between regions.
#[test]
fn entries_of_other_regions_get_fewer_beacons() {
    let state = state(options());
    for (name, region) in [("near", "inland"), ("far", "sea")] {
        let beacon = Beacon {
            name: name.to_owned(),
            address: "10.0.0.9:1".parse().unwrap(),
            region: region.to_owned(),
            in_touch: true,
            position: Position::without_era(1),
            rows_age_ms: None,
            work: Vec::new(),
            shortages: Vec::new(),
            paces: Vec::new(),
        };
        record_beacon(&state, beacon);
    }

    let rounds = (0..100).map(|round| state.build_beacon(round).1.len());
    let counts: Vec<usize> = rounds.collect();

    assert!(counts.iter().all(|count| *count >= 1), "{counts:?}");
    let both = counts.iter().filter(|count| **count == 2).count();
    assert!((10..=50).contains(&both), "{both} of 100 go to all");
}
