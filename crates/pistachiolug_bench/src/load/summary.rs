//! Summary of the samples of each customer.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::sample::{End, Sample};

/// Largest value of a histogram in microseconds; longer times count as this.
const MAX_US: u64 = 600_000_000;

/// Number of significant digits that a histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Quantiles of times in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Median.
    pub p50: u64,
    /// 95th percentile.
    pub p95: u64,
    /// 99th percentile.
    pub p99: u64,
    /// Number of values.
    pub count: u64,
}

/// Figures of the calls of one customer.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests by how they ended.
    pub ends: BTreeMap<String, u64>,
    /// Number of error answers by code.
    pub codes: BTreeMap<String, u64>,
    /// Number of errors with the outcome `not-run` or `unknown` that say when to retry.
    pub retry_after: u64,
    /// Number of tokens in complete answers.
    pub tokens: u64,
    /// Time to the first token of complete answers.
    pub first_us: Quantiles,
    /// Time between tokens of complete answers.
    pub gap_us: Quantiles,
    /// Time to an error with the outcome `not-run`.
    pub refusal_us: Quantiles,
}

/// Summarizes samples by name of the customer.
pub fn by_customer(samples: &[Sample]) -> BTreeMap<String, Summary> {
    let mut groups: BTreeMap<String, Vec<&Sample>> = BTreeMap::new();
    for sample in samples {
        let group = groups.entry(sample.customer.clone()).or_default();
        group.push(sample);
    }
    groups
        .into_iter()
        .map(|(customer, samples)| (customer, summarize(&samples)))
        .collect()
}

fn summarize(samples: &[&Sample]) -> Summary {
    let mut summary = Summary {
        sent: samples.len() as u64,
        ..Summary::default()
    };
    for sample in samples {
        *summary.ends.entry(end_name(sample.end)).or_default() += 1;
        if !sample.code.is_empty() {
            *summary.codes.entry(sample.code.clone()).or_default() += 1;
        }
        if sample.end == End::Whole {
            summary.tokens += u64::from(sample.tokens);
        }
        let refused = matches!(sample.end, End::NotRun | End::Unknown);
        summary.retry_after += u64::from(refused && sample.retry_after);
    }
    let whole = || samples.iter().filter(|sample| sample.end == End::Whole);
    let refused = samples.iter().filter(|sample| sample.end == End::NotRun);
    summary.first_us = quantiles(whole().filter_map(|sample| sample.first_us));
    summary.gap_us =
        quantiles(whole().flat_map(|sample| sample.gaps_us.iter().copied().map(u64::from)));
    summary.refusal_us = quantiles(refused.map(|sample| sample.end_us));
    summary
}

fn end_name(end: End) -> String {
    serde_json::to_value(end)
        .ok()
        .and_then(|value| value.as_str().map(str::to_owned))
        .unwrap_or_default()
}

/// Computes quantiles of times in microseconds.
///
/// # Panics
/// Never, since the bounds of the histogram are valid constants.
pub fn quantiles(values: impl Iterator<Item = u64>) -> Quantiles {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_US, SIGNIFICANT_DIGITS).expect("bounds are valid");
    for value in values {
        histogram.saturating_record(value.max(1));
    }
    Quantiles {
        p50: histogram.value_at_quantile(0.50),
        p95: histogram.value_at_quantile(0.95),
        p99: histogram.value_at_quantile(0.99),
        count: histogram.len(),
    }
}
