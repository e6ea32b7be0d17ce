//! Each invariant check finds its violation and passes what is right.

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

/// Sample, runs of its key, revisions seen at one process, and the invariant that breaks.
type Row = (Sample, u64, &'static [u64], Option<&'static str>);

const ALL: AllowedEnds = AllowedEnds {
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

fn silent_refusal() -> Sample {
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
            silent_refusal(),
            0,
            &[],
            Some("refusals say when to come back"),
        ),
    ];

    for (sample, runs, revisions, expected) in rows {
        let samples = [sample];
        let violations = check::run(&samples, &record(runs), &sightings(revisions), ALL);

        let names: Vec<&str> = violations
            .iter()
            .map(|violation| violation.invariant.as_str())
            .collect();
        assert_eq!(names, Vec::from_iter(expected), "{samples:?}");
    }
}

#[test]
fn ends_that_are_not_allowed_are_violations() {
    let ends = [End::NotRun, End::Unknown, End::Cut, End::Unconnected];

    for end in ends {
        let violations = check::run(&[booking(end)], &record(0), &[], AllowedEnds::default());

        assert_eq!(violations.len(), 1, "{end:?}");
    }
}

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

#[test]
fn a_generation_that_began_may_not_be_called_not_run() {
    let refused = Sample {
        kind: Kind::Chat,
        ..booking(End::NotRun)
    };
    let begun = Record {
        generations: [refused.content].into(),
        ..Record::default()
    };

    let violations = check::run(&[refused], &begun, &[], ALL);

    let names: Vec<&str> = violations
        .iter()
        .map(|found| found.invariant.as_str())
        .collect();
    assert_eq!(names, ["not-run means not begun"]);
}
