//! Gives staged pieces to other agents.

use std::{rc::Rc, time::Duration};

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use pistachiolug_http::pace::Pace;
use tokio::time::timeout;

use crate::{
    engine::Engine,
    state::{Staged, State},
};

/// Longest wait for a piece that this agent is about to fetch: about the time in which the origin gives a version.
const PIECE_WAIT: Duration = Duration::from_millis(1300);

/// Interval at which a request for a version whose manifest is not here yet looks again.
const MANIFEST_WAIT: Duration = Duration::from_millis(30);

/// Answers a request for `/internal/piece/{model}/{version}/{index}`.
///
/// The status is 202 if the piece is awaited here as well, and 404 if the version is not wanted.
///
/// A newer version than the known one counts as named: who asks for it has learned that from the service.
///
/// # Arguments
/// `head_only` asks just to wait until the piece is here.
pub async fn serve<E: Engine>(
    state: Rc<State>,
    engine: E,
    head_only: bool,
    path: String,
) -> Response<Full<Bytes>> {
    let Some((model, version, index)) = parse(&path) else {
        return reply(StatusCode::NOT_FOUND, Bytes::new());
    };
    state.name_version(model, version, "agent");
    let piece = timeout(PIECE_WAIT, wait(&state, model, version, index)).await;
    let staged = match piece {
        Ok(Some(staged)) => staged,
        Ok(None) => return reply(StatusCode::NOT_FOUND, Bytes::new()),
        Err(_) => return reply(StatusCode::ACCEPTED, Bytes::new()),
    };
    if head_only {
        return reply(StatusCode::OK, Bytes::new());
    }
    let bytes = engine.staged(model, index).await.ok().flatten();
    match bytes {
        Some(bytes) if staged.manifest.fits(index, &bytes) => {
            state.metrics.given.inc();
            state.up.take(bytes.len()).await;
            reply(StatusCode::OK, bytes)
        }
        _ => {
            log::warn!(model, version, index; "staged piece is gone or spoilt");
            state.metrics.pieces.of("spoilt").inc();
            staged.set(index, false);
            state.wake.notify_one();
            reply(StatusCode::NOT_FOUND, Bytes::new())
        }
    }
}

/// Waits for a piece; `None` if the version is not the wanted one.
async fn wait(state: &State, model: &str, version: u64, index: usize) -> Option<Rc<Staged>> {
    loop {
        let want = state.want()?;
        if want.model != model || want.version != version {
            return None;
        }
        if let Some(staged) = state.staged(model, version) {
            staged.wait_for(index).await;
            return Some(staged);
        }
        tokio::time::sleep(MANIFEST_WAIT).await;
    }
}

fn parse(path: &str) -> Option<(&str, u64, usize)> {
    let mut parts = path.strip_prefix("/internal/piece/")?.rsplitn(3, '/');
    let index = parts.next()?.parse().ok()?;
    let version = parts.next()?.parse().ok()?;
    Some((parts.next()?, version, index))
}

fn reply(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
