//! HTTP server of the engine stand-in, with its control requests below `/control/`.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use http::{HeaderMap, Method, Response, StatusCode};
use pistachiolug_http::{
    body::Body,
    server::{Handler, Reply, Request},
};
use pistachiolug_platform::engine::{Order, Role};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::oneshot;

use super::{
    control::{Control, CrashMode},
    slots::Slots,
    state::{Refusal, State},
    stream::{self, Job},
};
use crate::reply;

/// Number of generations that run at once unless set otherwise.
const DEFAULT_SLOTS: u32 = 64;

/// Timing of an engine.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// Time from the start of a generation to its first token.
    pub first_token: Duration,
    /// Time between two tokens.
    pub token_interval: Duration,
}

/// Stand-in of a model engine; clones share one state.
#[derive(Debug, Clone)]
pub struct EngineServer {
    pub(super) timing: Timing,
    pub(super) slots: Slots,
    pub(super) control: Control,
    crash_mode: CrashMode,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Deserialize)]
struct RoleOrder {
    fence: u64,
    role: Role,
}

impl EngineServer {
    /// Creates an engine without weights; `checks_fence` tells whether it refuses old fencing tokens.
    pub fn new(timing: Timing, checks_fence: bool) -> Self {
        let state = State::new(rand::random(), checks_fence);
        Self {
            timing,
            slots: Slots::new(DEFAULT_SLOTS),
            control: Control::default(),
            crash_mode: CrashMode::Restart,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Sets the number of generations that run at once.
    #[must_use]
    pub fn with_slots(mut self, count: u32) -> Self {
        self.slots = Slots::new(count);
        self
    }

    /// Sets the effect of a crash.
    #[must_use]
    pub fn with_crash_mode(mut self, crash_mode: CrashMode) -> Self {
        self.crash_mode = crash_mode;
        self
    }

    /// Locks the engine's state.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Freezes the engine, or lets it run again. A frozen engine pauses its streams and answers only control
    /// requests.
    pub fn set_frozen(&self, frozen: bool) {
        self.control.set_frozen(frozen);
    }

    /// Aborts all open streams and ends their generations; the engine keeps its weights.
    pub fn abort_streams(&self) {
        self.control.abort_streams();
    }

    /// Crashes the engine now, with the effect of its crash mode.
    pub fn crash(&self) {
        if self.crash_mode == CrashMode::Exit {
            std::process::exit(101);
        }
        self.state().restart(rand::random());
        self.control.abort_streams();
    }

    /// Starts a generation and returns its stream.
    fn generate(&self, request: &Request) -> Reply {
        let headers = request.headers();
        let version = header_text(headers, "x-model-version").to_owned();
        let mut state = self.state();
        let Some(weights) = state.weights(&version) else {
            return refuse(StatusCode::CONFLICT, "version is not loaded");
        };
        let id = header_text(headers, "x-request-id").to_owned();
        let job = Job {
            weights,
            prompt: request.body().clone(),
            version,
            priority: header_text(headers, "x-priority").parse().unwrap_or(0),
            from: header_text(headers, "x-resume-at").parse().unwrap_or(0),
            cached: state.take_import(&id),
            id,
        };
        let (sender, stream) = Body::channel();
        let (cancel, cancelled) = oneshot::channel();
        state.register(&job.id, cancel);
        drop(state);
        tokio::spawn(stream::run(self.clone(), job, sender, cancelled));
        Response::new(stream)
    }

    fn cancel(&self, id: &str) -> Reply {
        if self.state().cancel(id) {
            return reply::json(StatusCode::OK, &json!({}));
        }
        refuse(StatusCode::NOT_FOUND, "no such generation")
    }

    fn export_cache(&self, id: &str) -> Reply {
        if self.state().has_run(id) {
            return reply::json(StatusCode::OK, &json!({ "id": id }));
        }
        refuse(StatusCode::NOT_FOUND, "no such generation")
    }

    fn import_cache(&self, id: &str) -> Reply {
        self.state().record_import(id);
        reply::json(StatusCode::OK, &json!({}))
    }

    /// Returns the cache events after a sequence number, and waits up to `wait_ms` until there are any.
    async fn cache_events(&self, request: &Request) -> Reply {
        let query = request.uri().query();
        let after = reply::query_number(query, "after");
        let wait = Duration::from_millis(reply::query_number(query, "wait_ms"));
        let deadline = Instant::now() + wait;
        loop {
            let now = Instant::now();
            let events = self.state().cache.events_after(after, now);
            if !events.is_empty() || now >= deadline {
                return reply::json(StatusCode::OK, &events);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn set_role(&self, request: &Request) -> Reply {
        let Ok(order) = serde_json::from_slice::<RoleOrder>(request.body()) else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        order_reply(self.state().set_role(order.fence, order.role))
    }

    /// Carries out a control request such as `freeze`.
    fn apply_control(&self, name: &str) -> Reply {
        match name {
            "freeze" => self.set_frozen(true),
            "thaw" => self.set_frozen(false),
            "cut" => self.abort_streams(),
            "crash" => self.crash(),
            _ => return reply::status(StatusCode::NOT_FOUND),
        }
        reply::json(StatusCode::OK, &json!({}))
    }

    /// Stores a part of the weights of the version that the path names.
    fn stage(&self, request: &Request) -> Reply {
        let query = request.uri().query();
        let path = request.uri().path();
        let name = path.trim_start_matches("/v1/engine/parts/").split_once('/');
        let Some((model, version)) = name else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        let result = self.state().stage(
            reply::query_number(query, "fence"),
            (model.to_owned(), version.to_owned()),
            reply::query_number(query, "length"),
            reply::query_number(query, "offset"),
            request.body(),
        );
        order_reply(result)
    }

    /// Loads or unloads a version.
    fn handle_order(&self, request: &Request) -> Reply {
        let Ok(order) = serde_json::from_slice::<Order>(request.body()) else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        let mut state = self.state();
        let result = match request.uri().path() {
            "/v1/engine/load" => state.load(&order),
            _ => state.unload(&order),
        };
        order_reply(result)
    }
}

impl Handler for EngineServer {
    async fn handle(&self, request: Request) -> Reply {
        let path = request.uri().path();
        if let Some(name) = path.strip_prefix("/control/") {
            if name == "record" {
                return reply::json(StatusCode::OK, &self.state().record);
            }
            return self.apply_control(name);
        }
        self.control.wait_until_thawed().await;
        match (request.method().clone(), path) {
            (Method::POST, "/v1/chat/completions" | "/v1/completions") => self.generate(&request),
            (Method::GET, "/v1/engine/state") => {
                let waiting = self.slots.waiter_count();
                reply::json(StatusCode::OK, &self.state().report(waiting))
            }
            (Method::GET, "/v1/engine/cache-events") => self.cache_events(&request).await,
            (Method::POST, "/v1/engine/role") => self.set_role(&request),
            (Method::POST, "/v1/engine/load" | "/v1/engine/unload") => self.handle_order(&request),
            (method, path) => self.serve_named_path(&method, path, &request),
        }
    }
}

impl EngineServer {
    /// Serves the paths that end with the name of a version or with a call id.
    fn serve_named_path(&self, method: &Method, path: &str, request: &Request) -> Reply {
        if path.starts_with("/v1/engine/parts/") && *method == Method::PUT {
            return self.stage(request);
        }
        if let Some(id) = path.strip_prefix("/v1/engine/requests/") {
            return self.cancel(id);
        }
        match (path.strip_prefix("/v1/engine/cache/"), method) {
            (Some(id), &Method::GET) => self.export_cache(id),
            (Some(id), &Method::PUT) => self.import_cache(id),
            _ => reply::status(StatusCode::NOT_FOUND),
        }
    }
}

/// Renders the result of an order.
fn order_reply(result: Result<(), Refusal>) -> Reply {
    match result {
        Ok(()) => reply::json(StatusCode::OK, &json!({})),
        Err(Refusal::StaleFence(fence)) => reply::json(
            StatusCode::PRECONDITION_FAILED,
            &json!({ "reason": "old fencing number", "fence": fence }),
        ),
        Err(Refusal::DigestMismatch) => refuse(StatusCode::CONFLICT, "digest mismatch"),
    }
}

fn refuse(status: StatusCode, reason: &str) -> Reply {
    reply::json(status, &json!({ "reason": reason }))
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}
