//! Plain service that records every run.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use http::StatusCode;
use pistachiolug_http::server::{Handler, Reply, Request};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::sleep;

use crate::reply;

/// One run of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// HTTP method.
    pub method: String,
    /// Path with query.
    pub path: String,
    /// Idempotency key, if the call had one.
    pub key: Option<String>,
}

/// Plain service stand-in; clones share one record.
#[derive(Debug, Clone)]
pub struct Plain {
    delay: Duration,
    runs: Arc<Mutex<Vec<Run>>>,
}

impl Plain {
    /// Creates a service whose calls take `delay`.
    pub fn new(delay: Duration) -> Self {
        Self {
            delay,
            runs: Arc::default(),
        }
    }

    fn record(&self, request: &Request) -> usize {
        let run = Run {
            method: request.method().to_string(),
            path: request.uri().to_string(),
            key: request
                .headers()
                .get("idempotency-key")
                .and_then(|key| key.to_str().ok())
                .map(str::to_owned),
        };
        let mut runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
        runs.push(run);
        runs.len()
    }
}

impl Handler for Plain {
    async fn handle(&self, request: Request) -> Reply {
        if request.uri().path() == "/control/record" {
            let runs = self.runs.lock().unwrap_or_else(PoisonError::into_inner);
            return reply::json(StatusCode::OK, &*runs);
        }
        let number = self.record(&request);
        sleep(self.delay).await;
        let echo = String::from_utf8_lossy(request.body()).into_owned();
        reply::json(
            StatusCode::OK,
            &json!({ "run": number, "path": request.uri().path(), "echo": echo }),
        )
    }
}
