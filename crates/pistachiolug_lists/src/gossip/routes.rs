//! HTTP routes of the lists on the internal port.

use http::{Method, Response, StatusCode};
use pistachiolug_http::{
    body::Body,
    server::{Reply, Request},
};
use tokio::time::Instant;

use super::{
    Gossip,
    message::{self, Delta, PullRequest},
};

/// Path to which a peer posts a [`PullRequest`].
pub const PULL: &str = "/internal/lists/ask";

/// Path to which a peer posts a [`Delta`] with changes.
pub const PUSH: &str = "/internal/lists/push";

/// Path that returns the [`Report`](super::replica::Report) of this instance as JSON.
pub const REVISION: &str = "/internal/lists/revision";

impl Gossip {
    /// Answers a request to one of the lists' paths; `None` for any other path.
    ///
    /// The caller must have checked the shared secret.
    pub fn serve(&self, request: &Request) -> Option<Reply> {
        let reply = match (request.method(), request.uri().path()) {
            (&Method::POST, PULL) => self.serve_pull(request.body()),
            (&Method::POST, PUSH) => self.serve_push(request.body()),
            (&Method::GET, REVISION) => self.serve_revision(),
            _ => return None,
        };
        Some(reply)
    }

    fn serve_pull(&self, body: &[u8]) -> Reply {
        let Ok(request) = message::decode::<PullRequest>(&self.settings.secret, body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        if request.after > self.replica.revision()
            && request.digest != self.replica.pull_request().digest
        {
            self.replica.request_pull();
        }
        match self.replica.answer(&request, &self.settings.instance) {
            Some(delta) => Response::new(message::encode(&self.settings.secret, &delta).into()),
            None => status(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    fn serve_push(&self, body: &[u8]) -> Reply {
        let Ok(delta) = message::decode::<Delta>(&self.settings.secret, body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        if !self.replica.apply_delta(delta, Instant::now()) {
            self.replica.request_pull();
        }
        status(StatusCode::OK)
    }

    fn serve_revision(&self) -> Reply {
        let report = serde_json::to_vec(&self.replica.report()).unwrap_or_default();
        Response::new(Body::from(report))
    }
}

fn status(status: StatusCode) -> Reply {
    let mut reply = Response::new(Body::from(""));
    *reply.status_mut() = status;
    reply
}
