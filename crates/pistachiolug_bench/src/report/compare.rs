//! Comparison of two runs by the ratios of their figures.

use std::fmt::Write;

use crate::{experiment::result::Outcome, load::summary::Summary};

/// Renders a Markdown table with the figures of each customer in both runs and the ratio of `second` to `first`.
pub fn render(first: &Outcome, second: &Outcome) -> String {
    let names = [&first.document.name, &second.document.name];
    let mut page = format!(
        "| customer | figure | {} | {} | ratio |\n",
        names[0], names[1]
    );
    page.push_str("| --- | --- | --- | --- | --- |\n");
    for (customer, before) in &first.customers {
        let Some(after) = second.customers.get(customer) else {
            continue;
        };
        for (figure, before, after) in rows(before, after) {
            let ratio = after as f64 / before.max(1) as f64;
            // Writing to a string never fails.
            let _ = writeln!(
                page,
                "| {customer} | {figure} | {before} | {after} | {ratio:.3} |"
            );
        }
    }
    page
}

fn rows(before: &Summary, after: &Summary) -> [(&'static str, u64, u64); 8] {
    [
        (
            "first token p50, µs",
            before.first_us.p50,
            after.first_us.p50,
        ),
        (
            "first token p95, µs",
            before.first_us.p95,
            after.first_us.p95,
        ),
        (
            "first token p99, µs",
            before.first_us.p99,
            after.first_us.p99,
        ),
        ("token gap p50, µs", before.gap_us.p50, after.gap_us.p50),
        ("token gap p95, µs", before.gap_us.p95, after.gap_us.p95),
        ("token gap p99, µs", before.gap_us.p99, after.gap_us.p99),
        ("tokens", before.tokens, after.tokens),
        (
            "refusal p95, µs",
            before.refusal_us.p95,
            after.refusal_us.p95,
        ),
    ]
}
