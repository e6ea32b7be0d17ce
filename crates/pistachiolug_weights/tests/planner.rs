//! Decisions of planners, driven in rounds over an in-memory exchange.

#![allow(clippy::print_stdout)]

mod rounds;

use std::time::Duration;

use pistachiolug_weights::{
    order::Key,
    planner::{
        Have, Planner,
        fetch::{Outcome, Via},
        policy::{Policy, Tuning},
    },
};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rounds::{Rounds, key, pieces, roster, tuning};

/// Memory of control per process (brief) shared by the transfers of eight models.
const MEMORY_BYTES: usize = (32 << 20) / 8;

/// Steps within 1.9% of a core (brief) during a spread of two minutes at 100 million steps a second.
const STEPS: u64 = 228_000_000;

const SEED: u64 = 7;

#[test]
fn copies_stay_bounded_without_faults() {
    for (policy, most) in [(Policy::BytesFirst, 1.10), (Policy::TimeFirst, 4.0)] {
        for count in [1, 2, 4, 8, 16, 32, 64] {
            let mut rounds = Rounds::new(count, 1, 192, policy, SEED);

            rounds.run(4_000);

            let copies = rounds.origin_copies();
            println!("seed {SEED} {policy:?} n {count}: {copies:.2} copies");
            assert!(rounds.complete(), "{policy:?} n {count}");
            assert!(copies <= most, "{policy:?} n {count}: {copies}");
            assert!(rounds.largest_upload() <= 2.0, "{policy:?} n {count}");
        }
    }
}

#[test]
fn copies_stay_bounded_with_a_tenth_killed() {
    for (policy, most) in [(Policy::BytesFirst, 1.5), (Policy::TimeFirst, 4.0)] {
        for seed in 0..8 {
            let mut rounds = Rounds::new(40, 1, 192, policy, seed);
            rounds.run(6);
            for victim in 0..4 {
                rounds.kill(victim * 10);
            }

            rounds.run(20_000);

            let copies = rounds.origin_copies();
            println!("seed {seed} {policy:?}: {copies:.2} copies");
            assert!(rounds.complete(), "seed {seed} {policy:?}");
            assert!(copies <= most, "seed {seed} {policy:?}: {copies}");
        }
    }
}

#[test]
fn half_killed_together_do_not_stop_the_rest() {
    for policy in [Policy::BytesFirst, Policy::TimeFirst] {
        let mut rounds = Rounds::new(32, 1, 96, policy, SEED);
        rounds.run(4);
        (0..16).for_each(|victim| rounds.kill(victim * 2));

        rounds.run(20_000);

        assert!(rounds.complete(), "{policy:?}");
    }
}

#[test]
fn one_copy_crosses_the_link_between_regions() {
    let mut rounds = Rounds::new(24, 2, 192, Policy::BytesFirst, SEED);

    rounds.run(8_000);

    assert!(rounds.complete());
    assert!(rounds.origin_copies() <= 1.10, "{}", rounds.origin_copies());
    assert!(rounds.crossings() <= 1.10, "{}", rounds.crossings());
}

#[test]
fn a_region_that_is_cut_off_catches_up_after_the_link_heals() {
    for policy in [Policy::BytesFirst, Policy::TimeFirst] {
        let mut rounds = Rounds::new(16, 2, 96, policy, SEED);
        rounds.run(4);
        rounds.cut(true);
        rounds.run(2_000);
        assert!(rounds.region_complete("a") && !rounds.region_complete("b"));

        rounds.cut(false);
        rounds.run(20_000);

        let (copies, crossings) = (rounds.origin_copies(), rounds.crossings());
        println!("seed {SEED} {policy:?}: {copies:.2} copies, {crossings:.2} crossings");
        assert!(rounds.complete(), "{policy:?}");
        assert!(
            copies <= 4.0 && crossings <= 2.0,
            "{policy:?}: {copies} {crossings}"
        );
    }
}

