//! Monitor of the engine: which versions it serves, and whether it has crashed or is frozen.

use std::time::{Duration, Instant};

use pistachiolug_kernel::timer::Timer;
use pistachiolug_platform::engine::{Engine, Error, State};
use tokio::{sync::watch, time::timeout};

/// Interval between two periodic probes of the engine.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Shortest time between two probes that calls request.
const MIN_REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of one probe, after which the engine counts as frozen.
const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of the last probe of an engine.
#[derive(Debug, Clone, Default)]
pub struct Observation {
    /// State that the engine last reported.
    pub state: State,
    /// Whether the engine answered the last probe.
    pub is_responding: bool,
    /// Time of the last probe; `None` before the first one.
    pub probed_at: Option<Instant>,
}

/// Health of an engine after a connection to it broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// The same engine process answers.
    Same,
    /// The engine process has died; carries its incarnation.
    Died(u64),
    /// The engine does not answer, but its process may still run.
    Frozen,
}

/// Monitor of one engine; clones share its observations.
#[derive(Debug, Clone)]
pub struct Monitor<E> {
    engine: E,
    observation: watch::Sender<Observation>,
}

impl<E: Engine> Monitor<E> {
    /// Creates a monitor without an observation.
    pub fn new(engine: E) -> Self {
        Self {
            engine,
            observation: watch::Sender::new(Observation::default()),
        }
    }

    /// Probes the engine periodically until the process stops.
    pub async fn run(self, timer: Timer) {
        let mut ticks = timer.subscribe(PROBE_INTERVAL, PROBE_INTERVAL / 4);
        loop {
            // The observation records a failed probe.
            let _ = self.probe().await;
            ticks.next().await;
        }
    }

    /// Returns the latest observation.
    pub fn latest(&self) -> Observation {
        self.observation.borrow().clone()
    }

    /// Returns the loaded version of a model that answers a call.
    ///
    /// That is `pinned`, unless it is empty. Otherwise it is `wanted`, or any other version if `wanted` is not loaded.
    /// Returns `None` if no such version is loaded or the engine did not answer the last probe.
    pub fn choose_version(
        &self,
        model: &str,
        pinned: &str,
        wanted: Option<&str>,
    ) -> Option<String> {
        let observation = self.observation.borrow();
        if !observation.is_responding {
            return None;
        }
        let loaded = observation.state.loaded.iter();
        let versions: Vec<&str> = loaded
            .filter(|loaded| loaded.model == model)
            .map(|loaded| loaded.version.as_str())
            .collect();
        let preferred = if pinned.is_empty() {
            wanted
        } else {
            Some(pinned)
        };
        let exact = versions.iter().find(|version| Some(**version) == preferred);
        let fallback = versions.last().filter(|_| pinned.is_empty());
        exact.or(fallback).map(|version| (*version).to_owned())
    }

    /// Probes the engine unless it was just probed, because periodic observations lag by up to their interval.
    pub async fn refresh(&self) {
        let last_probe = self.observation.borrow().probed_at;
        if last_probe.is_none_or(|at| at.elapsed() >= MIN_REFRESH_INTERVAL) {
            // The observation records a failed probe.
            let _ = self.probe().await;
        }
    }

    /// Probes the engine once and records the result.
    pub async fn probe(&self) -> Result<State, Error> {
        let probed = timeout(PROBE_TIMEOUT, self.engine.state()).await;
        let probed = probed.unwrap_or_else(|_| {
            Err(Error::Broken {
                reason: "no answer in time".to_owned(),
            })
        });
        self.observation.send_modify(|observation| {
            observation.probed_at = Some(Instant::now());
            observation.is_responding = probed.is_ok();
            if let Ok(state) = &probed {
                observation.state = state.clone();
            }
        });
        probed
    }

    /// Probes the engine to find out why a connection broke; `incarnation` is that of the engine that ran the call.
    pub async fn diagnose(&self, incarnation: u64) -> Health {
        match self.probe().await {
            Ok(state) if state.incarnation == incarnation => Health::Same,
            Ok(_) | Err(Error::Unreachable { .. }) => Health::Died(incarnation),
            Err(_) => Health::Frozen,
        }
    }
}
