//! Tests of the invariant checks of experiments.

use std::{
    net::{Ipv4Addr, SocketAddr},
    time::Instant,
};

use pistachiolug_bench::{
    experiment::{
        check,
        document::{AllowedEnds, Document},
        record::Record,
        watch::Sighting,
    },
    load::{
        plan::Kind,
        sample::{End, Sample},
    },
};
use pistachiolug_wire::digest::Digest;

/// Sample, number of runs of its booking, revisions seen at one process, and the invariant that is violated.
type Row = (Sample, u64, &'static [u64], Option<&'static str>);

/// Allows every end, so that only the other checks can find a violation.
const ALL_ALLOWED: AllowedEnds = AllowedEnds {
    not_run: true,
    unknown: true,
    cut: true,
};

fn booking(end: End) -> Sample {
    Sample {
        customer: "paid".to_owned(),
        kind: Kind::Booking,
        nonce: 5,
        content: Digest::of(b"body"),
        entry: 0,
        at_us: 0,
        first_us: None,
        end_us: 0,
        gaps_us: Vec::new(),
        status: 200,
        code: String::new(),
        call: String::new(),
        version: String::new(),
        tokens: 0,
        retry_after: true,
        end,
    }
}

/// Returns a refused booking whose answer does not say when to retry.
fn refusal_without_retry() -> Sample {
    Sample {
        status: 503,
        retry_after: false,
        ..booking(End::NotRun)
    }
}

fn record(runs: u64) -> Record {
    let bookings = (runs > 0).then(|| (format!("{:016x}", 5), runs));
    Record {
        bookings: bookings.into_iter().collect(),
        ..Record::default()
    }
}

fn sightings(revisions: &[u64]) -> Vec<Sighting> {
    revisions
        .iter()
        .map(|revision| Sighting {
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            at: Instant::now(),
            revision: *revision,
        })
        .collect()
}

/// Guards against a check that misses its violation, and against one that reports a valid run.
#[test]
fn each_check_finds_its_violation() {
    let rows: [Row; 9] = [
        (booking(End::Whole), 1, &[1, 2, 3], None),
        (booking(End::Unknown), 1, &[], None),
        (booking(End::Unknown), 0, &[], None),
        (booking(End::NotRun), 0, &[4, 0, 4], None),
        (booking(End::NotRun), 1, &[], Some("not-run means not run")),
        (
            booking(End::Whole),
            2,
            &[],
            Some("bookings run at most once"),
        ),
        (booking(End::Whole), 0, &[], Some("answered bookings ran")),
        (booking(End::Whole), 1, &[3, 2], Some("lists never revert")),
        (
            refusal_without_retry(),
            0,
            &[],
            Some("refusals say when to come back"),
        ),
    ];

    for (sample, runs, revisions, expected) in rows {
        let samples = [sample];
        let violations = check::run(&samples, &record(runs), &sightings(revisions), ALL_ALLOWED);

        let names: Vec<&str> = violations
            .iter()
            .map(|violation| violation.invariant.as_str())
            .collect();
        assert_eq!(names, Vec::from_iter(expected), "{samples:?}");
    }
}

/// Guards against calls that end in an unexpected way without being noticed.
#[test]
fn ends_that_are_not_allowed_are_violations() {
    let ends = [End::NotRun, End::Unknown, End::Cut, End::Unconnected];

    for end in ends {
        let violations = check::run(&[booking(end)], &record(0), &[], AllowedEnds::default());

        assert_eq!(violations.len(), 1, "{end:?}");
    }
}

/// Guards against an experiment file that no longer parses after a change of the document type.
#[test]
fn the_experiments_of_the_repository_are_well_formed() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../experiments");
    let files = std::fs::read_dir(folder).expect("the folder is there");

    for file in files {
        let path = file.expect("the folder can be read").path();

        let read = Document::read(&path);

        assert!(read.is_ok(), "{}: {read:?}", path.display());
    }
}

/// Guards against a caller that is told `not-run`, and so may send again, although an engine started its generation.
#[test]
fn a_started_generation_reported_as_not_run_is_a_violation() {
    let refused = Sample {
        kind: Kind::Chat,
        ..booking(End::NotRun)
    };
    let started = Record {
        generations: [refused.content].into(),
        ..Record::default()
    };

    let violations = check::run(&[refused], &started, &[], ALL_ALLOWED);

    let names: Vec<&str> = violations
        .iter()
        .map(|found| found.invariant.as_str())
        .collect();
    assert_eq!(names, ["not-run means not begun"]);
}
