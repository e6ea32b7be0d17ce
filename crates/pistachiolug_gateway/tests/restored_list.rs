//! Server lists that have come back from an earlier copy.

#![allow(clippy::unwrap_used)]

mod support;

use std::{sync::Arc, thread, time::Duration};

use pistachiolug_gateway::{
    pool::{Pool, Requirements},
    server::{Model, Record},
    state::{Options, State},
};
use pistachiolug_platform::kv::Range;
use pistachiolug_wire::{
    datagram::{Beacon, Suspect},
    position::Position,
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use support::{MODEL, SERVICE, engine, location, metrics, options, record};

const NOW: Duration = Duration::from_secs(100);

/// Longest time until followers write the rows of suspects again.
const MAX_REWRITE_DELAY: Duration = Duration::from_secs(2);

/// Position of rows before the store went back.
const BEFORE: Position = Position::new(1, 900);

/// Position of the same rows in the copy.
const IN_COPY: Position = Position::new(2, 40);

/// Position of rows that were written after the store's return.
const AFTER: Position = Position::new(2, 41);

fn server(id: &str) -> Record {
    record(id, "10.0.0.1:80".parse().unwrap())
}

fn leaving_server() -> Record {
    Record {
        leaving: true,
        ..server("i-1")
    }
}

fn server_with_version(version: u64) -> Record {
    let name = Arc::from(MODEL);
    Record {
        models: vec![Model { name, version }],
        ..server("i-1")
    }
}

fn chosen(pool: &Pool, min_version: u64, now: Duration) -> Option<String> {
    let requirements = Requirements {
        service: Arc::from(SERVICE),
        model: Some(Arc::from(MODEL)),
        min_version: Some(min_version),
        ..Requirements::default()
    };
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let choice = pool.choose(
        &requirements,
        Some(&engine()),
        &location(),
        now,
        &mut random,
    );
    choice.map(|choice| choice.record.id.to_string())
}

/// Guards against servers that are given up because the copy lacks their rows, which they write again within seconds.
#[test]
fn a_server_that_the_copy_lacks_is_kept_for_a_while() {
    let state = State::new(options(), metrics());
    let removal = || {
        let now = state.now();
        let until = state.with_reachability(|store| store.usable_until(now));
        until.saturating_sub(now)
    };

    let is_restored = [1, 1, 2].map(|era| (state.record_era(era), removal()));

    let two_seconds = Duration::from_secs(2);
    assert_eq!(is_restored[..2], [(false, Duration::ZERO); 2]);
    assert!(
        is_restored[2].0 && is_restored[2].1 > two_seconds,
        "{is_restored:?}"
    );
}

/// Guards against a new server that loses its address to an ended one, whose row had a higher revision before.
#[test]
fn a_server_that_is_registered_after_the_return_keeps_its_address() {
    let mut pool = Pool::default();
    pool.put(server("i-1"), BEFORE, NOW);

    pool.put(server("i-2"), AFTER, NOW);

    assert_eq!(chosen(&pool, 1, NOW).as_deref(), Some("i-2"));
}

/// Guards against requests to a server that is draining, while the copy lists it as ready.
#[test]
fn a_server_that_leaves_is_not_used_because_of_the_copy() {
    let mut pool = Pool::default();
    pool.put(server("i-1"), BEFORE, NOW);
    pool.put(leaving_server(), BEFORE, NOW);

    pool.put_restored(server("i-1"), IN_COPY, NOW);

    assert_eq!(chosen(&pool, 1, NOW), None);
}

/// Guards against a server that gets no requests because the copy lists an older version of its weights.
#[test]
fn a_version_is_kept_that_the_copy_does_not_list_yet() {
    let mut pool = Pool::default();
    pool.put(server_with_version(3), BEFORE, NOW);

    pool.put_restored(server_with_version(2), IN_COPY, NOW);

    assert_eq!(chosen(&pool, 3, NOW).as_deref(), Some("i-1"));
}

/// Guards against requests to a server that was removed from the list, while the copy still has it.
#[test]
fn a_server_that_ended_is_not_used_because_of_the_copy() {
    let mut pool = Pool::default();
    pool.put(server("i-1"), BEFORE, NOW);
    pool.schedule_removal("i-1", NOW);
    pool.remove_expired(NOW);

    pool.put_restored(server("i-1"), IN_COPY, NOW);
    pool.put_confirmed(NOW);
    let in_copy = chosen(&pool, 1, NOW);
    pool.put(server("i-1"), AFTER, NOW);

    assert_eq!(in_copy, None);
    assert_eq!(chosen(&pool, 1, NOW).as_deref(), Some("i-1"));
}

/// Guards against a live server that is lost for good because it was once missing from the list.
#[test]
fn an_ended_server_that_stays_listed_is_used() {
    let later = NOW + Duration::from_secs(15);
    let used = [false, true].map(|expires| {
        let mut pool = Pool::default();
        pool.put(server("i-1"), BEFORE, NOW);
        pool.schedule_removal("i-1", NOW);
        pool.remove_expired(NOW);
        pool.put_restored(server("i-1"), IN_COPY, NOW);
        if expires {
            pool.schedule_removal("i-1", NOW);
        }
        pool.put_confirmed(later);
        chosen(&pool, 1, later).is_some()
    });

    assert_eq!(used, [true, false]);
}

/// Guards against a server that loses its address to its predecessor, which the copy still lists.
#[test]
fn a_predecessor_in_the_copy_does_not_replace_a_server() {
    let mut restarted = server("i-1");
    restarted.started_ms = 2;
    for successor in [server("i-2"), restarted] {
        let mut pool = Pool::default();
        pool.put(server("i-1"), BEFORE, NOW);
        pool.put(successor.clone(), Position::new(1, 950), NOW);

        pool.put_restored(server("i-1"), IN_COPY, NOW);

        let record = pool
            .get(&successor.id)
            .map(|server| server.record().clone());
        assert_eq!(record, Some(successor));
    }
}

/// Guards against changes of a live server that are ignored because its row once expired, though it was written again.
#[test]
fn a_server_that_came_back_before_the_copy_is_updated() {
    let mut pool = Pool::default();
    pool.put(server("i-1"), BEFORE, NOW);
    pool.schedule_removal("i-1", NOW);
    pool.remove_expired(NOW);
    pool.put(server("i-1"), Position::new(1, 950), NOW);

    pool.put_restored(leaving_server(), IN_COPY, NOW);

    assert_eq!(chosen(&pool, 1, NOW), None);
}

fn beacon(name: &str) -> Beacon {
    Beacon {
        name: name.to_owned(),
        address: "10.0.0.9:1".parse().unwrap(),
        region: "inland".to_owned(),
        in_touch: true,
        position: AFTER,
        rows_age_ms: None,
        work: Vec::new(),
        shortages: Vec::new(),
        paces: Vec::new(),
    }
}

/// Guards against lost rows that all entries write at once.
#[test]
fn only_followers_write_the_rows_of_suspects_again() {
    let names = ["a", "b", "c", "d"];
    let states = names.map(|name| {
        let options = Options {
            name: name.to_owned(),
            ..options()
        };
        let state = State::new(options, metrics());
        state.merge_suspect(&Suspect {
            content: [7; 32],
            crashes: vec![1, 2, 3],
            cleared: Vec::new(),
            reruns: 0,
            age_ms: 0,
        });
        state.with_rows(|rows| {
            rows.reset(Range {
                entries: Vec::new(),
                position: AFTER,
            })
        });
        for era in [1, 2] {
            state.record_era(era);
        }
        state
    });
    thread::sleep(MAX_REWRITE_DELAY);

    let writers = states.map(|state| {
        let now = state.now();
        for name in names {
            state.with_peers(|peers| peers.record_beacon(beacon(name), now));
        }
        state.take_missing_suspects().len()
    });

    assert_eq!(writers.iter().sum::<usize>(), 2, "{writers:?}");
}
