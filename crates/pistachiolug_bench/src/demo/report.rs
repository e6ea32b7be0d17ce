//! Report that the demonstration prints.

use std::time::Duration;

use super::{invariant::Invariant, spread::Spread};
use crate::{
    experiment::record::Record,
    load::{
        sample::Sample,
        summary::{self, Summary},
    },
};

/// Renders the figures, and one line for each invariant.
pub fn render(
    spread: &Spread,
    samples: &[Sample],
    record: &Record,
    invariants: &[Invariant],
) -> String {
    let mut lines = vec![String::new()];
    lines.extend(spread_lines(spread));
    for (customer, summary) in summary::by_customer(samples) {
        lines.extend(customer_lines(&customer, &summary));
    }
    let twice = record.bookings.values().filter(|runs| **runs > 1).count();
    lines.push(row("bookings run", record.bookings.len()));
    lines.push(row("duplicates run", twice));
    lines.push(String::new());
    lines.extend(invariants.iter().map(invariant_line));
    lines.join("\n")
}

fn spread_lines(spread: &Spread) -> Vec<String> {
    let time = |served: Option<&Duration>| {
        served.map_or_else(
            || "not reached".to_owned(),
            |time| format!("{:.2} s", time.as_secs_f64()),
        )
    };
    let all = (spread.served_after.len() == spread.replica_count)
        .then(|| spread.served_after.last())
        .flatten();
    vec![
        row("time to 1 replica", time(spread.served_after.first())),
        row(
            &format!("time to {} replicas", spread.replica_count),
            time(all),
        ),
        row("weights in bytes", spread.weights_bytes),
        row("origin bytes in copies", format!("{:.2}", spread.copies())),
    ]
}

fn customer_lines(customer: &str, summary: &Summary) -> Vec<String> {
    let millis = |micros: u64| format!("{:.1} ms", micros as f64 / 1_000.0);
    let ends = |name: &str| summary.ends.get(name).copied().unwrap_or(0);
    vec![
        row(&format!("{customer}: calls"), summary.sent),
        row(&format!("{customer}: answered whole"), ends("whole")),
        row(&format!("{customer}: refused, not run"), ends("not-run")),
        row(
            &format!("{customer}: first token p50"),
            millis(summary.first_us.p50),
        ),
        row(
            &format!("{customer}: first token p95"),
            millis(summary.first_us.p95),
        ),
    ]
}

fn invariant_line(invariant: &Invariant) -> String {
    let verdict = if invariant.held { "held  " } else { "BROKEN" };
    format!("{verdict} {} ({})", invariant.name, invariant.seen)
}

fn row(name: &str, value: impl std::fmt::Display) -> String {
    format!("{name:<32} {value}")
}
