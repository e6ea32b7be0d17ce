//! Metrics of the loading of weights.

use pistachiolug_kernel::metric::{Counters, Error, LibrarySnafu};
use prometheus::{IntCounter, Registry};
use snafu::ResultExt;

/// Metrics of an agent's loader.
#[derive(Debug, Clone)]
pub struct Metrics {
    /// Pieces by source, and corrupt pieces.
    pub pieces: Counters,
    /// Pieces sent to other agents.
    pub pieces_sent: IntCounter,
    /// Loads that the engine has finished.
    pub loads: IntCounter,
    /// Loads after which the engine had to give up its weights, because a piece had not been whole.
    pub rejected_loads: IntCounter,
}

impl Metrics {
    /// Registers the metrics.
    ///
    /// # Errors
    /// [`Error::Library`] if a name is already registered.
    pub fn register(registry: &Registry) -> Result<Self, Error> {
        let pieces = Counters::register(
            registry,
            "pistachiolug_loader_pieces_total",
            "Pieces of weights by source.",
            "source",
            &["origin", "agent", "staged", "spoilt"],
        )?;
        Ok(Self {
            pieces,
            pieces_sent: register_counter(registry, "given", "Pieces given to other agents.")?,
            rejected_loads: register_counter(
                registry,
                "rejected_loads",
                "Loads whose pieces were not whole.",
            )?,
            loads: register_counter(registry, "loads", "Loads that the engine has finished.")?,
        })
    }
}

fn register_counter(registry: &Registry, name: &str, help: &str) -> Result<IntCounter, Error> {
    let name = format!("pistachiolug_loader_{name}_total");
    let counter = IntCounter::new(name, help).context(LibrarySnafu)?;
    let registered = registry.register(Box::new(counter.clone()));
    registered.context(LibrarySnafu)?;
    Ok(counter)
}
