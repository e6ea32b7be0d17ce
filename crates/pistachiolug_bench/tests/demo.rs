//! Tests of the invariants and the report of the demonstration.

use std::{collections::BTreeMap, time::Duration};

use pistachiolug_bench::{
    demo::{invariant, report, spread::Spread},
    experiment::record::Record,
    load::{
        plan::Kind,
        sample::{End, Sample},
    },
};
use pistachiolug_wire::digest::Digest;

fn spread() -> Spread {
    Spread {
        replica_count: 2,
        served_after: vec![Duration::from_secs(1), Duration::from_secs(2)],
        origin_bytes: 100,
        weights_bytes: 100,
    }
}

fn sample(customer: &str, kind: Kind, end: End) -> Sample {
    Sample {
        customer: customer.to_owned(),
        kind,
        nonce: 7,
        content: Digest::of(b"body"),
        entry: 0,
        at_us: 0,
        first_us: Some(1_000),
        end_us: 2_000,
        gaps_us: Vec::new(),
        status: if end == End::Whole { 200 } else { 503 },
        code: String::new(),
        call: String::new(),
        version: "v1".to_owned(),
        tokens: 1,
        retry_after: true,
        end,
    }
}

fn record(runs: u64) -> Record {
    Record {
        bookings: BTreeMap::from([(format!("{:016x}", 7), runs)]),
        origin_bytes: 100,
        ..Record::default()
    }
}

/// Returns the names of the invariants that do not hold.
fn broken(spread: &Spread, samples: &[Sample], record: &Record) -> Vec<&'static str> {
    let invariants = invariant::check(spread, samples, record);
    let broken = invariants.iter().filter(|invariant| !invariant.held);
    broken.map(|invariant| invariant.name).collect()
}

/// Guards against an invariant that holds although its condition is violated, and against one that fails on the
/// violation of another one.
#[test]
fn each_invariant_fails_on_its_violation() {
    let valid_samples = [
        sample("paid", Kind::BookingTwice, End::Whole),
        sample("trial", Kind::Chat, End::NotRun),
    ];
    let answers = "answers are whole, refusals were not run and say when to come back";
    assert_eq!(
        broken(&spread(), &valid_samples, &record(1)),
        Vec::<&str>::new()
    );

    let incomplete = Spread {
        served_after: vec![Duration::from_secs(1)],
        ..spread()
    };
    let replicas = ["every replica serves the new version"];
    assert_eq!(broken(&incomplete, &valid_samples, &record(1)), replicas);

    let expensive = Spread {
        origin_bytes: 401,
        ..spread()
    };
    let copies = ["the origin sends at most 4 copies"];
    assert_eq!(broken(&expensive, &valid_samples, &record(1)), copies);

    let twice = ["bookings run at most once", answers];
    assert_eq!(broken(&spread(), &valid_samples, &record(2)), twice);

    let refused = [sample("paid", Kind::Chat, End::NotRun)];
    let paid = ["paid calls are answered while trials surge"];
    assert_eq!(broken(&spread(), &refused, &record(1)), paid);

    let mut without_retry = sample("trial", Kind::Chat, End::NotRun);
    without_retry.retry_after = false;
    let cases = [
        sample("trial", Kind::Chat, End::Wrong),
        sample("trial", Kind::Chat, End::Cut),
        sample("trial", Kind::Chat, End::Unknown),
        without_retry,
    ];
    for case in cases {
        assert_eq!(broken(&spread(), &[case], &record(1)), [answers]);
    }
}

/// Guards against a report that leaves out a figure or prints a violated invariant as held.
#[test]
fn report_shows_figures_and_results_of_invariants() {
    let samples = [sample("paid", Kind::Chat, End::Whole)];
    let invariants = invariant::check(&spread(), &samples, &record(2));

    let text = report::render(&spread(), &samples, &record(2), &invariants);

    for line in [
        "time to 2 replicas               2.00 s",
        "origin bytes in copies           1.00",
        "paid: first token p95            1.0 ms",
        "duplicates run                   1",
        "BROKEN bookings run at most once (1 ran twice of 1)",
    ] {
        assert!(text.contains(line), "`{line}` is missing in\n{text}");
    }
}
