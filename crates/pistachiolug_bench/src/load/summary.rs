//! Figures of one customer's samples.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use super::sample::{End, Sample};

/// Longest time a histogram can hold, in microseconds.
const HIGHEST_US: u64 = 600_000_000;

/// Significant digits of a histogram.
const DIGITS: u8 = 3;

/// Quantiles of a time in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Half of the values are at most this.
    pub p50: u64,
    /// 95 in 100 values are at most this.
    pub p95: u64,
    /// 99 in 100 values are at most this.
    pub p99: u64,
    /// Number of values.
    pub count: u64,
}

/// Figures of one customer.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// Requests sent.
    pub sent: u64,
    /// Requests by their end.
    pub ends: BTreeMap<String, u64>,
    /// Refusals by code.
    pub codes: BTreeMap<String, u64>,
    /// Refusals that say when to come back.
    pub retry_after: u64,
    /// Tokens of whole answers.
    pub tokens: u64,
    /// Time to the first token.
    pub first_us: Quantiles,
    /// Time between tokens.
    pub gap_us: Quantiles,
    /// Time to a refusal.
    pub refusal_us: Quantiles,
}

/// Summarizes samples by customer.
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
        *summary.ends.entry(name(sample.end)).or_default() += 1;
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

fn name(end: End) -> String {
    serde_json::to_value(end)
        .ok()
        .and_then(|value| value.as_str().map(str::to_owned))
        .unwrap_or_default()
}

/// Computes quantiles of times in microseconds.
///
/// # Panics
/// Never: the histogram's bounds are constants that it accepts.
pub fn quantiles(values: impl Iterator<Item = u64>) -> Quantiles {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, HIGHEST_US, DIGITS).expect("bounds are valid");
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
