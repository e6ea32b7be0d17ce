//! Shares of the queue's lanes, wait prediction, limits and crash suspects.

mod support;

use std::{collections::BTreeMap, time::Duration};

use bolero::TypeGenerator;
use pistachiolug_routing::{
    fair_queue::{Class, Queue, QueuedCall},
    limit::Bucket,
    suspect::{self, Decision, Suspects},
    wait::{self, Backlog},
};
use pistachiolug_wire::digest::Digest;

fn paid(weight: u32) -> Class {
    Class {
        weight,
        is_trial: false,
    }
}

const TRIAL: Class = Class {
    weight: 1,
    is_trial: true,
};

fn fill(queue: &mut Queue<(u8, u32)>, plan: &str, lane: u8, class: Class, calls: u32, cost: u32) {
    for number in 0..calls {
        let item = (lane, number);
        queue.push(plan, class, QueuedCall { id: item, cost });
    }
}

#[test]
fn backlogged_plans_get_tokens_by_their_shares() {
    let mut queue = Queue::default();
    fill(&mut queue, "a", 0, paid(3), 1_000, 100);
    fill(&mut queue, "b", 1, paid(1), 1_000, 50);

    let mut tokens = [0_u32; 2];
    for _ in 0..400 {
        let (lane, _) = queue.pop(true).expect("both lanes wait");
        tokens[usize::from(lane)] += if lane == 0 { 100 } else { 50 };
    }

    let ratio = f64::from(tokens[0]) / f64::from(tokens[1]);
    assert!((2.9..3.1).contains(&ratio), "{tokens:?}");
}

#[test]
fn a_real_cost_above_the_estimate_is_charged_to_the_plan() {
    let mut queue = Queue::default();
    fill(&mut queue, "a", 0, paid(1), 1_000, 10);
    fill(&mut queue, "b", 1, paid(1), 1_000, 10);

    let mut served = [0_u32; 2];
    for _ in 0..400 {
        let (lane, _) = queue.pop(true).expect("both lanes wait");
        served[usize::from(lane)] += 1;
        if lane == 0 {
            queue.settle("a", 10, 30);
        }
    }

    let ratio = f64::from(served[1]) / f64::from(served[0]);
    assert!((2.9..3.1).contains(&ratio), "{served:?}");
}

#[test]
fn trials_wait_for_all_others_and_idle_shares_are_used() {
    let mut queue = Queue::default();
    fill(&mut queue, "trial", 2, TRIAL, 5, 10);
    fill(&mut queue, "a", 0, paid(3), 5, 10);

    let order: Vec<u8> = std::iter::from_fn(|| queue.pop(true))
        .map(|(lane, _)| lane)
        .collect();

    assert_eq!(order, [0, 0, 0, 0, 0, 2, 2, 2, 2, 2]);
}

