//! Internal port of an entry.

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
    /// Paths of every process.
    pub admin: Admin,
    /// Secret that peers must show.
    pub secret: Secret,
    /// Lists, which peers ask for.
    pub lists: Gossip,
    /// Instances, which direct notices change.
    pub view: View,
}

impl Handler for InternalApi {
    async fn handle(&self, request: Request) -> Reply {
        let path = request.uri().path();
        let open = matches!(path, "/healthz" | "/readyz");
        if !open && !self.secret.is_sent_in(request.headers()) {
            return bare(StatusCode::UNAUTHORIZED);
        }
        if request.method() == Method::POST && path == "/internal/leaving" {
            return self.leaving(&request);
        }
        if let Some(reply) = self.lists.serve(&request) {
            return reply;
        }
        let served = self.admin.serve(path);
        served.unwrap_or_else(|| bare(StatusCode::NOT_FOUND))
    }
}

impl InternalApi {
    /// Takes the notice of an agent that leaves.
    fn leaving(&self, request: &Request) -> Reply {
        match codec::decode::<Leaving>(request.body()) {
            Ok(notice) => {
                self.view.exclude(&notice.instance, Cause::Left);
                bare(StatusCode::NO_CONTENT)
            }
            Err(_) => bare(StatusCode::BAD_REQUEST),
        }
    }
}

fn bare(status: StatusCode) -> Reply {
    let text = if status == StatusCode::NO_CONTENT {
        String::new()
    } else {
        status.as_str().to_owned()
    };
    let mut reply = Response::new(Body::from(text));
    *reply.status_mut() = status;
    reply
}
