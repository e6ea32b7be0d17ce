//! Invariants, checked against the callers' samples and the records of the stand-ins.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{document::AllowedEnds, record::Record, watch::Sighting};
use crate::load::{
    plan::Kind,
    sample::{End, Sample},
};

/// Violated invariant.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Name of the invariant.
    pub invariant: String,
    /// Sample, idempotency key or revision that violates it, as debug text.
    pub seen: String,
}

/// Checks all invariants and returns the violations.
pub fn run(
    samples: &[Sample],
    record: &Record,
    sightings: &[Sighting],
    allow: AllowedEnds,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    violations.extend(check_answers(samples));
    violations.extend(check_not_run(samples, record));
    violations.extend(check_not_started(samples, record));
    violations.extend(check_at_most_once(record));
    violations.extend(check_answered_ran(samples, record));
    violations.extend(check_revisions(sightings));
    violations.extend(check_ends(samples, allow));
    violations.extend(check_retry_after(samples));
    violations
}

/// Checks that each complete answer is the expected answer of the version that it names.
fn check_answers(samples: &[Sample]) -> Vec<Violation> {
    let wrong = samples.iter().filter(|sample| sample.end == End::Wrong);
    wrong
        .map(|sample| violation("answers are whole and own", sample))
        .collect()
}

/// Checks that a booking did not run if all of its callers were told `not-run`.
fn check_not_run(samples: &[Sample], record: &Record) -> Vec<Violation> {
    let bookings = samples.iter().filter(|sample| is_booking(sample));
    let mut ends: BTreeMap<String, Vec<End>> = BTreeMap::new();
    for sample in bookings {
        ends.entry(key(sample)).or_default().push(sample.end);
    }
    ends.iter()
        .filter(|(key, ends)| {
            ends.iter().all(|end| *end == End::NotRun) && record.bookings.contains_key(*key)
        })
        .map(|(key, _)| violation("not-run means not run", key))
        .collect()
}

/// Checks that a generation did not start if its caller was told `not-run`. An engine that was restarted lost its
/// record and is not checked.
fn check_not_started(samples: &[Sample], record: &Record) -> Vec<Violation> {
    let refused = samples.iter().filter(|sample| {
        matches!(sample.kind, Kind::Chat | Kind::ChatWhole) && sample.end == End::NotRun
    });
    refused
        .filter(|sample| record.generations.contains(&sample.content))
        .map(|sample| violation("not-run means not begun", sample))
        .collect()
}

/// Checks that each booking ran at most once.
fn check_at_most_once(record: &Record) -> Vec<Violation> {
    let twice = record.bookings.iter().filter(|(_, runs)| **runs > 1);
    twice
        .map(|run| violation("bookings run at most once", &run))
        .collect()
}

/// Checks that each booking that was answered did run.
fn check_answered_ran(samples: &[Sample], record: &Record) -> Vec<Violation> {
    let answered: BTreeSet<String> = samples
        .iter()
        .filter(|sample| is_booking(sample) && sample.end == End::Whole)
        .map(key)
        .collect();
    answered
        .iter()
        .filter(|key| !record.bookings.contains_key(*key))
        .map(|key| violation("answered bookings ran", key))
        .collect()
}

/// Checks that the list revision in force at a process never decreases.
fn check_revisions(sightings: &[Sighting]) -> Vec<Violation> {
    let mut last = BTreeMap::new();
    let mut violations = Vec::new();
    for sighting in sightings {
        let before = last.insert(sighting.address, sighting.revision);
        // Revision 0 means that the process has just started and has no lists yet.
        if sighting.revision > 0 && before.is_some_and(|before| before > sighting.revision) {
            violations.push(violation("lists never revert", sighting));
        }
    }
    violations
}

/// Checks that calls end only in the ways that the experiment allows.
fn check_ends(samples: &[Sample], allow: AllowedEnds) -> Vec<Violation> {
    let allowed = |end| match end {
        End::Whole | End::Wrong => true,
        End::NotRun => allow.not_run,
        End::Unknown => allow.unknown,
        End::Cut | End::Unconnected => allow.cut,
    };
    let forbidden = samples.iter().filter(|sample| !allowed(sample.end));
    forbidden
        .map(|sample| violation("allowed ends", sample))
        .collect()
}

/// Checks that each refusal with status 429 or 503 says when to retry.
fn check_retry_after(samples: &[Sample]) -> Vec<Violation> {
    let refused = samples.iter().filter(|sample| {
        sample.end == End::NotRun && matches!(sample.status, 429 | 503) && !sample.retry_after
    });
    refused
        .map(|sample| violation("refusals say when to come back", sample))
        .collect()
}

fn is_booking(sample: &Sample) -> bool {
    matches!(sample.kind, Kind::Booking | Kind::BookingTwice)
}

/// Returns the idempotency key of a booking.
fn key(sample: &Sample) -> String {
    format!("{:016x}", sample.nonce)
}

fn violation(invariant: &str, seen: &impl std::fmt::Debug) -> Violation {
    Violation {
        invariant: invariant.to_owned(),
        seen: format!("{seen:?}"),
    }
}
