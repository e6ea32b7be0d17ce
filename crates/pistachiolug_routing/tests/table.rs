//! Invariants of the call table over random steps, and its bounds.

mod support;

use std::{collections::BTreeMap, time::Duration};

use bolero::TypeGenerator;
use pistachiolug_routing::table::{Arrival, Limit, Stage, Table};
use pistachiolug_wire::call::Id;

/// Number of random runs.
const SEEDS: u64 = 2_000;

/// Steps of one run.
const STEPS: usize = 200;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    Arrive(#[generator(0..4)] u8),
    Start(#[generator(0..4)] u8),
    Finish(#[generator(0..4)] u8),
    Withdraw(#[generator(0..4)] u8),
    Wait(#[generator(0..20)] u8),
}

/// What was promised about one id.
#[derive(Debug, Default, Clone, Copy)]
struct Promise {
    executions: u32,
    withdrawn: bool,
    finished: bool,
}

fn limit() -> Limit {
    Limit {
        id_retention: Duration::from_secs(1_000_000),
        answer_retention: Duration::from_secs(30),
        max_ended: 1_000,
        max_answer_bytes: 300,
    }
}

fn id(number: u8) -> Id {
    Id(number.into())
}

#[test]
fn a_call_starts_at_most_once_and_never_after_its_withdrawal() {
    support::for_seeds(SEEDS, |seed| {
        let mut table = Table::new(limit());
        let mut promises: BTreeMap<u8, Promise> = BTreeMap::new();
        let mut now = Duration::ZERO;

        for step in support::steps::<Step>(seed, STEPS) {
            apply(&mut table, &mut promises, &mut now, step);

            for promise in promises.values() {
                assert!(promise.executions <= 1, "{step:?}");
                assert!(!promise.withdrawn || promise.executions == 0, "{step:?}");
            }
            assert!(table.answer_bytes() <= limit().max_answer_bytes);
        }
    });
}

fn apply(
    table: &mut Table<u8>,
    promises: &mut BTreeMap<u8, Promise>,
    now: &mut Duration,
    step: Step,
) {
    match step {
        Step::Arrive(number) => {
            let promise = promises.entry(number).or_default();
            match table.register(id(number), number) {
                Arrival::New => assert!(!promise.withdrawn && promise.executions == 0),
                Arrival::Known(stage, run) => {
                    assert_eq!(run, number, "joined another call's run");
                    assert_eq!(stage == Stage::Finished, promise.finished);
                }
                Arrival::Evicted => assert!(promise.finished),
                Arrival::Withdrawn => assert!(promise.withdrawn),
            }
        }
        Step::Start(number) => {
            let promise = promises.entry(number).or_default();
            promise.executions += u32::from(table.start(id(number)));
        }
        Step::Finish(number) => {
            let open = table
                .get(id(number))
                .is_some_and(|(stage, _)| matches!(stage, Stage::Queued | Stage::Started));
            table.finish(id(number), 100, *now);
            promises.entry(number).or_default().finished |= open;
        }
        Step::Withdraw(number) => {
            let promise = promises.entry(number).or_default();
            match table.withdraw(id(number), *now).stage {
                Stage::Withdrawn => promise.withdrawn = true,
                Stage::Started => assert_eq!(promise.executions, 1),
                Stage::Finished => assert!(promise.finished),
                Stage::Queued => panic!("a withdrawal leaves no call queued"),
            }
        }
        Step::Wait(seconds) => {
            *now += Duration::from_secs(seconds.into());
            table.trim(*now);
        }
    }
}

#[test]
fn ended_calls_are_bounded_in_number_size_and_time() {
    let bound = Limit {
        id_retention: Duration::from_secs(100),
        answer_retention: Duration::from_secs(10),
        max_ended: 50,
        max_answer_bytes: 1_000,
    };
    let mut table = Table::new(bound);

    for number in 0..200_u128 {
        table.register(Id(number), ());
        table.start(Id(number));
        table.finish(Id(number), 100, Duration::ZERO);
        table.withdraw(Id(1_000 + number), Duration::ZERO);
    }
    let full = (
        table.count(Stage::Finished) + table.count(Stage::Withdrawn),
        table.answer_bytes(),
    );
    table.trim(bound.answer_retention);
    let answers_gone = (
        table.get(Id(199)).map(|(_, run)| run.is_some()),
        table.answer_bytes(),
    );
    table.trim(bound.id_retention);

    assert_eq!(full, (50, 1_000));
    assert_eq!(answers_gone, (Some(false), 0));
    assert_eq!(table.get(Id(199)), None);
}

#[test]
fn open_calls_are_never_forgotten() {
    let mut table = Table::new(Limit {
        max_ended: 1,
        ..limit()
    });
    table.register(Id(1), ());
    table.register(Id(2), ());
    table.start(Id(2));

    for number in 10..20 {
        table.withdraw(Id(number), Duration::ZERO);
    }
    table.trim(Duration::from_secs(u64::MAX / 2));

    assert_eq!(table.open_count(), 2);
    assert_eq!(table.get(Id(1)), Some((Stage::Queued, Some(&()))));
    assert_eq!(table.get(Id(2)), Some((Stage::Started, Some(&()))));
}
