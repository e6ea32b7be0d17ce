//! Instance list that shows each change after a lag.

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

/// Instance list stand-in; clones share one state.
#[derive(Debug, Clone)]
pub struct Directory {
    lag: Duration,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    shown: Snapshot,
    /// Lists that become visible later, in order of time.
    pending: VecDeque<(Instant, Vec<Instance>)>,
}

impl Directory {
    /// Creates an empty list whose changes show after `lag`.
    pub fn new(lag: Duration) -> Self {
        Self {
            lag,
            state: Arc::default(),
        }
    }

    fn show(&self, known: u64) -> Reply {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let now = Instant::now();
        while state.pending.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, instances)) = state.pending.pop_front() {
                state.shown.version += 1;
                state.shown.instances = instances;
            }
        }
        if state.shown.version == known {
            return reply::status(StatusCode::NOT_MODIFIED);
        }
        reply::json(StatusCode::OK, &state.shown)
    }

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
        let known = request
            .headers()
            .get(header::IF_NONE_MATCH)
            .and_then(|tag| tag.to_str().ok())
            .and_then(|tag| tag.trim_matches('"').parse().ok());
        self.show(known.unwrap_or(u64::MAX))
    }
}
