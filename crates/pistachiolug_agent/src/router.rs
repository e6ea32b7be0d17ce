//! Routing of requests on the internal port of an agent.

use http::{Method, Response, StatusCode};
use pistachiolug_http::{
    body::Body,
    secret::Secret,
    server::{Handler, Reply, Request},
};
use pistachiolug_kernel::admin::Admin;
use pistachiolug_ledger::claim::Claims;
use pistachiolug_lists::gossip::Gossip;
use pistachiolug_platform::{engine::Engine, plain::Service, source::Http};
use pistachiolug_weights::swarm::Swarm;

use crate::calls::Calls;

/// Prefix of the paths that serve the engine caches of moved calls.
const CACHE_PATH: &str = "/internal/cache/";

/// Prefix of the paths that exchange weights.
const WEIGHTS_PATH: &str = "/internal/weights/";

/// Routes requests on the internal port.
#[derive(Debug, Clone)]
pub struct Router<E, S, C> {
    /// Handler of the paths that every process serves, such as `/healthz` and `/metrics`.
    pub admin: Admin,
    /// Secret that every request must carry, except health checks.
    pub secret: Secret,
    /// Handler of requests of other processes for the lists.
    pub lists: Gossip,
    /// Handler of requests about calls.
    pub calls: Calls<E, S, C>,
    /// Handler of requests for weights; `None` if this agent exchanges no weights.
    pub weights: Option<Swarm<Http>>,
}

impl<E: Engine, S: Service, C: Claims> Handler for Router<E, S, C> {
    async fn handle(&self, request: Request) -> Reply {
        let path = request.uri().path();
        if matches!(path, "/healthz" | "/readyz") {
            return self.admin.serve(path).unwrap_or_else(not_found);
        }
        if !self.secret.is_sent_in(request.headers()) {
            return error_reply(StatusCode::UNAUTHORIZED);
        }
        if let Some(reply) = self.lists.serve(&request) {
            return reply;
        }
        if path.starts_with(WEIGHTS_PATH)
            && let Some(weights) = &self.weights
        {
            return weights.handle(request).await;
        }
        match (request.method(), path) {
            (&Method::POST, "/internal/call") => self.calls.open(request.body()),
            (&Method::POST, "/internal/revoke") => self.calls.revoke(request.body()),
            (&Method::POST, "/internal/cancel") => self.calls.cancel(request.body()),
            (&Method::POST, "/internal/crash") => self.calls.receive_crashes(request.body()),
            (&Method::POST, "/internal/limit") => self.calls.grant_limit(request.body()),
            (&Method::GET, path) if path.starts_with(CACHE_PATH) => {
                self.calls.take_cache(&path[CACHE_PATH.len()..])
            }
            (_, path) => self.admin.serve(path).unwrap_or_else(not_found),
        }
    }
}

fn not_found() -> Reply {
    error_reply(StatusCode::NOT_FOUND)
}

fn error_reply(status: StatusCode) -> Reply {
    let mut reply = Response::new(Body::from(status.as_str().to_owned()));
    *reply.status_mut() = status;
    reply
}