#[test]
fn the_first_reader_killed_is_replaced_by_the_next_in_the_order() {
    for victim in 0..3 {
        let mut rounds = Rounds::new(3, 1, 48, Policy::BytesFirst, SEED);
        rounds.run(1);
        rounds.kill(victim);

        rounds.run(20_000);

        assert!(rounds.complete(), "{victim}");
        assert!(
            rounds.origin_copies() <= 1.5,
            "{victim}: {}",
            rounds.origin_copies()
        );
    }
}

#[test]
fn joiners_are_served_without_the_origin() {
    let mut rounds = Rounds::new(16, 1, 96, Policy::BytesFirst, SEED);
    rounds.run(4_000);
    let before = rounds.origin_copies();

    rounds.join(32);
    rounds.run(4_000);

    assert!(rounds.complete());
    assert!((rounds.origin_copies() - before).abs() < f64::EPSILON);
}

#[test]
fn a_member_that_always_corrupts_is_shunned() {
    let mut rounds = Rounds::new(12, 1, 96, Policy::BytesFirst, SEED);
    rounds.corrupt(3);

    rounds.run(20_000);

    assert!(rounds.complete());
    assert!(
        rounds.corrupt_chunks() <= 2 * 11,
        "{}",
        rounds.corrupt_chunks()
    );
    assert!(rounds.shunning(3) > 0);
}

#[test]
fn a_throttled_source_is_left_alone_and_another_one_used() {
    let tuning = Tuning {
        source_count: 2,
        ..tuning(Policy::BytesFirst)
    };
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut planner = Planner::new(
        key(0),
        "a",
        "",
        &roster(1, 1),
        pieces(8),
        tuning,
        Duration::ZERO,
    );
    let first = planner.next_fetch(Duration::ZERO, &mut random).unwrap();
    let after = Duration::from_secs(9);

    planner.finish_fetch(first, Outcome::Busy { after }, Duration::ZERO);

    let throttled = first.via;
    let mut started = Vec::new();
    while let Some(fetch) = planner.next_fetch(Duration::from_secs(8), &mut random) {
        started.push(fetch.via);
    }
    assert!(!started.is_empty() && !started.contains(&throttled));
    let other = started.len();
    while let Some(fetch) = planner.next_fetch(after, &mut random) {
        started.push(fetch.via);
    }
    assert!(started[other..].contains(&throttled));
}

#[test]
fn a_region_leaves_the_origin_to_the_home_region_while_its_readers_are_busy() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    // One member in each region: all pieces come from the one reader of the home region.
    let mut planner = Planner::new(
        key(0),
        "a",
        "b",
        &roster(2, 2),
        pieces(8),
        tuning(Policy::BytesFirst),
        Duration::ZERO,
    );
    let now = Duration::from_secs(3600);

    let started: Vec<Via> = std::iter::from_fn(|| planner.next_fetch(now, &mut random))
        .map(|fetch| fetch.via)
        .collect();

    assert!(!started.is_empty());
    assert!(
        started.iter().all(|via| *via == Via::Member(key(1))),
        "{started:?}"
    );
}

/// Returns the times at which a member turns to a source that is away, while no member gets the piece.
///
/// `other` is a member that works on another version.
fn turns_to_the_source(index: usize, members: usize, other: Option<usize>) -> Vec<Duration> {
    let other = other.map(key);
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut planner = Planner::new(
        key(index),
        "a",
        "",
        &roster(members, 1),
        pieces(1),
        tuning(Policy::BytesFirst),
        Duration::ZERO,
    );
    let mut turns = Vec::new();
    for step in 0..600 {
        let now = Duration::from_millis(100) * step;
        for _ in 0..4 {
            let Some(fetch) = planner.next_fetch(now, &mut random) else {
                break;
            };
            let outcome = match fetch.via {
                Via::Source(_) => {
                    turns.push(now);
                    Outcome::Failed
                }
                Via::Neighbour(asked) | Via::Member(asked) => Outcome::Absent {
                    idle: (Some(asked) != other).then_some(now),
                },
            };
            planner.finish_fetch(fetch, outcome, now);
        }
    }
    turns
}

