//! Metrics with bounded label sets.

use std::collections::BTreeMap;

use prometheus::{
    IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    core::{Collector, MetricVec, MetricVecBuilder},
};
use snafu::{ResultExt, Snafu, ensure};

/// Largest number of label combinations of one metric.
pub const MAX_SERIES: usize = 64;

/// Reports a metric that can't be made.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The metric would have too many series.
    #[snafu(display("metric `{name}` would have {series} series, more than {MAX_SERIES}"))]
    TooManySeries {
        /// Metric's name.
        name: String,
        /// Number of series asked for.
        series: usize,
    },
    /// The library refused the metric, such as one that is registered twice.
    #[snafu(display("{source}"))]
    Library {
        /// Cause.
        source: prometheus::Error,
    },
}

/// Counters of one metric, one for each of a fixed set of label values.
///
/// The set is given at start, so that no customer, key or other text from outside can become a label.
#[derive(Debug, Clone)]
pub struct Counters {
    /// Has a counter for each allowed value and for `other`.
    counters: BTreeMap<&'static str, IntCounter>,
    other: IntCounter,
}

/// Gauges of one metric, one for each of a fixed set of label values.
#[derive(Debug, Clone)]
pub struct Gauges {
    /// Has a gauge for each allowed value.
    gauges: BTreeMap<&'static str, IntGauge>,
}

impl Counters {
    /// Registers counters for the values of one label.
    ///
    /// # Errors
    /// [`Error::TooManySeries`] for too many values, [`Error::Library`] for a name that is taken.
    pub fn register(
        registry: &Registry,
        name: &str,
        help: &str,
        label: &str,
        values: &[&'static str],
    ) -> Result<Self, Error> {
        let vector = IntCounterVec::new(Opts::new(name, help), &[label]).context(LibrarySnafu)?;
        let counters = series(registry, name, &vector, values)?;
        let other = vector.with_label_values(&["other"]);
        Ok(Self { counters, other })
    }

    /// Returns the counter of a value; values that were not given at start share one.
    pub fn get(&self, value: &str) -> &IntCounter {
        self.counters.get(value).unwrap_or(&self.other)
    }
}

impl Gauges {
    /// Registers gauges for the values of one label.
    ///
    /// # Errors
    /// [`Error::TooManySeries`] for too many values, [`Error::Library`] for a name that is taken.
    pub fn register(
        registry: &Registry,
        name: &str,
        help: &str,
        label: &str,
        values: &[&'static str],
    ) -> Result<Self, Error> {
        let vector = IntGaugeVec::new(Opts::new(name, help), &[label]).context(LibrarySnafu)?;
        let gauges = series(registry, name, &vector, values)?;
        Ok(Self { gauges })
    }

    /// Sets the gauge of a value; others are ignored.
    pub fn set(&self, value: &str, number: i64) {
        if let Some(gauge) = self.gauges.get(value) {
            gauge.set(number);
        }
    }
}

/// Registers a metric and makes the series of its allowed values.
fn series<B>(
    registry: &Registry,
    name: &str,
    vector: &MetricVec<B>,
    values: &[&'static str],
) -> Result<BTreeMap<&'static str, B::M>, Error>
where
    B: MetricVecBuilder + 'static,
    MetricVec<B>: Collector,
{
    let series = values.len();
    ensure!(series <= MAX_SERIES, TooManySeriesSnafu { name, series });
    let registered = registry.register(Box::new(vector.clone()));
    registered.context(LibrarySnafu)?;
    let made = values
        .iter()
        .map(|value| (*value, vector.with_label_values(&[*value])));
    Ok(made.collect())
}
