//! What the demonstration promises, checked from callers' samples and the stand-ins' own records.

use super::spread::Spread;
use crate::{
    experiment::{check, document::Allow, record::Record},
    load::sample::{End, Sample},
};

/// Copies of the weights that the origin's link carries in the time of a spread.
const ORIGIN_COPIES: f64 = 4.0;

/// One promise.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Promise {
    /// What is promised.
    pub name: &'static str,
    /// Whether it held.
    pub held: bool,
    /// What was seen.
    pub seen: String,
}

/// Checks all promises.
pub fn check(spread: &Spread, samples: &[Sample], record: &Record) -> Vec<Promise> {
    let twice = record.bookings.values().filter(|runs| **runs > 1).count();
    let paid = |sample: &&Sample| sample.customer == "paid";
    let refused = samples.iter().filter(paid);
    let refused = refused.filter(|sample| sample.end == End::NotRun).count();
    let allow = Allow {
        not_run: true,
        ..Allow::default()
    };
    let breaches = check::run(samples, record, &[], allow);
    let first = breaches.first();
    let first = first.map(|breach| format!("{}: {}", breach.invariant, breach.seen));
    let copies = spread.copies();
    vec![
        promise(
            "every replica serves the new version",
            spread.served.len() == spread.wanted,
            format!("{} of {}", spread.served.len(), spread.wanted),
        ),
        promise(
            "the origin sends at most 4 copies",
            copies <= ORIGIN_COPIES,
            format!("{copies:.2} copies"),
        ),
        promise(
            "bookings run at most once",
            twice == 0,
            format!("{twice} ran twice of {}", record.bookings.len()),
        ),
        promise(
            "paid calls are answered while trials surge",
            refused == 0,
            format!("{refused} refused"),
        ),
        promise(
            "answers are whole, refusals were not run and say when to come back",
            breaches.is_empty(),
            first.unwrap_or_else(|| "no breach".to_owned()),
        ),
    ]
}

fn promise(name: &'static str, held: bool, seen: String) -> Promise {
    Promise { name, held, seen }
}
