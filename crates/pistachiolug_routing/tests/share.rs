//! Fair queueing, wait prediction, rate limits and crash suspects.

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

/// Returns the class of a paid plan.
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

/// Pushes `calls` calls of a plan, which are identified by `lane` and their number.
fn fill(queue: &mut Queue<(u8, u32)>, plan: &str, lane: u8, class: Class, calls: u32, cost: u32) {
    for number in 0..calls {
        let id = (lane, number);
        queue.push(plan, class, QueuedCall { id, cost });
    }
}

/// Guards against sharing by the number of calls: a plan with expensive calls would get more than its share of tokens.
#[test]
fn backlogged_plans_get_tokens_by_their_shares() {
    let mut queue = Queue::default();
    fill(&mut queue, "a", 0, paid(3), 1_000, 100);
    fill(&mut queue, "b", 1, paid(1), 1_000, 50);

    let mut tokens = [0_u32; 2];
    for _ in 0..400 {
        let (lane, _) = queue.pop(true).expect("both lanes have waiting calls");
        tokens[usize::from(lane)] += if lane == 0 { 100 } else { 50 };
    }

    let ratio = f64::from(tokens[0]) / f64::from(tokens[1]);
    assert!((2.9..3.1).contains(&ratio), "{tokens:?}");
}

/// Guards against plans that get more than their share because their calls cost more than estimated.
#[test]
fn actual_cost_above_the_estimate_is_charged_to_the_plan() {
    let mut queue = Queue::default();
    fill(&mut queue, "a", 0, paid(1), 1_000, 10);
    fill(&mut queue, "b", 1, paid(1), 1_000, 10);

    let mut served_calls = [0_u32; 2];
    for _ in 0..400 {
        let (lane, _) = queue.pop(true).expect("both lanes have waiting calls");
        served_calls[usize::from(lane)] += 1;
        if lane == 0 {
            queue.settle("a", 10, 30);
        }
    }

    let ratio = f64::from(served_calls[1]) / f64::from(served_calls[0]);
    assert!((2.9..3.1).contains(&ratio), "{served_calls:?}");
}

/// Guards against trial calls that start before paid ones, and against slots left free while only trial calls wait.
#[test]
fn trials_wait_for_other_plans_and_use_idle_shares() {
    let mut queue = Queue::default();
    fill(&mut queue, "trial", 2, TRIAL, 5, 10);
    fill(&mut queue, "a", 0, paid(3), 5, 10);

    let order: Vec<u8> = std::iter::from_fn(|| queue.pop(true))
        .map(|(lane, _)| lane)
        .collect();

    assert_eq!(order, [0, 0, 0, 0, 0, 2, 2, 2, 2, 2]);
}

/// Guards against a plan that blocks the others after a long idle time, as if it had saved up its share.
#[test]
fn an_idle_plan_saves_up_no_share() {
    let mut queue = Queue::default();
    fill(&mut queue, "a", 0, paid(1), 100, 10);
    for _ in 0..50 {
        queue.pop(true);
    }
    fill(&mut queue, "b", 1, paid(1), 100, 10);

    let calls_of_b: u32 = (0..40)
        .filter_map(|_| queue.pop(true))
        .map(|(lane, _)| u32::from(lane))
        .sum();

    assert!((19..=21).contains(&calls_of_b), "{calls_of_b} of 40");
}

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    Push(#[generator(0..3)] u8, #[generator(1..200)] u8),
    Pop(bool),
    Remove(#[generator(0..3)] u8),
}

/// Guards against lost, repeated and reordered calls, and against a token sum that drifts, over random steps.
#[test]
fn calls_leave_the_queue_once_and_in_the_order_of_their_lane() {
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
                    let id = (lane, number);
                    queue.push(plan, class, QueuedCall { id, cost });
                    model.entry(lane).or_default().push((number, cost));
                    number += 1;
                }
                Step::Pop(allow_trials) => match queue.pop(allow_trials) {
                    Some((lane, popped)) => {
                        let first = model
                            .get_mut(&lane)
                            .expect("the lane has waiting calls")
                            .remove(0);
                        assert_eq!(first.0, popped);
                        assert!(allow_trials || lane != 2);
                    }
                    None => assert!(
                        model
                            .iter()
                            .all(|(lane, calls)| calls.is_empty() || (*lane == 2 && !allow_trials))
                    ),
                },
                Step::Remove(lane) => {
                    let calls = model.entry(lane).or_default();
                    let last = calls.last().map_or(u32::MAX, |call| call.0);
                    let removed = queue.remove(plans[usize::from(lane)].0, &(lane, last));
                    assert_eq!(removed, calls.pop().is_some());
                }
            }
            let tokens: u32 = model.values().flatten().map(|call| call.1).sum();
            assert_eq!(queue.total_tokens(), u64::from(tokens));
        }
    });
}

