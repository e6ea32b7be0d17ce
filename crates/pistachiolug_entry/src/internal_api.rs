//! HTTP interface of an entry for other processes of the deployment.

use http::{Method, Response, StatusCode};
use pistachiolug_http::{
    body::Body,
    secret::Secret,
    server::{Handler, Reply, Request},
};
use pistachiolug_kernel::admin::Admin;
use pistachiolug_lists::gossip::Gossip;
use pistachiolug_membership::{exclusion::Cause, view::View};
use pistachiolug_wire::{codec, notice::Leaving};

/// Routes requests on the internal port.
#[derive(Debug, Clone)]
pub struct InternalApi {
    /// Handler of the paths that every process serves, such as `/healthz` and `/metrics`.
    pub admin: Admin,
    /// Secret that every request must carry, except health checks.
    pub secret: Secret,
    /// Handler of requests of other processes for the lists.
    pub lists: Gossip,
    /// View of the instances, from which agents are excluded after their notice of leaving.
    pub view: View,
}

impl Handler for InternalApi {
    async fn handle(&self, request: Request) -> Reply {
        let path = request.uri().path();
        let is_health_check = matches!(path, "/healthz" | "/readyz");
        if !is_health_check && !self.secret.is_sent_in(request.headers()) {
            return render_status(StatusCode::UNAUTHORIZED);
        }
        if request.method() == Method::POST && path == "/internal/leaving" {
            return self.receive_leaving(&request);
        }
        if let Some(reply) = self.lists.serve(&request) {
            return reply;
        }
        let reply = self.admin.serve(path);
        reply.unwrap_or_else(|| render_status(StatusCode::NOT_FOUND))
    }
}

impl InternalApi {
    /// Excludes the agent that sent a notice of leaving from the view.
    fn receive_leaving(&self, request: &Request) -> Reply {
        match codec::decode::<Leaving>(request.body()) {
            Ok(notice) => {
                self.view.exclude(&notice.instance, Cause::Left);
                render_status(StatusCode::NO_CONTENT)
            }
            Err(_) => render_status(StatusCode::BAD_REQUEST),
        }
    }
}

fn render_status(status: StatusCode) -> Reply {
    let text = if status == StatusCode::NO_CONTENT {
        String::new()
    } else {
        status.as_str().to_owned()
    };
    let mut reply = Response::new(Body::from(text));
    *reply.status_mut() = status;
    reply
}