#[test]
fn an_idle_plan_saves_up_no_share() {
    let mut queue = Queue::default();
    fill(&mut queue, "a", 0, paid(1), 100, 10);
    for _ in 0..50 {
        queue.pop(true);
    }
    fill(&mut queue, "b", 1, paid(1), 100, 10);

    let later: u32 = (0..40)
        .filter_map(|_| queue.pop(true))
        .map(|(lane, _)| u32::from(lane))
        .sum();

    assert!((19..=21).contains(&later), "{later} of 40");
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    Push(#[generator(0..3)] u8, #[generator(1..200)] u8),
    Pop(bool),
    Remove(#[generator(0..3)] u8),
}

#[test]
fn calls_leave_the_queue_once_and_in_order_of_their_plan() {
    let plans = [("a", paid(3)), ("b", paid(1)), ("trial", TRIAL)];
    support::for_seeds(500, |seed| {
        let mut queue = Queue::default();
        let mut model: BTreeMap<u8, Vec<(u32, u32)>> = BTreeMap::new();
        let mut number = 0;

        for step in support::steps::<Step>(seed, 300) {
            match step {
                Step::Push(lane, cost) => {
                    let (plan, class) = plans[usize::from(lane)];
                    let cost = u32::from(cost);
                    let item = (lane, number);
                    queue.push(plan, class, QueuedCall { id: item, cost });
                    model.entry(lane).or_default().push((number, cost));
                    number += 1;
                }
                Step::Pop(trials) => match queue.pop(trials) {
                    Some((lane, item)) => {
                        let first = model.get_mut(&lane).expect("lane waits").remove(0);
                        assert_eq!(first.0, item);
                        assert!(trials || lane != 2);
                    }
                    None => assert!(
                        model
                            .iter()
                            .all(|(lane, calls)| calls.is_empty() || (*lane == 2 && !trials))
                    ),
                },
                Step::Remove(lane) => {
                    let calls = model.entry(lane).or_default();
                    let item = calls.last().map_or(u32::MAX, |call| call.0);
                    let removed = queue.remove(plans[usize::from(lane)].0, &(lane, item));
                    assert_eq!(removed, calls.pop().is_some());
                }
            }
            let tokens: u32 = model.values().flatten().map(|call| call.1).sum();
            assert_eq!(queue.total_tokens(), u64::from(tokens));
        }
    });
}

#[test]
fn the_predicted_wait_grows_with_the_work_in_front() {
    let idle = Backlog {
        has_free_slot: true,
        ..Backlog::default()
    };
    let busy = Backlog {
        queued: 1_000,
        owed: 400,
        running: 3,
        has_free_slot: false,
    };

    assert_eq!(wait::predict(&idle, 100.0), Duration::ZERO);
    assert_eq!(wait::predict(&busy, 100.0), Duration::from_secs(12));
}

#[test]
fn the_advised_return_is_bounded_and_spread() {
    let left = Duration::from_secs(1);

    let early = wait::retry_after(Duration::from_secs(5), left, 0.0);
    let late = wait::retry_after(Duration::from_secs(5), left, 1.0);
    let longest = wait::retry_after(Duration::MAX, left, 0.0);

    assert_eq!(early, Duration::from_secs(4));
    assert_eq!(late, Duration::from_secs(5));
    assert_eq!(longest, Duration::from_secs(60));
}

#[test]
fn a_bucket_passes_its_rate_and_calls_larger_than_itself() {
    let (rate, burst) = (600, 100);
    let mut bucket = Bucket::new(burst, Duration::ZERO);

    let mut spent = 0;
    for second in 0..600 {
        let now = Duration::from_secs(second);
        if bucket.take(rate, burst, 250, now).is_ok() {
            spent += 250;
        }
    }
    let refused = bucket.take(rate, burst, 250, Duration::from_secs(599));

    assert!((5_750..=6_350).contains(&spent), "{spent} in ten minutes");
    assert!(refused.is_err());
}

#[test]
fn a_request_runs_on_at_most_two_servers() {
    let digest = Digest::of(b"killer");
    let keep = Duration::from_secs(60);
    let mut suspects = Suspects::new(keep, 10);

    let first = suspects.record_crash(digest, 1, Duration::ZERO);
    let again = suspects.record_crash(digest, 1, Duration::ZERO);
    let second = suspects.record_crash(digest, 2, Duration::ZERO);

    assert_eq!((first, again, second), (1, 1, 2));
    assert_eq!(suspect::decide(0), Decision::Run);
    assert_eq!(suspect::decide(first), Decision::Isolate);
    assert_eq!(suspect::decide(second), Decision::Refuse);
    assert_eq!(suspects.crash_count(&digest, keep), 0, "expires");
}

#[test]
fn deaths_told_by_several_agents_count_once_each() {
    let digest = Digest::of(b"killer");
    let mut suspects = Suspects::new(Duration::from_secs(60), 10);

    suspects.record_reported(digest, 1, Duration::ZERO);
    let own = suspects.record_crash(digest, 1, Duration::ZERO);
    let told_again = suspects.record_crash(digest, 1, Duration::ZERO);
    let other = suspects.record_crash(digest, 2, Duration::ZERO);

    assert_eq!((own, told_again, other), (1, 1, 2));
}

#[test]
fn remembered_suspects_are_bounded() {
    let mut suspects = Suspects::new(Duration::from_secs(60), 10);

    for number in 0..100_u8 {
        suspects.record_reported(Digest::of(&[number]), 1, Duration::ZERO);
    }

    assert_eq!(suspects.iter().count(), 10);
}
