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
        ids: Duration::from_secs(1_000_000),
        answers: Duration::from_secs(30),
        rows: 1_000,
        bytes: 300,
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
            assert!(table.bytes() <= limit().bytes);
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
            match table.arrive(id(number), number) {
                Arrival::New => assert!(!promise.withdrawn && promise.executions == 0),
                Arrival::Known(stage, run) => {
                    assert_eq!(run, number, "joined another call's run");
                    assert_eq!(stage == Stage::Finished, promise.finished);
                }
                Arrival::Forgotten => assert!(promise.finished),
                Arrival::Withdrawn => assert!(promise.withdrawn),
            }
        }
        Step::Start(number) => {
            let promise = promises.entry(number).or_default();
            promise.executions += u32::from(table.start(id(number)));
        }
        Step::Finish(number) => {
            let open = table
                .find(id(number))
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
        ids: Duration::from_secs(100),
        answers: Duration::from_secs(10),
        rows: 50,
        bytes: 1_000,
    };
    let mut table = Table::new(bound);

    for number in 0..200_u128 {
        table.arrive(Id(number), ());
        table.start(Id(number));
        table.finish(Id(number), 100, Duration::ZERO);
        table.withdraw(Id(1_000 + number), Duration::ZERO);
    }
    let full = (
        table.count(Stage::Finished) + table.count(Stage::Withdrawn),
        table.bytes(),
    );
    table.trim(bound.answers);
    let answers_gone = (
        table.find(Id(199)).map(|(_, run)| run.is_some()),
        table.bytes(),
    );
    table.trim(bound.ids);

    assert_eq!(full, (50, 1_000));
    assert_eq!(answers_gone, (Some(false), 0));
    assert_eq!(table.find(Id(199)), None);
}

#[test]
fn open_calls_are_never_forgotten() {
    let mut table = Table::new(Limit { rows: 1, ..limit() });
    table.arrive(Id(1), ());
    table.arrive(Id(2), ());
    table.start(Id(2));

    for number in 10..20 {
        table.withdraw(Id(number), Duration::ZERO);
    }
    table.trim(Duration::from_secs(u64::MAX / 2));

    assert_eq!(table.open(), 2);
    assert_eq!(table.find(Id(1)), Some((Stage::Queued, Some(&()))));
    assert_eq!(table.find(Id(2)), Some((Stage::Started, Some(&()))));
}
