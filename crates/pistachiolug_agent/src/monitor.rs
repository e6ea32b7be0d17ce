//! What the engine says it serves, and whether it died or froze.

use std::time::{Duration, Instant};

use pistachiolug_kernel::timer::Timer;
use pistachiolug_platform::engine::{Engine, Error, State};
use tokio::{sync::watch, time::timeout};

/// Interval between two looks at the engine.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Least time between two looks that calls ask for.
const REFRESH_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time one look may take before the engine counts as frozen.
const LOOK_TIMEOUT: Duration = Duration::from_secs(1);

/// What was last seen of an engine.
#[derive(Debug, Clone, Default)]
pub struct Observation {
    /// Its own account; the last one while it does not answer.
    pub state: State,
    /// Whether it answered the last look.
    pub is_responding: bool,
    /// Time of the last look.
    pub probed_at: Option<Instant>,
}

/// Result of a closer look after a connection broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Health {
    /// The same engine process answers.
    Same,
    /// The engine process died; carries its incarnation.
    Died(u64),
    /// The engine does not answer but may live.
    Frozen,
}

/// View of one engine; clones share it.
#[derive(Debug, Clone)]
pub struct Monitor<E> {
    engine: E,
    seen: watch::Sender<Observation>,
}

impl<E: Engine> Monitor<E> {
    /// Creates a view that has seen nothing.
    pub fn new(engine: E) -> Self {
        Self {
            engine,
            seen: watch::Sender::new(Observation::default()),
        }
    }

    /// Looks at the engine until the process stops.
    pub async fn run(self, timer: Timer) {
        let mut ticks = timer.subscribe(LOOK_INTERVAL, LOOK_INTERVAL / 4);
        loop {
            // What went wrong shows in what was seen.
            let _ = self.probe().await;
            ticks.next().await;
        }
    }

    /// Returns what was last seen.
    pub fn latest(&self) -> Observation {
        self.seen.borrow().clone()
    }

    /// Chooses the version that answers: the pinned one, else the wanted one, else one still served.
    pub fn choose_version(
        &self,
        model: &str,
        pinned: &str,
        wanted: Option<&str>,
    ) -> Option<String> {
        let seen = self.seen.borrow();
        if !seen.is_responding {
            return None;
        }
        let loaded = seen.state.loaded.iter();
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
        let earlier = versions.last().filter(|_| pinned.is_empty());
        exact.or(earlier).map(|version| (*version).to_owned())
    }

    /// Looks at the engine unless that was done a moment ago; what was seen lags by the interval.
    pub async fn refresh(&self) {
        let fresh = self.seen.borrow().probed_at;
        if fresh.is_none_or(|at| at.elapsed() >= REFRESH_INTERVAL) {
            // What went wrong shows in what was seen.
            let _ = self.probe().await;
        }
    }

    /// Looks at the engine once.
    pub async fn probe(&self) -> Result<State, Error> {
        let looked = timeout(LOOK_TIMEOUT, self.engine.state()).await;
        let looked = looked.unwrap_or_else(|_| {
            Err(Error::Broken {
                reason: "no answer in time".to_owned(),
            })
        });
        self.seen.send_modify(|seen| {
            seen.probed_at = Some(Instant::now());
            seen.is_responding = looked.is_ok();
            if let Ok(state) = &looked {
                seen.state = state.clone();
            }
        });
        looked
    }

    /// Finds out why a connection broke, given the incarnation that ran the call.
    pub async fn diagnose(&self, incarnation: u64) -> Health {
        match self.probe().await {
            Ok(state) if state.incarnation == incarnation => Health::Same,
            Ok(_) | Err(Error::Unreachable { .. }) => Health::Died(incarnation),
            Err(_) => Health::Frozen,
        }
    }
}
