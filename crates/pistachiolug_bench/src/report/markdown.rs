//! Markdown report of a run.

use std::fmt::Write;

use crate::{
    experiment::result::Outcome,
    load::summary::{Quantiles, Summary},
};

/// Renders the report of a run.
pub fn render(outcome: &Outcome) -> String {
    let mut page = String::new();
    // Writing to a string never fails.
    let _ = write_page(&mut page, outcome);
    page
}

fn write_page(page: &mut String, outcome: &Outcome) -> std::fmt::Result {
    let document = &outcome.document;
    writeln!(page, "# {}\n", document.name)?;
    writeln!(page, "Seed {}.\n", document.seed)?;
    write_customers(page, outcome)?;
    write_usage(page, outcome)?;
    let bookings = outcome.bookings;
    writeln!(
        page,
        "Bookings run: {}, more than once: {}.",
        bookings.ran, bookings.twice
    )?;
    writeln!(page, "Origin copies: {:.2}.", outcome.origin_copies)?;
    writeln!(
        page,
        "List changes in force after (ms): {:?}.\n",
        outcome.in_force_ms
    )?;
    writeln!(page, "Violations: {}.\n", outcome.violations.len())?;
    for violation in &outcome.violations {
        writeln!(page, "- {}: {}", violation.invariant, violation.seen)?;
    }
    Ok(())
}

fn write_customers(page: &mut String, outcome: &Outcome) -> std::fmt::Result {
    writeln!(
        page,
        "| customer | sent | ends | codes | tokens | first token p50/p95/p99 ms | token gap p50/p95/p99 ms | refusal p95 ms |"
    )?;
    writeln!(page, "| --- | --- | --- | --- | --- | --- | --- | --- |")?;
    for (name, summary) in &outcome.customers {
        let Summary {
            sent,
            ends,
            codes,
            tokens,
            ..
        } = summary;
        let first = quantiles_ms(&summary.first_us);
        let gap = quantiles_ms(&summary.gap_us);
        let refusal = format_ms(summary.refusal_us.p95);
        writeln!(
            page,
            "| {name} | {sent} | {ends:?} | {codes:?} | {tokens} | {first} | {gap} | {refusal} |"
        )?;
    }
    writeln!(page)
}

fn write_usage(page: &mut String, outcome: &Outcome) -> std::fmt::Result {
    writeln!(page, "| process | processor s | resident MiB | threads |")?;
    writeln!(page, "| --- | --- | --- | --- |")?;
    for (name, usage) in &outcome.usage {
        let resident = usage.resident_bytes as f64 / f64::from(1 << 20);
        writeln!(
            page,
            "| {name} | {:.2} | {resident:.1} | {} |",
            usage.processor_s, usage.threads
        )?;
    }
    writeln!(page)
}

/// Renders the three quantiles in milliseconds.
fn quantiles_ms(quantiles: &Quantiles) -> String {
    let [p50, p95, p99] = [quantiles.p50, quantiles.p95, quantiles.p99].map(format_ms);
    format!("{p50} / {p95} / {p99}")
}

fn format_ms(micros: u64) -> String {
    format!("{:.2}", micros as f64 / 1_000.0)
}
