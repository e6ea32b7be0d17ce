//! Internal port of an entry.

use http::{Response, StatusCode};
use pistachiolug_http::{
    body::Body,
    secret::Secret,
    server::{Handler, Reply, Request},
};
use pistachiolug_kernel::admin::Admin;
use pistachiolug_lists::spread::Spread;

/// Routes requests on the internal port.
#[derive(Debug, Clone)]
pub struct Internal {
    /// Paths of every process.
    pub admin: Admin,
    /// Secret that peers must show.
    pub secret: Secret,
    /// Lists, which peers ask for.
    pub lists: Spread,
}

impl Handler for Internal {
    async fn handle(&self, request: Request) -> Reply {
        let path = request.uri().path();
        let open = matches!(path, "/healthz" | "/readyz");
        if !open && !self.secret.admits(request.headers()) {
            return refuse(StatusCode::UNAUTHORIZED);
        }
        if let Some(reply) = self.lists.serve(&request) {
            return reply;
        }
        let served = self.admin.serve(path);
        served.unwrap_or_else(|| refuse(StatusCode::NOT_FOUND))
    }
}

fn refuse(status: StatusCode) -> Reply {
    let mut reply = Response::new(Body::from(status.as_str().to_owned()));
    *reply.status_mut() = status;
    reply
}
