//! Origin and weight store: objects with HTTP ranges behind a shared link.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{Method, Response, StatusCode, header};
use pistachiolug_http::{
    body::Body,
    server::{Handler, Reply, Request},
};
use serde_json::json;
use tokio::{sync::Mutex as Turn, time::sleep};

use crate::reply;

/// Bytes sent in one turn on the link.
const TURN_BYTES: usize = 64 << 10;

/// Origin stand-in; clones share one state.
#[derive(Debug, Clone)]
pub struct Origin {
    /// Bytes a second of the link; 0 means no limit.
    rate: u64,
    objects: Arc<Mutex<BTreeMap<String, Bytes>>>,
    /// Held while a turn is sent, so that all reads share one link.
    link: Arc<Turn<()>>,
    sent: Arc<AtomicU64>,
}

impl Origin {
    /// Creates an empty origin behind a link of `rate` bytes a second; 0 means no limit.
    pub fn new(rate: u64) -> Self {
        Self {
            rate,
            objects: Arc::default(),
            link: Arc::default(),
            sent: Arc::default(),
        }
    }

    fn store(&self, name: &str, body: Bytes) -> Reply {
        let mut objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        objects.insert(name.to_owned(), body);
        reply::status(StatusCode::CREATED)
    }

    fn read(&self, name: &str, range: Option<&str>) -> Reply {
        let objects = self.objects.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(object) = objects.get(name).cloned() else {
            return reply::status(StatusCode::NOT_FOUND);
        };
        let (status, bytes) = match range.and_then(|range| cut(&object, range)) {
            Some(bytes) => (StatusCode::PARTIAL_CONTENT, bytes),
            None => (StatusCode::OK, object),
        };
        let (sender, stream) = Body::channel();
        let origin = self.clone();
        let length = bytes.len();
        tokio::spawn(async move {
            for start in (0..bytes.len()).step_by(TURN_BYTES) {
                let end = bytes.len().min(start + TURN_BYTES);
                origin.take_turn(end - start).await;
                if sender.send(bytes.slice(start..end)).await.is_err() {
                    return;
                }
            }
        });
        let mut reply = Response::new(stream);
        *reply.status_mut() = status;
        reply
            .headers_mut()
            .insert(header::CONTENT_LENGTH, length.into());
        reply
    }

    async fn take_turn(&self, bytes: usize) {
        let _link = self.link.lock().await;
        if self.rate > 0 {
            sleep(Duration::from_secs_f64(bytes as f64 / self.rate as f64)).await;
        }
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

impl Handler for Origin {
    async fn handle(&self, request: Request) -> Reply {
        let name = request.uri().path().trim_start_matches('/').to_owned();
        if name == "control/record" {
            let sent = self.sent.load(Ordering::Relaxed);
            return reply::json(StatusCode::OK, &json!({ "sent_bytes": sent }));
        }
        if request.method() == Method::PUT {
            return self.store(&name, request.into_body());
        }
        let range = request
            .headers()
            .get(header::RANGE)
            .and_then(|range| range.to_str().ok());
        self.read(&name, range)
    }
}

fn cut(object: &Bytes, range: &str) -> Option<Bytes> {
    let (first, last) = range.strip_prefix("bytes=")?.split_once('-')?;
    let first: usize = first.parse().ok()?;
    let last: usize = last.parse().ok()?;
    let end = object.len().min(last.checked_add(1)?);
    (first < end).then(|| object.slice(first..end))
}
