//! Invariants of the call table over random steps, and bounds on what it keeps.

mod support;

use std::{collections::BTreeMap, time::Duration};

use bolero::TypeGenerator;
use pistachiolug_routing::table::{Arrival, Limit, Stage, Table};
use pistachiolug_wire::call::Id;

/// Number of random runs, each with its own seed.
const SEEDS: u64 = 2_000;

/// Number of steps of one run.
const STEPS: usize = 200;

#[derive(Debug, Clone, Copy, TypeGenerator)]
enum Step {
    Arrive(#[generator(0..4)] u8),
    Start(#[generator(0..4)] u8),
    Finish(#[generator(0..4)] u8),
    Withdraw(#[generator(0..4)] u8),
    Wait(#[generator(0..20)] u8),
}

/// What the table has told the test about one id.
#[derive(Debug, Default, Clone, Copy)]
struct Expectation {
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

/// Guards against a call that runs twice: entries send a call again after a lost connection, and withdraw it before
/// they try another agent, so its messages arrive repeatedly and in any order.
#[test]
fn a_call_starts_at_most_once_and_never_after_its_withdrawal() {
    support::for_seeds(SEEDS, |seed| {
        let mut table = Table::new(limit());
        let mut expectations: BTreeMap<u8, Expectation> = BTreeMap::new();
        let mut now = Duration::ZERO;

        for step in support::steps::<Step>(seed, STEPS) {
            apply(&mut table, &mut expectations, &mut now, step);

            for expected in expectations.values() {
                assert!(expected.executions <= 1, "{step:?}");
                assert!(!expected.withdrawn || expected.executions == 0, "{step:?}");
            }
            assert!(table.answer_bytes() <= limit().max_answer_bytes);
        }
    });
}

fn apply(
    table: &mut Table<u8>,
    expectations: &mut BTreeMap<u8, Expectation>,
    now: &mut Duration,
    step: Step,
) {
    match step {
        Step::Arrive(number) => {
            let expected = expectations.entry(number).or_default();
            match table.register(id(number), number) {
                Arrival::New => assert!(!expected.withdrawn && expected.executions == 0),
                Arrival::Known(stage, run) => {
                    assert_eq!(run, number, "the run belongs to another call");
                    assert_eq!(stage == Stage::Finished, expected.finished);
                }
                Arrival::Evicted => assert!(expected.finished),
                Arrival::Withdrawn => assert!(expected.withdrawn),
            }
        }
        Step::Start(number) => {
            let expected = expectations.entry(number).or_default();
            expected.executions += u32::from(table.start(id(number)));
        }
        Step::Finish(number) => {
            let is_open = table
                .get(id(number))
                .is_some_and(|(stage, _)| matches!(stage, Stage::Queued | Stage::Started));
            table.finish(id(number), 100, *now);
            expectations.entry(number).or_default().finished |= is_open;
        }
        Step::Withdraw(number) => {
            let expected = expectations.entry(number).or_default();
            match table.withdraw(id(number), *now).stage {
                Stage::Withdrawn => expected.withdrawn = true,
                Stage::Started => assert_eq!(expected.executions, 1),
                Stage::Finished => assert!(expected.finished),
                Stage::Queued => panic!("call is still queued after its withdrawal"),
            }
        }
        Step::Wait(seconds) => {
            *now += Duration::from_secs(seconds.into());
            table.trim(*now);
        }
    }
}

/// Guards against memory that grows with the number of calls, many of which are withdrawn before they arrive.
#[test]
fn ended_calls_are_bounded_in_number_size_and_time() {
    let small_limit = Limit {
        id_retention: Duration::from_secs(100),
        answer_retention: Duration::from_secs(10),
        max_ended: 50,
        max_answer_bytes: 1_000,
    };
    let mut table = Table::new(small_limit);

    for number in 0..200_u128 {
        table.register(Id(number), ());
        table.start(Id(number));
        table.finish(Id(number), 100, Duration::ZERO);
        table.withdraw(Id(1_000 + number), Duration::ZERO);
    }
    let before_trim = (
        table.count(Stage::Finished) + table.count(Stage::Withdrawn),
        table.answer_bytes(),
    );
    table.trim(small_limit.answer_retention);
    let after_answer_retention = (
        table.get(Id(199)).map(|(_, run)| run.is_some()),
        table.answer_bytes(),
    );
    table.trim(small_limit.id_retention);

    assert_eq!(before_trim, (50, 1_000));
    assert_eq!(after_answer_retention, (Some(false), 0));
    assert_eq!(table.get(Id(199)), None);
}

/// Guards against evicting a call that still waits or runs, which could then start a second time.
#[test]
fn open_calls_are_never_evicted() {
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
