//! Stand-in of a plain service that records every call that it ran.

use std::{
    future::pending,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
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
    /// Path with its query.
    pub path: String,
    /// Idempotency key, `None` if the call had none.
    pub key: Option<String>,
}

/// Fault of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The call runs and its answer is never sent.
    LoseAnswer,
    /// The call runs and the process exits before it answers.
    Exit,
}

/// Stand-in of a plain service; clones share one record.
#[derive(Debug, Clone)]
pub struct PlainService {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug)]
struct Shared {
    /// Time from the start of a call to its answer.
    delay: Duration,
    runs: Vec<Run>,
    /// Fault with the number of coming calls that it hits.
    fault: Option<(Fault, u64)>,
}

impl PlainService {
    /// Creates a service that answers each call after `delay`.
    pub fn new(delay: Duration) -> Self {
        let shared = Shared {
            delay,
            runs: Vec::new(),
            fault: None,
        };
        Self {
            shared: Arc::new(Mutex::new(shared)),
        }
    }

    /// Makes the next `calls` calls fail.
    pub fn fail_next(&self, fault: Fault, calls: u64) {
        self.shared().fault = Some((fault, calls));
    }

    /// Sets the time from the start of a call to its answer.
    pub fn set_delay(&self, delay: Duration) {
        self.shared().delay = delay;
    }

    /// Returns all runs so far, in order of their start.
    pub fn runs(&self) -> Vec<Run> {
        self.shared().runs.clone()
    }

    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves the paths below `/control/`: `record`, `delay?ms=`, `lose?calls=` and `exit?calls=`.
    fn apply_control(&self, name: &str, query: Option<&str>) -> Reply {
        let calls = reply::query_number(query, "calls").max(1);
        match name {
            "record" => return reply::json(StatusCode::OK, &self.shared().runs),
            "delay" => self.set_delay(Duration::from_millis(reply::query_number(query, "ms"))),
            "lose" => self.fail_next(Fault::LoseAnswer, calls),
            "exit" => self.fail_next(Fault::Exit, calls),
            _ => return reply::status(StatusCode::NOT_FOUND),
        }
        reply::json(StatusCode::OK, &json!({}))
    }
}

impl Shared {
    /// Records a call and returns its number, which starts at 1.
    fn record(&mut self, request: &Request) -> usize {
        let run = Run {
            method: request.method().to_string(),
            path: request.uri().to_string(),
            key: request
                .headers()
                .get("idempotency-key")
                .and_then(|key| key.to_str().ok())
                .map(str::to_owned),
        };
        self.runs.push(run);
        self.runs.len()
    }

    /// Returns the fault that hits this call and counts it, or `None`.
    fn take_fault(&mut self) -> Option<Fault> {
        let (fault, calls) = self.fault.take()?;
        if calls > 1 {
            self.fault = Some((fault, calls - 1));
        }
        Some(fault)
    }
}

impl Handler for PlainService {
    async fn handle(&self, request: Request) -> Reply {
        if let Some(name) = request.uri().path().strip_prefix("/control/") {
            return self.apply_control(name, request.uri().query());
        }
        let (number, fault, delay) = {
            let mut shared = self.shared();
            (shared.record(&request), shared.take_fault(), shared.delay)
        };
        sleep(delay).await;
        match fault {
            Some(Fault::LoseAnswer) => pending().await,
            Some(Fault::Exit) => std::process::exit(101),
            None => {}
        }
        let echo = String::from_utf8_lossy(request.body()).into_owned();
        reply::json(
            StatusCode::OK,
            &json!({ "run": number, "path": request.uri().path(), "echo": echo }),
        )
    }
}