/// Guards against a prediction that ignores waiting or running calls: calls would be admitted and then time out.
#[test]
fn predicted_wait_grows_with_the_backlog() {
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

/// Guards against refused callers that return all at once, too early, or only after a very long time.
#[test]
fn retry_after_is_bounded_and_jittered() {
    let time_left = Duration::from_secs(1);

    let earliest = wait::retry_after(Duration::from_secs(5), time_left, 0.0);
    let latest = wait::retry_after(Duration::from_secs(5), time_left, 1.0);
    let longest = wait::retry_after(Duration::MAX, time_left, 0.0);

    assert_eq!(earliest, Duration::from_secs(4));
    assert_eq!(latest, Duration::from_secs(5));
    assert_eq!(longest, Duration::from_secs(60));
}

/// Guards against calls that can never pass because they cost more than the burst, and against a rate above the limit.
#[test]
fn bucket_passes_its_rate_and_calls_larger_than_its_burst() {
    let (rate, burst) = (600, 100);
    let mut bucket = Bucket::new(burst, Duration::ZERO);

    let mut passed_tokens = 0;
    for second in 0..600 {
        let now = Duration::from_secs(second);
        if bucket.take(rate, burst, 250, now).is_ok() {
            passed_tokens += 250;
        }
    }
    let refused = bucket.take(rate, burst, 250, Duration::from_secs(599));

    assert!(
        (5_750..=6_350).contains(&passed_tokens),
        "{passed_tokens} in ten minutes"
    );
    assert!(refused.is_err());
}

/// Guards against a request that crashes one backend server after another. Several reports of one crash count once.
#[test]
fn crashing_request_runs_on_at_most_two_servers() {
    let digest = Digest::of(b"crashing request");
    let retention = Duration::from_secs(60);
    let mut suspects = Suspects::new(retention, 10);

    let first = suspects.record_crash(digest, 1, Duration::ZERO);
    let repeated = suspects.record_crash(digest, 1, Duration::ZERO);
    let second = suspects.record_crash(digest, 2, Duration::ZERO);

    assert_eq!((first, repeated, second), (1, 1, 2));
    assert_eq!(suspect::decide(0), Decision::Run);
    assert_eq!(suspect::decide(first), Decision::Isolate);
    assert_eq!(suspect::decide(second), Decision::Refuse);
    assert_eq!(suspects.crash_count(&digest, retention), 0, "expires");
}

/// Guards against refusing a request after one crash, because several agents have reported the same crash.
#[test]
fn crash_reported_by_several_agents_counts_once() {
    let digest = Digest::of(b"crashing request");
    let mut suspects = Suspects::new(Duration::from_secs(60), 10);

    suspects.record_reported(digest, 1, Duration::ZERO);
    let own = suspects.record_crash(digest, 1, Duration::ZERO);
    let repeated = suspects.record_crash(digest, 1, Duration::ZERO);
    let other = suspects.record_crash(digest, 2, Duration::ZERO);

    assert_eq!((own, repeated, other), (1, 1, 2));
}

/// Guards against memory that grows with the number of crashes.
#[test]
fn number_of_suspects_is_bounded() {
    let mut suspects = Suspects::new(Duration::from_secs(60), 10);

    for number in 0..100_u8 {
        suspects.record_reported(Digest::of(&[number]), 1, Duration::ZERO);
    }

    assert_eq!(suspects.iter().count(), 10);
}
