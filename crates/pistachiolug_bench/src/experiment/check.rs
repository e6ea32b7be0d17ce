//! Invariants checked from the callers' samples and the stand-ins' own records.

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
    /// What was seen.
    pub seen: String,
}

/// Checks all invariants.
pub fn run(
    samples: &[Sample],
    record: &Record,
    sightings: &[Sighting],
    allow: AllowedEnds,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    violations.extend(check_answers(samples));
    violations.extend(check_not_run(samples, record));
    violations.extend(check_not_begun(samples, record));
    violations.extend(check_once(record));
    violations.extend(check_lost(samples, record));
    violations.extend(check_revisions(sightings));
    violations.extend(check_ends(samples, allow));
    violations.extend(check_retry_after(samples));
    violations
}

/// An answer that says it is whole is the answer to its own request from the version it names.
fn check_answers(samples: &[Sample]) -> Vec<Violation> {
    let wrong = samples.iter().filter(|sample| sample.end == End::Wrong);
    wrong
        .map(|sample| violation("answers are whole and own", sample))
        .collect()
}

/// A booking whose callers were all told `not-run` did not run.
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

/// A generation whose caller was told `not-run` did not begin at an engine that still has its record.
fn check_not_begun(samples: &[Sample], record: &Record) -> Vec<Violation> {
    let refused = samples.iter().filter(|sample| {
        matches!(sample.kind, Kind::Chat | Kind::ChatWhole) && sample.end == End::NotRun
    });
    refused
        .filter(|sample| record.generations.contains(&sample.content))
        .map(|sample| violation("not-run means not begun", sample))
        .collect()
}

/// A booking runs at most once.
fn check_once(record: &Record) -> Vec<Violation> {
    let twice = record.bookings.iter().filter(|(_, runs)| **runs > 1);
    twice
        .map(|run| violation("bookings run at most once", &run))
        .collect()
}

/// A booking that was answered did run.
fn check_lost(samples: &[Sample], record: &Record) -> Vec<Violation> {
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

/// The revision in force at a process never falls.
fn check_revisions(sightings: &[Sighting]) -> Vec<Violation> {
    let mut last = BTreeMap::new();
    let mut violations = Vec::new();
    for sighting in sightings {
        let before = last.insert(sighting.address, sighting.revision);
        // A process that has just started has no lists yet.
        if sighting.revision > 0 && before.is_some_and(|before| before > sighting.revision) {
            violations.push(violation("lists never revert", sighting));
        }
    }
    violations
}

/// Callers see no ends but those that the experiment allows.
fn check_ends(samples: &[Sample], allow: AllowedEnds) -> Vec<Violation> {
    let allowed = |end| match end {
        End::Whole | End::Wrong => true,
        End::NotRun => allow.not_run,
        End::Unknown => allow.unknown,
        End::Cut | End::Unconnected => allow.cut,
    };
    let others = samples.iter().filter(|sample| !allowed(sample.end));
    others
        .map(|sample| violation("allowed ends", sample))
        .collect()
}

/// A refusal that may succeed later says when to come back.
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

fn key(sample: &Sample) -> String {
    format!("{:016x}", sample.nonce)
}

fn violation(invariant: &str, seen: &impl std::fmt::Debug) -> Violation {
    Violation {
        invariant: invariant.to_owned(),
        seen: format!("{seen:?}"),
    }
}
