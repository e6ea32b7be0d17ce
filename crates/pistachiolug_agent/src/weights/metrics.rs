//! Metrics of the exchange of weights; they have no labels.

use pistachiolug_weights::swarm::Swarm;
use prometheus::{IntGauge, Registry};

/// Metrics of the exchange of weights; clones share them.
#[derive(Debug, Clone)]
pub struct Metrics {
    staged: IntGauge,
    uploaded: IntGauge,
    downloaded: IntGauge,
    rate_up: IntGauge,
    rate_down: IntGauge,
}

impl Metrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    /// Returns the registry's error when a name is taken.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            prometheus::Result::Ok(gauge)
        };
        Ok(Self {
            staged: gauge(
                "pistachiolug_agent_weights_staged_bytes",
                "Bytes of staged chunks.",
            )?,
            uploaded: gauge(
                "pistachiolug_agent_weights_uploaded_bytes",
                "Bytes sent to other members.",
            )?,
            downloaded: gauge(
                "pistachiolug_agent_weights_downloaded_bytes",
                "Bytes of chunks received.",
            )?,
            rate_up: gauge(
                "pistachiolug_agent_weights_rate_up",
                "Bytes a second that uploads may use.",
            )?,
            rate_down: gauge(
                "pistachiolug_agent_weights_rate_down",
                "Bytes a second that downloads may use.",
            )?,
        })
    }

    /// Sets all gauges to the current values of `swarm`.
    pub fn update<S>(&self, swarm: &Swarm<S>) {
        let set =
            |gauge: &IntGauge, value: u64| gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
        set(&self.staged, swarm.staging_usage().0);
        set(&self.uploaded, swarm.upload_bucket().taken());
        set(&self.downloaded, swarm.download_bucket().taken());
        set(&self.rate_up, swarm.upload_bucket().rate());
        set(&self.rate_down, swarm.download_bucket().rate());
    }
}
