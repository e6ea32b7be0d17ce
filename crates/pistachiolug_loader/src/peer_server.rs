//! HTTP server that gives staged pieces and manifests to other agents.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode};
use http_body_util::Full;

use crate::{
    engine::Engine,
    fetch::{BUSY_HEADER, IDLE_HEADER},
    staged::StagedVersion,
    state::State,
};

/// Path prefix of manifest requests.
pub const MANIFEST_PATH: &str = "/internal/manifest/";

/// Upload backlog above which further piece requests are rejected: about two pieces on a narrow link. A rejected agent
/// retries at one that is less busy.
const MAX_BACKLOG: Duration = Duration::from_millis(110);

/// Time after which other agents may ask again for a staged piece of an engine that limits its requests.
const LIMITED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles `/internal/piece/{model}/{version}/{index}`; the status is 404 if the agent does not hold the piece, and 503 if its
/// engine can not be read now.
///
/// A request for a version newer than the known one also announces that version: the requester learned of it from the
/// key-value service.
pub async fn serve_piece<E: Engine>(
    state: Rc<State>,
    engine: E,
    path: String,
) -> Response<Full<Bytes>> {
    let Some((model, version, index)) = parse_piece_path(&path) else {
        return respond(StatusCode::NOT_FOUND, Bytes::new());
    };
    state.learn_version(model, version, None, "agent");
    let Some(staged) = state.staged(model, version) else {
        return respond(StatusCode::NOT_FOUND, Bytes::new());
    };
    if !staged.is_held(index) {
        return not_found(&state, &staged);
    }
    let backlog = state.upload_bucket.backlog();
    if backlog > MAX_BACKLOG {
        return respond_busy(backlog);
    }
    let read = match staged.buffered(index) {
        Some(bytes) => Ok(Some(bytes)),
        None if engine.limit().is_some() => return respond_busy(LIMITED_RETRY_AFTER),
        None => engine.read_staged(model, index).await,
    };
    let cause = match read {
        Ok(Some(bytes)) if staged.manifest.matches(index, &bytes) => {
            state.metrics.pieces_sent.inc();
            state.upload_bucket.start(bytes.len()).await;
            return respond(StatusCode::OK, bytes);
        }
        Ok(Some(_)) => "corrupt",
        Ok(None) => "missing",
        Err(error) => {
            log::info!(model, version, index, error:%; "staged piece not read");
            return respond(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
        }
    };
    log::warn!(model, version, index, cause; "staged piece is missing or corrupt");
    state.metrics.pieces.get("spoilt").inc();
    staged.set_staged(index, false);
    state.wake.notify_one();
    not_found(&state, &staged)
}

/// Handles `/internal/manifest/{model}/{version}`. The body is the concatenated digests; the status is 404 if they are
/// not known here.
pub fn serve_manifest(state: &State, path: &str) -> Response<Full<Bytes>> {
    let staged = path
        .strip_prefix(MANIFEST_PATH)
        .and_then(|rest| rest.rsplit_once('/'))
        .and_then(|(model, version)| state.staged(model, version.parse().ok()?));
    match staged {
        Some(staged) => respond(StatusCode::OK, staged.manifest.digests.concat().into()),
        None => respond(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn parse_piece_path(path: &str) -> Option<(&str, u64, usize)> {
    let mut parts = path.strip_prefix("/internal/piece/")?.rsplitn(3, '/');
    let index = parts.next()?.parse().ok()?;
    let version = parts.next()?.parse().ok()?;
    Some((parts.next()?, version, index))
}

/// Returns a 404 for a piece that the agent does not hold. While the version is incomplete, the response tells how long ago its
/// transfer last gained a piece.
fn not_found(state: &State, staged: &StagedVersion) -> Response<Full<Bytes>> {
    let mut response = respond(StatusCode::NOT_FOUND, Bytes::new());
    if !staged.missing().is_empty() {
        let idle = state.now().saturating_sub(staged.last_gained_at());
        let value = HeaderValue::from(idle.as_millis() as u64);
        response.headers_mut().insert(IDLE_HEADER, value);
    }
    response
}

fn respond(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

fn respond_busy(retry_after: Duration) -> Response<Full<Bytes>> {
    let retry_after = HeaderValue::from(retry_after.as_millis() as u64);
    let mut response = respond(StatusCode::TOO_MANY_REQUESTS, Bytes::new());
    response.headers_mut().insert(BUSY_HEADER, retry_after);
    response
}
