//! Internal port of an agent.

use http::{Method, Response, StatusCode};
use pistachiolug_http::{
    body::Body,
    secret::Secret,
    server::{Handler, Reply, Request},
};
use pistachiolug_kernel::admin::Admin;
use pistachiolug_lists::spread::Spread;
use pistachiolug_platform::{engine::Engine, plain::Service};

use crate::calls::Calls;

/// Routes requests on the internal port.
#[derive(Debug, Clone)]
pub struct Door<E, S> {
    /// Paths of every process.
    pub admin: Admin,
    /// Secret that peers must show.
    pub secret: Secret,
    /// Lists, which peers ask for.
    pub lists: Spread,
    /// Calls.
    pub calls: Calls<E, S>,
}

impl<E: Engine, S: Service> Handler for Door<E, S> {
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
        match (request.method(), path) {
            (&Method::POST, "/internal/call") => self.calls.open(request.body()),
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
