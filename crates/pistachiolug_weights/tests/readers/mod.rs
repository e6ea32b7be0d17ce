//! Which members read the origin when its link is the narrowest, and agents are killed while they read.

use std::{collections::BTreeSet, time::Duration};

use pistachiolug_weights::{
    bitmap::Bitmap,
    order::Key,
    planner::{
        Have, Planner,
        fetch::{Outcome, Via},
        policy::{Policy, Scope, Tuning},
    },
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::rounds::{key, pieces, roster};

const PIECES: usize = 48;

const MEMBERS: usize = 12;

const MAX_READERS: usize = 8;

const SEED: u64 = 11;

fn tuning() -> Tuning {
    Tuning {
        policy: Policy::BytesFirst,
        slots: 5,
        neighbour_slots: 2,
        source_slots: 1,
        neighbour_count: 6,
        stall_timeout: Duration::from_millis(1500),
        ask_interval: Duration::from_millis(100),
        suspect_time: Duration::from_millis(1500),
        max_readers: MAX_READERS,
        shares_reads: true,
        ..Tuning::default()
    }
}

fn planner(index: usize) -> Planner {
    Planner::new(
        key(index),
        "a",
        "a",
        &roster(MEMBERS, 1),
        pieces(PIECES),
        tuning(),
        Duration::ZERO,
    )
}

fn set(pieces: impl Iterator<Item = u32>) -> Bitmap {
    let mut set = Bitmap::new(PIECES);
    for piece in pieces {
        set.insert(piece);
    }
    set
}

/// Returns a member that is one of the readers, or one that is not.
fn find(is_reader: bool) -> Planner {
    let mut planners = (0..MEMBERS).map(planner);
    planners
        .find(|planner| (planner.neighbours().count() >= MAX_READERS - 1) == is_reader)
        .expect("some members read the origin, and some do not")
}

/// Reports to a planner that its neighbours hold nothing and read nothing.
fn report_nothing(planner: &mut Planner) {
    let neighbours: Vec<Key> = planner.neighbours().collect();
    for neighbour in neighbours {
        planner.record_have(neighbour, Have::Whole(Bitmap::new(PIECES)), false);
    }
}

fn rng() -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(SEED)
}

/// Reads the origin with a member alone until it would ask other members, and returns the pieces.
fn read_alone(planner: &mut Planner) -> Vec<u32> {
    let mut read = Vec::new();
    while let Some(fetch) = planner.next_fetch(Duration::ZERO, &mut rng()) {
        if !matches!(fetch.via, Via::Source(_)) {
            break;
        }
        planner.finish_fetch(fetch, Outcome::Arrived, Duration::ZERO);
        read.push(fetch.piece);
    }
    read
}

/// Guards against pieces that all arrive at the end. The load: more members than the origin's link can serve at once.
#[test]
fn few_members_read_the_origin_first() {
    let readers = (0..MEMBERS).filter(|index| {
        let mut planner = planner(*index);
        report_nothing(&mut planner);
        planner.next_fetch(Duration::ZERO, &mut rng()).is_some()
    });

    assert_eq!(readers.count(), MAX_READERS);
}

/// Guards against an origin that idles while one reader has many pieces left. The load: the origin goes away 2.4 s after a
/// version was announced, which is just enough for all pieces.
#[test]
fn a_reader_that_is_done_reads_pieces_of_others() {
    let mut reader = find(true);
    report_nothing(&mut reader);

    let read = read_alone(&mut reader);

    // Each of the other readers keeps the next piece in its own order.
    assert!(read.len() >= PIECES - MAX_READERS, "{read:?}");
}

/// Guards against copies that the origin sends twice.
#[test]
fn pieces_that_another_member_reads_are_not_read() {
    let mut reader = find(true);
    report_nothing(&mut reader);
    let neighbour = reader.neighbours().next().unwrap();
    reader.record_reading(neighbour, set((0..PIECES as u32).step_by(2)));

    let read: BTreeSet<u32> = read_alone(&mut reader).into_iter().collect();

    assert!(!read.is_empty());
    assert!(read.iter().all(|piece| piece % 2 == 1), "{read:?}");
}

/// Guards against a member that reads everything because it does not hear of the others. Some of them have failed, so that
/// it also reads pieces for which it is the next one.
#[test]
fn a_reader_without_reports_of_most_others_does_not_read_their_pieces() {
    let mut reader = find(true);
    report_nothing(&mut reader);
    let neighbours: Vec<Key> = reader.neighbours().collect();
    for neighbour in neighbours.into_iter().take(3) {
        for _ in 0..3 {
            reader.record_no_answer(neighbour, Duration::ZERO);
        }
    }
    report_nothing(&mut reader);

    let read = read_alone(&mut reader);

    assert!(!read.is_empty() && read.len() < PIECES / 2, "{read:?}");
}

/// Guards against a version that takes the link from the one that is loaded first.
#[test]
fn only_own_pieces_are_fetched_while_an_older_version_needs_the_link() {
    let mut member = find(false);
    let neighbours: Vec<Key> = member.neighbours().collect();
    for neighbour in neighbours {
        member.record_have(neighbour, Have::Whole(set(0..PIECES as u32)), false);
    }
    member.set_scope(Scope::Assigned);
    let held_back = member.next_fetch(Duration::ZERO, &mut rng());

    member.set_scope(Scope::All);
    let released = member.next_fetch(Duration::ZERO, &mut rng());

    assert_eq!(held_back, None);
    assert!(released.is_some());
}

/// Guards against members that wait for a neighbour which is gone: its fetches end only with their timeout.
#[test]
fn slow_fetches_do_not_occupy_all_slots() {
    let mut member = planner(0);
    let neighbours: Vec<Key> = member.neighbours().collect();
    for neighbour in neighbours {
        member.record_have(neighbour, Have::Whole(set(0..PIECES as u32)), false);
    }
    while member.next_fetch(Duration::ZERO, &mut rng()).is_some() {}

    let later = member.next_fetch(Duration::from_secs(1), &mut rng());

    assert!(later.is_some());
}
