//! Stand-in of the instance list service, whose changes become visible after a delay.

use std::{
    collections::VecDeque,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use http::{Method, StatusCode, header};
use pistachiolug_http::server::{Handler, Reply, Request};
use pistachiolug_platform::directory::Snapshot;
use pistachiolug_wire::instance::Instance;

use crate::reply;

/// Stand-in of the instance list service; clones share one state.
#[derive(Debug, Clone)]
pub struct Directory {
    /// Time from a change until callers see it.
    lag: Duration,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    visible: Snapshot,
    /// Later lists with the time at which each becomes visible, in order of time.
    pending: VecDeque<(Instant, Vec<Instance>)>,
}

impl Directory {
    /// Creates an empty list whose changes become visible after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            state: Arc::default(),
        }
    }

    /// Returns the visible list, or 304 if the caller has this version already.
    fn current_list(&self, known_version: u64) -> Reply {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        while state.pending.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, instances)) = state.pending.pop_front() {
                state.visible.version += 1;
                state.visible.instances = instances;
            }
        }
        if state.visible.version == known_version {
            return reply::status(StatusCode::NOT_MODIFIED);
        }
        reply::json(StatusCode::OK, &state.visible)
    }

    /// Takes a new list from a request body; it becomes visible after the lag.
    fn replace(&self, body: &[u8]) -> Reply {
        let Ok(instances) = serde_json::from_slice(body) else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state
            .pending
            .push_back((Instant::now() + self.lag, instances));
        reply::status(StatusCode::NO_CONTENT)
    }
}

impl Handler for Directory {
    async fn handle(&self, request: Request) -> Reply {
        if request.uri().path() != "/v1/instances" {
            return reply::status(StatusCode::NOT_FOUND);
        }
        if request.method() == Method::PUT {
            return self.replace(request.body());
        }
        let known_version = request
            .headers()
            .get(header::IF_NONE_MATCH)
            .and_then(|tag| tag.to_str().ok())
            .and_then(|tag| tag.trim_matches('"').parse().ok());
        self.current_list(known_version.unwrap_or(u64::MAX))
    }
}
