//! Invariants of the demonstration, checked against the callers' samples and the records of the stand-ins.

use super::spread::Spread;
use crate::{
    experiment::{check, document::AllowedEnds, record::Record},
    load::sample::{End, Sample},
};

/// Highest number of copies of the weights that the origin may send during a spread.
const MAX_ORIGIN_COPIES: f64 = 4.0;

/// Invariant with the result of its check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Invariant {
    /// Name, which says what must hold.
    pub name: &'static str,
    /// Whether it held.
    pub held: bool,
    /// Figures that the check saw.
    pub seen: String,
}

/// Checks all invariants and returns their results, in the order in which they are printed.
pub fn check(spread: &Spread, samples: &[Sample], record: &Record) -> Vec<Invariant> {
    let twice = record.bookings.values().filter(|runs| **runs > 1).count();
    let paid = |sample: &&Sample| sample.customer == "paid";
    let refused = samples.iter().filter(paid);
    let refused = refused.filter(|sample| sample.end == End::NotRun).count();
    let allow = AllowedEnds {
        not_run: true,
        ..AllowedEnds::default()
    };
    let violations = check::run(samples, record, &[], allow);
    let first = violations.first();
    let first = first.map(|violation| format!("{}: {}", violation.invariant, violation.seen));
    let copies = spread.copies();
    vec![
        invariant(
            "every replica serves the new version",
            spread.served_after.len() == spread.replica_count,
            format!("{} of {}", spread.served_after.len(), spread.replica_count),
        ),
        invariant(
            "the origin sends at most 4 copies",
            copies <= MAX_ORIGIN_COPIES,
            format!("{copies:.2} copies"),
        ),
        invariant(
            "bookings run at most once",
            twice == 0,
            format!("{twice} ran twice of {}", record.bookings.len()),
        ),
        invariant(
            "paid calls are answered while trials surge",
            refused == 0,
            format!("{refused} refused"),
        ),
        invariant(
            "answers are whole, refusals were not run and say when to come back",
            violations.is_empty(),
            first.unwrap_or_else(|| "no violation".to_owned()),
        ),
    ]
}

fn invariant(name: &'static str, held: bool, seen: String) -> Invariant {
    Invariant { name, held, seen }
}
