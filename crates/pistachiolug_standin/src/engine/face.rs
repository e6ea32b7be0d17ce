//! HTTP face of the engine stand-in.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode};
use pistachiolug_http::{
    body::Body,
    server::{Handler, Reply, Request},
};
use pistachiolug_platform::engine::Order;
use pistachiolug_wire::digest::Digest;
use serde_json::json;
use tokio::{sync::mpsc, time::sleep};

use super::{
    answer,
    state::{Refusal, State},
};
use crate::reply;

/// Speed of an engine.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    /// Time to the first token.
    pub first: Duration,
    /// Time between tokens.
    pub gap: Duration,
}

/// Engine stand-in; clones share one state.
#[derive(Debug, Clone)]
pub struct Face {
    speed: Speed,
    state: Arc<Mutex<State>>,
}

/// One generation to run.
struct Job {
    weights: Digest,
    prompt: Digest,
    version: String,
    from: u32,
    to: u32,
}

impl Face {
    /// Creates an engine without weights.
    pub fn new(speed: Speed, checks_fence: bool) -> Self {
        let state = State::new(rand::random(), checks_fence);
        Self {
            speed,
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn generate(&self, request: &Request) -> Reply {
        let version = header_text(request.headers(), "x-model-version").to_owned();
        let Some(weights) = self.state().weights(&version) else {
            return refuse(StatusCode::CONFLICT, "version is not loaded");
        };
        let from = header_text(request.headers(), "x-resume-at").parse();
        let job = Job {
            weights,
            prompt: Digest::of(request.body()),
            version,
            from: from.unwrap_or(0),
            to: answer::length(request.body()),
        };
        let (sender, stream) = Body::channel();
        let face = self.clone();
        tokio::spawn(async move {
            face.state().running += 1;
            face.stream(&job, &sender).await;
            face.state().running -= 1;
        });
        Response::new(stream)
    }

    /// Sends tokens until the answer ends or the reader goes away.
    async fn stream(&self, job: &Job, sender: &mpsc::Sender<Bytes>) {
        sleep(self.speed.first).await;
        for index in job.from..job.to {
            let text = answer::token(&job.weights, &job.prompt, index);
            let event = json!({
                "version": job.version,
                "choices": [{ "index": 0, "delta": { "content": text } }],
            });
            if sender
                .send(format!("data: {event}\n\n").into())
                .await
                .is_err()
            {
                return;
            }
            sleep(self.speed.gap).await;
        }
        let last = json!({
            "version": job.version,
            "choices": [{ "index": 0, "delta": {}, "finish_reason": "stop" }],
            "usage": { "prompt_tokens": 1 },
        });
        // The reader may be gone by now.
        let _ = sender
            .send(format!("data: {last}\n\ndata: [DONE]\n\n").into())
            .await;
    }

    fn stage(&self, request: &Request) -> Reply {
        let query = request.uri().query();
        let path = request.uri().path();
        let name = path.trim_start_matches("/v1/engine/parts/").split_once('/');
        let Some((model, version)) = name else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        let staged = self.state().stage(
            reply::query_number(query, "fence"),
            (model.to_owned(), version.to_owned()),
            reply::query_number(query, "length"),
            reply::query_number(query, "offset"),
            request.body(),
        );
        conclude(staged)
    }

    fn order(&self, request: &Request) -> Reply {
        let Ok(order) = serde_json::from_slice::<Order>(request.body()) else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        let mut state = self.state();
        let result = match request.uri().path() {
            "/v1/engine/load" => state.load(&order),
            _ => state.unload(&order),
        };
        conclude(result)
    }
}

impl Handler for Face {
    async fn handle(&self, request: Request) -> Reply {
        let path = request.uri().path();
        match (request.method().clone(), path) {
            (Method::POST, "/v1/chat/completions" | "/v1/completions") => self.generate(&request),
            (Method::GET, "/v1/engine/state") => {
                reply::json(StatusCode::OK, &self.state().report())
            }
            (Method::GET, "/control/record") => reply::json(StatusCode::OK, &self.state().orders),
            (Method::POST, "/v1/engine/load" | "/v1/engine/unload") => self.order(&request),
            (Method::PUT, path) if path.starts_with("/v1/engine/parts/") => self.stage(&request),
            _ => reply::status(StatusCode::NOT_FOUND),
        }
    }
}

fn conclude(result: Result<(), Refusal>) -> Reply {
    match result {
        Ok(()) => reply::json(StatusCode::OK, &json!({})),
        Err(Refusal::Fenced(fence)) => reply::json(
            StatusCode::PRECONDITION_FAILED,
            &json!({ "reason": "old fencing number", "fence": fence }),
        ),
        Err(Refusal::Mismatch) => refuse(StatusCode::CONFLICT, "digest mismatch"),
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
