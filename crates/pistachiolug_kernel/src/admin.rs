//! HTTP paths that every process serves on its internal port: health, readiness, metrics and state dump.

use http::{Response, StatusCode, header};
use pistachiolug_http::{body::Body, server::Reply};
use prometheus::{Registry, TextEncoder};

use crate::{
    dump::Dump,
    phase::{Control, Phase},
};

/// Handler of the paths; clones share the state of the process.
#[derive(Debug, Clone)]
pub struct Admin {
    /// Phase of the process, from which readiness follows.
    pub control: Control,
    /// State dump of the process.
    pub dump: Dump,
    /// Metrics of the process.
    pub metrics: Registry,
}

impl Admin {
    /// Answers a request for `path`; `None` if it is none of these paths.
    pub fn serve(&self, path: &str) -> Option<Reply> {
        match path {
            "/healthz" => Some(text_reply(StatusCode::OK, "text/plain", "ok".into())),
            "/readyz" => Some(self.serve_readiness()),
            "/metrics" => Some(self.serve_metrics()),
            "/debug/state" => {
                let state = self.dump.render().to_string();
                Some(text_reply(StatusCode::OK, "application/json", state))
            }
            _ => None,
        }
    }

    fn serve_readiness(&self) -> Reply {
        let phase = self.control.phase();
        let status = match phase {
            Phase::Running => StatusCode::OK,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        text_reply(status, "text/plain", phase.as_str().to_owned())
    }

    fn serve_metrics(&self) -> Reply {
        let families = self.metrics.gather();
        match TextEncoder::new().encode_to_string(&families) {
            Ok(metrics) => text_reply(StatusCode::OK, "text/plain; version=0.0.4", metrics),
            Err(error) => text_reply(
                StatusCode::INTERNAL_SERVER_ERROR,
                "text/plain",
                error.to_string(),
            ),
        }
    }
}

fn text_reply(status: StatusCode, content_type: &'static str, body: String) -> Reply {
    let mut reply = Response::new(Body::from(body));
    *reply.status_mut() = status;
    reply.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static(content_type),
    );
    reply
}
