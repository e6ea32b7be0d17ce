//! Answers to other members.

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

/// Bytes sent in one turn on the link.
const TURN_BYTES: usize = 16 << 10;

/// Longest time an answer waits for news.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// When to come back while all upload slots are taken.
const BUSY_RETRY: Duration = Duration::from_millis(50);

/// When to come back after the upload allowance is used up.
const SPENT_RETRY: Duration = Duration::from_secs(60);

impl<S: Send + Sync + 'static> Swarm<S> {
    /// Answers a request under `/internal/weights/`, whose secret the caller has checked.
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
        let Ok(ask) = codec::decode::<HaveRequest>(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        let wait = Duration::from_millis(ask.wait_ms.into()).min(LONGEST_WAIT);
        let until = Instant::now() + wait;
        let mut news = self.shared.news.subscribe();
        loop {
            let answer = self.shared.buffer().answer(&ask);
            if Instant::now() >= until || is_news(&ask, &answer) {
                return Response::new(Body::from(codec::encode(&answer)));
            }
            // Both the end of the wait and a closed channel lead to an answer.
            let _ = timeout_at(until, news.changed()).await;
        }
    }

    fn serve_chunk(&self, digest: &Digest, headers: &HeaderMap) -> Reply {
        let manifest = headers.get(MANIFEST_HEADER);
        let manifest = manifest.and_then(|value| value.to_str().ok()?.parse::<Digest>().ok());
        let now = self.shared.now();
        let mut buffer = self.shared.buffer();
        let Some(bytes) = buffer.chunk(digest) else {
            let idle = manifest.and_then(|id| buffer.idle_time(&id, now));
            return absent(idle);
        };
        let Ok(permit) = Arc::clone(&self.shared.uploads).try_acquire_owned() else {
            return busy(BUSY_RETRY);
        };
        let copies = self.shared.options.upload_copies;
        if let Some(id) = manifest
            && !buffer.charge_upload(&id, digest, copies, now)
        {
            return busy(SPENT_RETRY);
        }
        drop(buffer);
        self.send(bytes, permit)
    }

    fn send(&self, bytes: Bytes, permit: OwnedSemaphorePermit) -> Reply {
        let (sender, stream) = Body::channel();
        let shared: Arc<Shared<S>> = Arc::clone(&self.shared);
        tokio::spawn(async move {
            for start in (0..bytes.len()).step_by(TURN_BYTES) {
                let end = bytes.len().min(start + TURN_BYTES);
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

fn is_news(ask: &HaveRequest, answer: &HaveResponse) -> bool {
    answer.epoch != ask.epoch || answer.sequence != ask.since
}

fn absent(idle: Option<Duration>) -> Reply {
    let mut reply = status(StatusCode::NOT_FOUND);
    if let Some(idle) = idle {
        set_millis(&mut reply, IDLE_HEADER, idle);
    }
    reply
}

fn busy(after: Duration) -> Reply {
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
