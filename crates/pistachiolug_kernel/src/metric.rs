//! Metrics with bounded sets of label values.

use std::collections::BTreeMap;

use prometheus::{
    IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    core::{Collector, MetricVec, MetricVecBuilder},
};
use snafu::{ResultExt, Snafu, ensure};

/// Maximum number of series of one metric: each label value is one series.
pub const MAX_SERIES: usize = 64;

/// Reason why a metric could not be registered.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The metric would have too many series.
    #[snafu(display("metric `{name}` would have {series} series, more than {MAX_SERIES}"))]
    TooManySeries {
        /// Name of the metric.
        name: String,
        /// Number of series that were requested.
        series: usize,
    },
    /// The metrics library rejected the metric, for example because its name is already registered.
    #[snafu(display("{source}"))]
    Library {
        /// Error of the library.
        source: prometheus::Error,
    },
}

/// Counters of one metric, one for each of a fixed set of label values.
///
/// The set is fixed at registration, so that customer names, keys and other text from outside can't become labels.
#[derive(Debug, Clone)]
pub struct Counters {
    /// Counter of each registered value.
    counters: BTreeMap<&'static str, IntCounter>,
    /// Counter of all values that were not registered; its label value is `other`.
    other: IntCounter,
}

/// Gauges of one metric, one for each of a fixed set of label values.
#[derive(Debug, Clone)]
pub struct Gauges {
    /// Gauge of each registered value.
    gauges: BTreeMap<&'static str, IntGauge>,
}

impl Counters {
    /// Registers counters for the values of one label.
    ///
    /// # Errors
    /// [`Error::TooManySeries`] for more than [`MAX_SERIES`] values, [`Error::Library`] if `name` is already
    /// registered.
    pub fn register(
        registry: &Registry,
        name: &str,
        help: &str,
        label: &str,
        values: &[&'static str],
    ) -> Result<Self, Error> {
        let vector = IntCounterVec::new(Opts::new(name, help), &[label]).context(LibrarySnafu)?;
        let counters = register_series(registry, name, &vector, values)?;
        let other = vector.with_label_values(&["other"]);
        Ok(Self { counters, other })
    }

    /// Returns the counter of a label value; all values that were not registered share one counter.
    pub fn get(&self, value: &str) -> &IntCounter {
        self.counters.get(value).unwrap_or(&self.other)
    }
}

impl Gauges {
    /// Registers gauges for the values of one label.
    ///
    /// # Errors
    /// [`Error::TooManySeries`] for more than [`MAX_SERIES`] values, [`Error::Library`] if `name` is already
    /// registered.
    pub fn register(
        registry: &Registry,
        name: &str,
        help: &str,
        label: &str,
        values: &[&'static str],
    ) -> Result<Self, Error> {
        let vector = IntGaugeVec::new(Opts::new(name, help), &[label]).context(LibrarySnafu)?;
        let gauges = register_series(registry, name, &vector, values)?;
        Ok(Self { gauges })
    }

    /// Sets the gauge of a label value; a value that was not registered is ignored.
    pub fn set(&self, value: &str, number: i64) {
        if let Some(gauge) = self.gauges.get(value) {
            gauge.set(number);
        }
    }
}

/// Registers a metric and creates the series of its label values.
fn register_series<B>(
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
    let created = values
        .iter()
        .map(|value| (*value, vector.with_label_values(&[*value])));
    Ok(created.collect())
}
