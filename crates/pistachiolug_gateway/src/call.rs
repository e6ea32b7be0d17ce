//! One request of a caller, from its admission to its end.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, request};
use http_body_util::Full;
use tokio::time::Instant;

use crate::{
    board::Need,
    catalog::{Admitted, Kind},
    head::{self, Send, Tokens},
    line::Rank,
    state::State,
    ticket::{Open, Ticket},
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
    pub admitted: Admitted,
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
    pub fresh: bool,
    /// Counts the request while it lives.
    pub open: Open,
}

impl Call {
    /// Returns the time until the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the milliseconds since the request arrived.
    pub fn age_ms(&self) -> u64 {
        self.arrived.elapsed().as_millis() as u64
    }

    /// Returns what the request needs of its server now.
    pub fn need(&self, state: &State, tried: &[Arc<str>]) -> Need {
        let model = self.model.clone();
        Need {
            service: Arc::clone(&self.service),
            newest: model
                .as_deref()
                .and_then(|model| state.newest_version(model)),
            oldest: model
                .as_deref()
                .and_then(|model| state.oldest_version(model)),
            model,
            prompt: self.tokens.prompt,
            tried: tried.to_vec(),
            late: !self.fresh,
            freed: None,
        }
    }

    /// Tells whether the answer is a stream.
    pub fn is_stream(&self) -> bool {
        self.admitted.route.kind == Kind::Stream
    }

    /// Returns the request's rank in a line.
    pub fn rank(&self) -> Rank {
        Rank {
            late: !self.fresh,
            priority: self.admitted.priority(),
        }
    }

    fn engine_priority(&self) -> Option<u8> {
        self.model.as_ref()?;
        let late = if self.fresh { 0 } else { LATE_PRIORITY };
        Some(
            self.admitted
                .priority()
                .saturating_add(late)
                .min(PRIORITY_MOST),
        )
    }

    /// Builds what is sent to a server.
    ///
    /// # Arguments
    /// `last_event` is the id of the last event that the caller has, when a stream goes on.
    pub fn outgoing(
        &self,
        state: &State,
        ticket: &Ticket,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let model = self.model.as_deref();
        let send = Send {
            admitted: &self.admitted,
            choice: &ticket.choice,
            left: self.left(),
            // Only under a bound: a list that lags would turn sound sends away.
            version: model
                .filter(|model| state.oldest_version(model).is_some())
                .and_then(|model| ticket.choice.record.version(model)),
            priority: self.engine_priority(),
            last_event,
        };
        let headers = head::outgoing(&self.head, &state.options.names, &send);
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
