//! Gives staged pieces to other agents.

use std::{
    convert::Infallible,
    pin::Pin,
    rc::Rc,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use tokio::{sync::OwnedSemaphorePermit, time::timeout};

use crate::{
    engine::Engine,
    state::{Staged, State},
};

/// Longest wait for a piece that this agent is about to fetch: twice the time in which the origin gives a whole version.
const PIECE_WAIT: Duration = Duration::from_millis(2500);

/// Interval at which a request for a version whose manifest is not here yet looks again.
const MANIFEST_WAIT: Duration = Duration::from_millis(30);

/// Body of an answer; it counts as being sent until it is dropped.
#[derive(Debug)]
pub struct Piece {
    bytes: Full<Bytes>,
    _sending: Option<OwnedSemaphorePermit>,
}

impl From<Full<Bytes>> for Piece {
    fn from(bytes: Full<Bytes>) -> Self {
        Self {
            bytes,
            _sending: None,
        }
    }
}

impl Body for Piece {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Pin::new(&mut self.bytes).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.bytes.size_hint()
    }
}

/// Answers a request for `/internal/piece/{model}/{version}/{index}`.
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
) -> Response<Piece> {
    let Some((model, version, index)) = parse(&path) else {
        return reply(StatusCode::NOT_FOUND, Bytes::new());
    };
    state.name_version(model, version, "agent");
    let piece = timeout(PIECE_WAIT, wait(&state, model, version, index)).await;
    let Ok(Some(staged)) = piece else {
        return reply(StatusCode::NOT_FOUND, Bytes::new());
    };
    if head_only {
        return reply(StatusCode::OK, Bytes::new());
    }
    // The semaphore is never closed, so an error can only mean that there is no bound.
    let sending = Arc::clone(&state.sending).acquire_owned().await.ok();
    let bytes = engine.staged(model, index).await.ok().flatten();
    match bytes {
        Some(bytes) if staged.manifest.fits(index, &bytes) => {
            state.metrics.given.inc();
            reply(StatusCode::OK, bytes).map(|piece| Piece {
                _sending: sending,
                ..piece
            })
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

fn reply(status: StatusCode, body: Bytes) -> Response<Piece> {
    let mut response = Response::new(Piece::from(Full::new(body)));
    *response.status_mut() = status;
    response
}
