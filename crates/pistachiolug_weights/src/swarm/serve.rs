//! HTTP handlers for requests of other members.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode};
use pistachiolug_http::{
    body::Body,
    pace::Pace,
    server::{Reply, Request},
};
use pistachiolug_wire::{codec, digest::Digest};
use tokio::{
    sync::OwnedSemaphorePermit,
    time::{Instant, timeout_at},
};

use super::{Shared, Swarm};
use crate::exchange::{
    CHUNK_PATH, HAVE_PATH, HaveRequest, HaveResponse, IDLE_HEADER, MANIFEST_HEADER,
    RETRY_AFTER_HEADER,
};

/// Number of bytes sent per reservation of link capacity.
const SEND_BYTES: usize = 16 << 10;

/// Maximum time for which a response is held back until a piece arrives.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Retry delay sent while all upload slots are in use.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Retry delay sent after the upload allowance is used up.
const ALLOWANCE_RETRY_DELAY: Duration = Duration::from_secs(60);

impl<S: Send + Sync + 'static> Swarm<S> {
    /// Handles a request under `/internal/weights/`; the caller has already checked its secret.
    pub async fn handle(&self, request: Request) -> Reply {
        let path = request.uri().path();
        match (request.method(), path) {
            (&Method::POST, HAVE_PATH) => self.serve_have(request.body()).await,
            (&Method::GET, path) => match path.strip_prefix(CHUNK_PATH).map(str::parse) {
                Some(Ok(digest)) => self.serve_chunk(&digest, request.headers()),
                _ => status(StatusCode::NOT_FOUND),
            },
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    async fn serve_have(&self, body: &[u8]) -> Reply {
        let Ok(request) = codec::decode::<HaveRequest>(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let wait = Duration::from_millis(request.wait_ms.into()).min(MAX_WAIT);
        let deadline = Instant::now() + wait;
        let mut arrivals = self.shared.arrivals.subscribe();
        loop {
            let response = self.shared.buffer().answer(&request);
            if Instant::now() >= deadline || has_changes(&request, &response) {
                return Response::new(Body::from(codec::encode(&response)));
            }
            // A timeout and a closed channel need no handling: the response is sent at the deadline at the latest.
            let _ = timeout_at(deadline, arrivals.changed()).await;
        }
    }

    fn serve_chunk(&self, digest: &Digest, headers: &HeaderMap) -> Reply {
        let manifest = headers.get(MANIFEST_HEADER);
        let manifest = manifest.and_then(|value| value.to_str().ok()?.parse::<Digest>().ok());
        let now = self.shared.now();
        let mut buffer = self.shared.buffer();
        let Some(bytes) = buffer.chunk(digest) else {
            let idle = manifest.and_then(|id| buffer.idle_time(&id, now));
            return not_found(idle);
        };
        let Ok(permit) = Arc::clone(&self.shared.uploads).try_acquire_owned() else {
            return unavailable(BUSY_RETRY_DELAY);
        };
        let copies = self.shared.options.upload_copies;
        if let Some(id) = manifest
            && !buffer.charge_upload(&id, digest, copies, now)
        {
            return unavailable(ALLOWANCE_RETRY_DELAY);
        }
        drop(buffer);
        self.send(bytes, permit)
    }

    fn send(&self, bytes: Bytes, permit: OwnedSemaphorePermit) -> Reply {
        let (sender, stream) = Body::channel();
        let shared: Arc<Shared<S>> = Arc::clone(&self.shared);
        tokio::spawn(async move {
            for start in (0..bytes.len()).step_by(SEND_BYTES) {
                let end = bytes.len().min(start + SEND_BYTES);
                shared.upload_bucket.take(end - start).await;
                if sender.send(bytes.slice(start..end)).await.is_err() {
                    break;
                }
            }
            drop(permit);
        });
        Response::new(stream)
    }
}

fn has_changes(request: &HaveRequest, response: &HaveResponse) -> bool {
    response.epoch != request.epoch || response.sequence != request.since
}

fn not_found(idle: Option<Duration>) -> Reply {
    let mut reply = status(StatusCode::NOT_FOUND);
    if let Some(idle) = idle {
        set_millis(&mut reply, IDLE_HEADER, idle);
    }
    reply
}

fn unavailable(after: Duration) -> Reply {
    let mut reply = status(StatusCode::SERVICE_UNAVAILABLE);
    set_millis(&mut reply, RETRY_AFTER_HEADER, after);
    reply
}

fn set_millis(reply: &mut Reply, name: &'static str, time: Duration) {
    let millis = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
    let name = HeaderName::from_static(name);
    reply.headers_mut().insert(name, HeaderValue::from(millis));
}

fn status(status: StatusCode) -> Reply {
    let mut reply = Response::new(Body::from(""));
    *reply.status_mut() = status;
    reply
}
