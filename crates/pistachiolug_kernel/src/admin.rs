//! Paths that every process serves on its internal port: health, readiness, metrics and state.

use http::{Response, StatusCode, header};
use pistachiolug_http::{body::Body, server::Reply};
use prometheus::{Registry, TextEncoder};

use crate::{
    dump::Dump,
    phase::{Control, Phase},
};

/// Serves the paths; clones share the process's state.
#[derive(Debug, Clone)]
pub struct Admin {
    /// Phase of the process.
    pub control: Control,
    /// Parts of the state dump.
    pub dump: Dump,
    /// Metrics of the process.
    pub metrics: Registry,
}

impl Admin {
    /// Answers `path`, or returns `None` if it is none of these paths.
    pub fn serve(&self, path: &str) -> Option<Reply> {
        match path {
            "/healthz" => Some(text(StatusCode::OK, "text/plain", "ok".into())),
            "/readyz" => Some(self.readiness()),
            "/metrics" => Some(self.metrics()),
            "/debug/state" => {
                let state = self.dump.render().to_string();
                Some(text(StatusCode::OK, "application/json", state))
            }
            _ => None,
        }
    }

    fn readiness(&self) -> Reply {
        let phase = self.control.phase();
        let status = match phase {
            Phase::Running => StatusCode::OK,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        };
        text(status, "text/plain", phase.as_str().to_owned())
    }

    fn metrics(&self) -> Reply {
        let families = self.metrics.gather();
        match TextEncoder::new().encode_to_string(&families) {
            Ok(metrics) => text(StatusCode::OK, "text/plain; version=0.0.4", metrics),
            Err(error) => text(
                StatusCode::INTERNAL_SERVER_ERROR,
                "text/plain",
                error.to_string(),
            ),
        }
    }
}

fn text(status: StatusCode, content_type: &'static str, body: String) -> Reply {
    let mut reply = Response::new(Body::from(body));
    *reply.status_mut() = status;
    reply.headers_mut().insert(
        header::CONTENT_TYPE,
        header::HeaderValue::from_static(content_type),
    );
    reply
}
