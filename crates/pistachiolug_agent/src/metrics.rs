//! Metrics of an agent's calls; labels are plans of the lists, outcomes and codes, so their number is bounded.

use std::time::Duration;

use pistachiolug_wire::{call::Body, load::Load, outcome::Outcome};
use prometheus::{
    HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts, Registry,
};

/// Upper bounds of the wait histogram's buckets, in seconds.
const WAIT_BUCKETS: [f64; 9] = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0, 30.0];

/// Metrics of calls; clones share them.
#[derive(Debug, Clone)]
pub struct Metrics {
    calls: IntCounterVec,
    waits: HistogramVec,
    tokens: IntCounterVec,
    pauses: IntCounter,
    queued: IntGauge,
    running: IntGauge,
    owed: IntGauge,
}

impl Metrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    /// Returns the registry's error when a name is taken.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels)
        };
        let waits = HistogramOpts::new(
            "pistachiolug_agent_wait_seconds",
            "Time from arrival to start.",
        );
        let metrics = Self {
            calls: counter(
                "pistachiolug_agent_calls_total",
                "Ended calls by plan, outcome and code.",
                &["plan", "outcome", "code"],
            )?,
            waits: HistogramVec::new(waits.buckets(WAIT_BUCKETS.to_vec()), &["plan"])?,
            tokens: counter(
                "pistachiolug_agent_tokens_total",
                "Generated tokens by plan.",
                &["plan"],
            )?,
            pauses: IntCounter::new(
                "pistachiolug_agent_pauses_total",
                "Trial runs paused for waiting paid calls.",
            )?,
            queued: IntGauge::new("pistachiolug_agent_calls_queued", "Waiting calls.")?,
            running: IntGauge::new("pistachiolug_agent_calls_running", "Running calls.")?,
            owed: IntGauge::new(
                "pistachiolug_agent_tokens_owed",
                "Tokens that waiting and running calls may still cost.",
            )?,
        };
        metrics.register(registry)?;
        Ok(metrics)
    }

    /// Counts an ended call and the tokens that it generated.
    pub fn record_end(&self, plan: &str, end: &Body, tokens: u32) {
        let (outcome, code) = match end {
            Body::Failed(fault) => (fault.outcome, fault.code.as_str()),
            _ => (Outcome::Answered, "none"),
        };
        let labels = [plan, outcome.as_str(), code];
        self.calls.with_label_values(&labels).inc();
        self.tokens.with_label_values(&[plan]).inc_by(tokens.into());
    }

    /// Records the time from the arrival of a call to its first start.
    pub fn record_start(&self, plan: &str, wait: Duration) {
        self.waits
            .with_label_values(&[plan])
            .observe(wait.as_secs_f64());
    }

    /// Counts a run that is paused.
    pub fn record_pause(&self) {
        self.pauses.inc();
    }

    /// Sets the gauges of queued calls, running calls and owed tokens.
    pub fn set_load(&self, load: &Load) {
        self.queued.set(load.queued.into());
        self.running.set(load.running.into());
        self.owed
            .set(i64::try_from(load.owed_tokens).unwrap_or(i64::MAX));
    }

    fn register(&self, registry: &Registry) -> prometheus::Result<()> {
        registry.register(Box::new(self.calls.clone()))?;
        registry.register(Box::new(self.waits.clone()))?;
        registry.register(Box::new(self.tokens.clone()))?;
        registry.register(Box::new(self.pauses.clone()))?;
        registry.register(Box::new(self.queued.clone()))?;
        registry.register(Box::new(self.running.clone()))?;
        registry.register(Box::new(self.owed.clone()))
    }
}