#[test]
fn a_source_that_is_away_is_tried_often_by_one_and_by_few_in_all() {
    const MEMBERS: usize = 20;

    let mut turns = ranked(MEMBERS, None);

    // A minute is twelve stalls; the one that reads it first looks several times in each.
    assert!(turns[0].0 >= 36, "{turns:?}");
    assert!(turns[1].0 < turns[0].0 / 2, "{turns:?}");
    turns.drain(..3);
    assert!(turns.iter().all(|(count, _)| *count == 0), "{turns:?}");
}

#[test]
fn a_source_that_is_away_is_tried_often_although_the_first_reader_works_on_another_version() {
    const MEMBERS: usize = 20;
    let (_, first) = ranked(MEMBERS, None)[0];

    let mut turns = ranked(MEMBERS, Some(first));

    turns.retain(|(_, index)| *index != first);
    assert!(turns[0].0 >= 36, "{turns:?}");
    assert!(turns[1].0 < turns[0].0 / 2, "{turns:?}");
}

/// Returns how often each member turns to a source that is away, with its index, most often first.
fn ranked(members: usize, other: Option<usize>) -> Vec<(usize, usize)> {
    let mut turns: Vec<(usize, usize)> = (0..members)
        .map(|index| (turns_to_the_source(index, members, other).len(), index))
        .collect();
    turns.sort_unstable_by_key(|(count, _)| std::cmp::Reverse(*count));
    turns
}

#[test]
fn ill_shaped_sets_are_ignored() {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let mut planner = Planner::new(
        key(0),
        "a",
        "",
        &roster(2, 1),
        pieces(8),
        tuning(Policy::BytesFirst),
        Duration::ZERO,
    );

    planner.record_have(
        key(1),
        Have::Whole(pistachiolug_weights::bitmap::Bitmap::new(900)),
        false,
    );
    planner.record_have(key(1), Have::Added(vec![7, 8, u32::MAX]), false);

    while let Some(fetch) = planner.next_fetch(Duration::ZERO, &mut random) {
        assert!(fetch.piece < 8);
        let by_neighbour = matches!(fetch.via, Via::Neighbour(_));
        assert!(!by_neighbour || fetch.piece == 7);
    }
}

/// Costs at several sizes up to 340 members and 10,000 pieces, with neighbours' sets that grow while the transfer runs.
#[test]
fn cost_at_design_size_stays_bounded() {
    let sizes = [
        (85, 10_000),
        (170, 10_000),
        (340, 2_500),
        (340, 5_000),
        (340, 10_000),
    ];
    for (members, count) in sizes {
        let (steps, memory) = cost(members, count);

        println!("seed {SEED} {members} members {count} pieces: {steps} steps, {memory} bytes");
        assert!(steps <= STEPS, "{steps}");
        assert!(memory <= MEMORY_BYTES, "{memory}");
    }
}

/// Returns the steps and the largest memory of one member's whole transfer.
fn cost(members: usize, count: usize) -> (u64, usize) {
    let mut random = ChaCha8Rng::seed_from_u64(SEED);
    let keys: Vec<Key> = pieces(count);
    let now = Duration::ZERO;
    let roster = roster(members, 1);
    let mut planner = Planner::new(key(0), "a", "", &roster, keys, Tuning::default(), now);
    let neighbours: Vec<Key> = planner.neighbours().collect();
    let mut told = 0;
    let mut memory = 0;
    while !planner.is_complete() {
        let end = (told + 64).min(count as u32);
        for neighbour in &neighbours {
            planner.record_have(*neighbour, Have::Added((told..end).collect()), false);
        }
        told = end;
        while let Some(fetch) = planner.next_fetch(now, &mut random) {
            planner.finish_fetch(fetch, Outcome::Arrived, now);
        }
        memory = memory.max(planner.memory_bytes());
    }
    (planner.steps(), memory)
}
