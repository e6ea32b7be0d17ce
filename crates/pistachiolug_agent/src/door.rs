//! Internal port of an agent.

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

/// Path below which the engine caches of moved calls are served.
const CACHE_PATH: &str = "/internal/cache/";

/// Path below which weights are exchanged.
const WEIGHTS_PATH: &str = "/internal/weights/";

/// Routes requests on the internal port.
#[derive(Debug, Clone)]
pub struct Door<E, S, C> {
    /// Paths of every process.
    pub admin: Admin,
    /// Secret that peers must show.
    pub secret: Secret,
    /// Lists, which peers ask for.
    pub lists: Gossip,
    /// Calls.
    pub calls: Calls<E, S, C>,
    /// Exchange of weights; none beside a plain service.
    pub weights: Option<Swarm<Http>>,
}

impl<E: Engine, S: Service, C: Claims> Handler for Door<E, S, C> {
    async fn handle(&self, request: Request) -> Reply {
        let path = request.uri().path();
        if matches!(path, "/healthz" | "/readyz") {
            return self.admin.serve(path).unwrap_or_else(not_found);
        }
        if !self.secret.admits(request.headers()) {
            return refuse(StatusCode::UNAUTHORIZED);
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
            (&Method::POST, "/internal/crash") => self.calls.learn_crash(request.body()),
            (&Method::POST, "/internal/limit") => self.calls.grant(request.body()),
            (&Method::GET, path) if path.starts_with(CACHE_PATH) => {
                self.calls.take_cache(&path[CACHE_PATH.len()..])
            }
            (_, path) => self.admin.serve(path).unwrap_or_else(not_found),
        }
    }
}

fn not_found() -> Reply {
    refuse(StatusCode::NOT_FOUND)
}

fn refuse(status: StatusCode) -> Reply {
    let mut reply = Response::new(Body::from(status.as_str().to_owned()));
    *reply.status_mut() = status;
    reply
}
