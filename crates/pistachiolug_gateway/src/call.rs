//! One request of a caller, from its admission to its end.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, request};
use http_body_util::Full;
use tokio::time::Instant;

use crate::{
    config::{Authorized, Kind},
    headers::{self, Outgoing, Tokens},
    permit::{OpenRequest, Permit},
    pool::Requirements,
    queue::Rank,
    state::State,
};

/// Added to the priority of requests that are late already.
const LATE_PRIORITY: u8 = 4;

/// Largest priority that engines know.
const PRIORITY_MOST: u8 = 9;

/// One request of a caller.
#[derive(Debug)]
pub struct Call {
    /// Id of the caller's attempt.
    pub id: String,
    /// Head as the caller sent it.
    pub head: request::Parts,
    /// Whole body.
    pub body: Bytes,
    /// Route and workspace.
    pub authorized: Authorized,
    /// Service that was drawn for the request.
    pub service: Arc<str>,
    /// Model, for requests to engines.
    pub model: Option<Arc<str>>,
    /// Size, for requests to engines.
    pub tokens: Tokens,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the caller has to have an answer.
    pub deadline: Instant,
    /// Whether it can be on time still.
    pub is_first_attempt: bool,
    /// Counts the request while it lives.
    pub open_request: OpenRequest,
}

impl Call {
    /// Returns the time until the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the milliseconds since the request arrived.
    pub fn age_ms(&self) -> u64 {
        self.arrived.elapsed().as_millis() as u64
    }

    /// Returns what the request needs of its server now.
    pub fn requirements(&self, state: &State, tried: &[Arc<str>]) -> Requirements {
        let model = self.model.clone();
        Requirements {
            service: Arc::clone(&self.service),
            target_version: model
                .as_deref()
                .and_then(|model| state.target_version(model)),
            min_version: model.as_deref().and_then(|model| state.min_version(model)),
            model,
            prompt_tokens: self.tokens.prompt,
            tried: tried.to_vec(),
            is_late: !self.is_first_attempt,
            freed_server: None,
        }
    }

    /// Tells whether the answer is a stream.
    pub fn is_stream(&self) -> bool {
        self.authorized.route.kind == Kind::Stream
    }

    /// Returns the request's rank in a line.
    pub fn rank(&self) -> Rank {
        Rank {
            is_late: !self.is_first_attempt,
            priority: self.authorized.priority(),
        }
    }

    fn engine_priority(&self) -> Option<u8> {
        self.model.as_ref()?;
        let late = if self.is_first_attempt {
            0
        } else {
            LATE_PRIORITY
        };
        Some(
            self.authorized
                .priority()
                .saturating_add(late)
                .min(PRIORITY_MOST),
        )
    }

    /// Builds what is sent to a server.
    ///
    /// # Arguments
    /// `last_event` is the id of the last event that the caller has, when a stream goes on.
    pub fn build_request(
        &self,
        state: &State,
        permit: &Permit,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let model = self.model.as_deref();
        let send = Outgoing {
            authorized: &self.authorized,
            choice: &permit.choice,
            time_left: self.time_left(),
            // Only under a bound: a list that lags would turn sound sends away.
            version: model
                .filter(|model| state.min_version(model).is_some())
                .and_then(|model| permit.choice.record.version(model)),
            priority: self.engine_priority(),
            last_event,
        };
        let headers = headers::build(&self.head, &state.options.names, &send);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        // Servers are addressed by path; the host stands in its header.
        if let Some(path) = self.head.uri.path_and_query() {
            *request.uri_mut() = path.as_str().parse().unwrap_or_default();
        }
        *request.headers_mut() = headers;
        request
    }
}
