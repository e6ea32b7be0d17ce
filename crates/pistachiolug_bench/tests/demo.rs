//! Invariants of the demonstration: each one breaks on what it forbids, and only that one.

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

fn broken(spread: &Spread, samples: &[Sample], record: &Record) -> Vec<&'static str> {
    let invariants = invariant::check(spread, samples, record);
    let broken = invariants.iter().filter(|invariant| !invariant.held);
    broken.map(|invariant| invariant.name).collect()
}

#[test]
fn each_invariant_breaks_on_what_it_forbids() {
    let whole = [
        sample("paid", Kind::BookingTwice, End::Whole),
        sample("trial", Kind::Chat, End::NotRun),
    ];
    let answers = "answers are whole, refusals were not run and say when to come back";
    assert_eq!(broken(&spread(), &whole, &record(1)), Vec::<&str>::new());

    let late = Spread {
        served_after: vec![Duration::from_secs(1)],
        ..spread()
    };
    let replicas = ["every replica serves the new version"];
    assert_eq!(broken(&late, &whole, &record(1)), replicas);

    let greedy = Spread {
        origin_bytes: 401,
        ..spread()
    };
    let copies = ["the origin sends at most 4 copies"];
    assert_eq!(broken(&greedy, &whole, &record(1)), copies);

    let twice = ["bookings run at most once", answers];
    assert_eq!(broken(&spread(), &whole, &record(2)), twice);

    let refused = [sample("paid", Kind::Chat, End::NotRun)];
    let paid = ["paid calls are answered while trials surge"];
    assert_eq!(broken(&spread(), &refused, &record(1)), paid);

    let mut mute = sample("trial", Kind::Chat, End::NotRun);
    mute.retry_after = false;
    let cases = [
        sample("trial", Kind::Chat, End::Wrong),
        sample("trial", Kind::Chat, End::Cut),
        sample("trial", Kind::Chat, End::Unknown),
        mute,
    ];
    for case in cases {
        assert_eq!(broken(&spread(), &[case], &record(1)), [answers]);
    }
}

#[test]
fn the_report_shows_figures_and_verdicts() {
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
