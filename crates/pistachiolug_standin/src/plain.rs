//! Plain service that records every run.

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
    /// Path with query.
    pub path: String,
    /// Idempotency key, if the call had one.
    pub key: Option<String>,
}

/// What happens to the next calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The call runs and its answer never comes.
    LoseAnswer,
    /// The call runs and the process ends before it answers.
    Exit,
}

/// Plain service stand-in; clones share one record.
#[derive(Debug, Clone)]
pub struct PlainService {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug)]
struct Shared {
    delay: Duration,
    runs: Vec<Run>,
    /// Fault of the next calls and how many it hits.
    fault: Option<(Fault, u64)>,
}

impl PlainService {
    /// Creates a service whose calls take `delay`.
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

    /// Lets a fault happen to the next `calls` calls.
    pub fn fail_next(&self, fault: Fault, calls: u64) {
        self.shared().fault = Some((fault, calls));
    }

    /// Sets the time that calls take.
    pub fn set_delay(&self, delay: Duration) {
        self.shared().delay = delay;
    }

    /// Returns all runs so far.
    pub fn runs(&self) -> Vec<Run> {
        self.shared().runs.clone()
    }

    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Serves `/control/…`: `record`, and the orders `delay?ms=`, `lose?calls=` and `exit?calls=`.
    fn obey(&self, order: &str, query: Option<&str>) -> Reply {
        let calls = reply::query_number(query, "calls").max(1);
        match order {
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
        if let Some(order) = request.uri().path().strip_prefix("/control/") {
            return self.obey(order, request.uri().query());
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
