//! Gives staged pieces to other agents.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;
use pistachiolug_http::pace::Pace;

use crate::{
    engine::Engine,
    fetch::{BUSY_HEADER, IDLE_HEADER},
    state::{StagedVersion, State},
};

/// Prefix of the paths of manifests.
pub const MANIFEST_PATH: &str = "/internal/manifest/";

/// Longest backlog of pieces to send at which another one is taken on: about two pieces on a narrow link. An agent that
/// asks in vain finds one that is less busy.
const MAX_BACKLOG: Duration = Duration::from_millis(110);

/// Answers a request for `/internal/piece/{model}/{version}/{index}`; the status is 404 if the piece is not here.
///
/// A newer version than the known one counts as named: who asks for it has learned that from the service.
pub async fn serve_piece<E: Engine>(
    state: Rc<State>,
    engine: E,
    path: String,
) -> Response<Full<Bytes>> {
    let Some((model, version, index)) = parse(&path) else {
        return reply(StatusCode::NOT_FOUND, Bytes::new());
    };
    state.record_version(model, version, "agent");
    let Some(staged) = state.staged(model, version) else {
        return reply(StatusCode::NOT_FOUND, Bytes::new());
    };
    if !staged.is_staged(index) {
        return absent(&state, &staged);
    }
    let backlog = state.upload_bucket.backlog();
    if backlog > MAX_BACKLOG {
        let after = HeaderValue::from(backlog.as_millis() as u64);
        let mut response = reply(StatusCode::TOO_MANY_REQUESTS, Bytes::new());
        response.headers_mut().insert(BUSY_HEADER, after);
        return response;
    }
    let bytes = engine.read_staged(model, index).await.ok().flatten();
    match bytes {
        Some(bytes) if staged.manifest.matches(index, &bytes) => {
            state.metrics.pieces_sent.inc();
            state.upload_bucket.take(bytes.len()).await;
            reply(StatusCode::OK, bytes)
        }
        _ => {
            log::warn!(model, version, index; "staged piece is gone or spoilt");
            state.metrics.pieces.of("spoilt").inc();
            staged.set_held(index, false);
            state.wake.notify_one();
            absent(&state, &staged)
        }
    }
}

/// Answers a request for `/internal/manifest/{model}/{version}` with the digests one after the other; the status is 404 if
/// they are not known here.
pub fn serve_manifest(state: &State, path: &str) -> Response<Full<Bytes>> {
    let staged = path
        .strip_prefix(MANIFEST_PATH)
        .and_then(|rest| rest.rsplit_once('/'))
        .and_then(|(model, version)| state.staged(model, version.parse().ok()?));
    match staged {
        Some(staged) => reply(StatusCode::OK, staged.manifest.digests.concat().into()),
        None => reply(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn parse(path: &str) -> Option<(&str, u64, usize)> {
    let mut parts = path.strip_prefix("/internal/piece/")?.rsplitn(3, '/');
    let index = parts.next()?.parse().ok()?;
    let version = parts.next()?.parse().ok()?;
    Some((parts.next()?, version, index))
}

/// Says that a piece is not here, and how long ago the transfer of its version last gained one.
fn absent(state: &State, staged: &StagedVersion) -> Response<Full<Bytes>> {
    let mut response = reply(StatusCode::NOT_FOUND, Bytes::new());
    if !staged.missing().is_empty() {
        let idle = state.now().saturating_sub(staged.last_gain());
        let value = HeaderValue::from(idle.as_millis() as u64);
        response.headers_mut().insert(IDLE_HEADER, value);
    }
    response
}

fn reply(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
