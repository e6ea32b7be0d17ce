//! Stand-in of the origin, the store of weights: objects with HTTP ranges behind one rate-limited link.
//!
//! | request | effect |
//! |---|---|
//! | `PUT /{name}`, `GET /{name}` | stores, reads an object |
//! | `GET /control/record` | returns the bytes sent, in total and by object |
//! | `POST /control/fault?kind=K&reads=N` | fails N ranged reads by `corrupt`, `truncate`, `stall` or `throttle` |
//! | `POST /control/down?on=1` | refuses every read with 500 until `on=0` |
//! | `POST /control/rate?bytes=N` | changes the rate of the link to N bytes a second |

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bytes::{Bytes, BytesMut};
use http::{Method, Response, StatusCode, header};
use pistachiolug_http::{
    body::Body,
    pace::{Bucket, Pace},
    server::{Handler, Reply, Request},
};
use serde::Serialize;
use tokio::{sync::mpsc, time::sleep};

use crate::reply;

/// Number of bytes that a read sends before other reads may use the link.
const SEND_BYTES: usize = 16 << 10;

/// Time for which a stalled read stays open without sending anything.
const STALL_TIME: Duration = Duration::from_secs(600);

/// Value of the `Retry-After` header of a throttled read, in seconds.
const RETRY_AFTER_S: u32 = 1;

/// Stand-in of the origin; clones share one state.
#[derive(Debug, Clone)]
pub struct Origin {
    /// Link that all reads share.
    link: Arc<Bucket>,
    /// Number of reads served at once; further ones are refused with 429. 0 means no limit.
    max_readers: usize,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    objects: BTreeMap<String, Bytes>,
    record: Record,
    active_reads: usize,
    down: bool,
    fault: Option<Fault>,
    /// Number of ranged reads that `fault` still hits.
    faulty_reads_left: u64,
}

/// Counters of what the origin sent.
#[derive(Debug, Default, Clone, Serialize)]
pub struct Record {
    /// Bytes of all answers, in total.
    pub sent_bytes: u64,
    /// Bytes by name of the object.
    pub objects: BTreeMap<String, u64>,
    /// Reads refused with 429, because of the reader limit or a fault.
    pub throttled: u64,
}

/// Fault of a ranged read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The first byte is wrong.
    Corrupt,
    /// The answer ends after half of its bytes.
    Truncate,
    /// The answer stops after half of its bytes and its connection stays open.
    Stall,
    /// The read is refused with 429.
    Throttle,
}

/// Guard that counts a read as active until it is dropped.
struct ReadGuard(Arc<Mutex<State>>);

impl Drop for ReadGuard {
    fn drop(&mut self) {
        lock(&self.0).active_reads -= 1;
    }
}

impl Origin {
    /// Creates an empty origin behind a link of `rate` bytes a second; 0 means no limit.
    pub fn new(rate: u64) -> Self {
        Self {
            link: Arc::new(Bucket::new(rate)),
            max_readers: 0,
            state: Arc::default(),
        }
    }

    /// Limits the number of reads served at once; 0 means no limit.
    #[must_use]
    pub fn with_reader_limit(self, max_readers: usize) -> Self {
        Self {
            max_readers,
            ..self
        }
    }

    /// Stores an object.
    pub fn store(&self, name: &str, body: Bytes) {
        lock(&self.state).objects.insert(name.to_owned(), body);
    }

    /// Returns the counters of what was sent so far.
    pub fn record(&self) -> Record {
        lock(&self.state).record.clone()
    }

    fn read(&self, name: &str, range: Option<&str>) -> Reply {
        let mut state = lock(&self.state);
        if state.down {
            return reply::status(StatusCode::INTERNAL_SERVER_ERROR);
        }
        let Some(object) = state.objects.get(name).cloned() else {
            return reply::status(StatusCode::NOT_FOUND);
        };
        let fault = range.and_then(|_| state.take_fault());
        let is_full = self.max_readers > 0 && state.active_reads >= self.max_readers;
        if is_full || fault == Some(Fault::Throttle) {
            state.record.throttled += 1;
            return throttled();
        }
        state.active_reads += 1;
        drop(state);
        let (status, bytes) = match range.and_then(|range| slice_range(&object, range)) {
            Some(bytes) => (StatusCode::PARTIAL_CONTENT, bytes),
            None => (StatusCode::OK, object),
        };
        let (sender, stream) = Body::channel();
        let origin = self.clone();
        let guard = ReadGuard(Arc::clone(&self.state));
        let name = name.to_owned();
        tokio::spawn(async move {
            origin.send(&name, bytes, fault, sender).await;
            drop(guard);
        });
        let mut reply = Response::new(stream);
        *reply.status_mut() = status;
        reply
    }

    async fn send(
        &self,
        name: &str,
        bytes: Bytes,
        fault: Option<Fault>,
        sender: mpsc::Sender<Bytes>,
    ) {
        let bytes = match fault {
            Some(Fault::Corrupt) => corrupt(&bytes),
            Some(Fault::Truncate | Fault::Stall) => bytes.slice(..bytes.len() / 2),
            Some(Fault::Throttle) | None => bytes,
        };
        for start in (0..bytes.len()).step_by(SEND_BYTES) {
            let end = bytes.len().min(start + SEND_BYTES);
            self.link.take(end - start).await;
            if lock(&self.state).down {
                return;
            }
            if sender.send(bytes.slice(start..end)).await.is_err() {
                return;
            }
            lock(&self.state).record.add(name, (end - start) as u64);
        }
        if fault == Some(Fault::Stall) {
            tokio::select! {
                () = sleep(STALL_TIME) => {}
                () = sender.closed() => {}
            }
        }
    }

    fn control(&self, request: &Request) -> Reply {
        let query = request.uri().query();
        let mut state = lock(&self.state);
        match request.uri().path() {
            "/control/record" => return reply::json(StatusCode::OK, &state.record),
            "/control/down" => state.down = reply::query_number(query, "on") == 1,
            "/control/rate" => self.link.set_rate(reply::query_number(query, "bytes")),
            "/control/fault" => {
                let Some(fault) = reply::query_text(query, "kind").and_then(Fault::parse) else {
                    return reply::status(StatusCode::BAD_REQUEST);
                };
                state.fault = Some(fault);
                state.faulty_reads_left = reply::query_number(query, "reads");
            }
            _ => return reply::status(StatusCode::NOT_FOUND),
        }
        reply::status(StatusCode::NO_CONTENT)
    }
}

impl State {
    /// Returns the fault that hits this ranged read and counts it, or `None`.
    fn take_fault(&mut self) -> Option<Fault> {
        if self.faulty_reads_left == 0 {
            return None;
        }
        self.faulty_reads_left -= 1;
        self.fault
    }
}

impl Record {
    fn add(&mut self, name: &str, bytes: u64) {
        self.sent_bytes += bytes;
        *self.objects.entry(name.to_owned()).or_default() += bytes;
    }
}

impl Fault {
    fn parse(text: &str) -> Option<Self> {
        match text {
            "corrupt" => Some(Self::Corrupt),
            "truncate" => Some(Self::Truncate),
            "stall" => Some(Self::Stall),
            "throttle" => Some(Self::Throttle),
            _ => None,
        }
    }
}

impl Handler for Origin {
    async fn handle(&self, request: Request) -> Reply {
        let path = request.uri().path();
        if path.starts_with("/control/") {
            return self.control(&request);
        }
        let name = path.trim_start_matches('/').to_owned();
        if request.method() == Method::PUT {
            self.store(&name, request.into_body());
            return reply::status(StatusCode::CREATED);
        }
        let range = request
            .headers()
            .get(header::RANGE)
            .and_then(|range| range.to_str().ok());
        self.read(&name, range)
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn throttled() -> Reply {
    let mut reply = reply::status(StatusCode::TOO_MANY_REQUESTS);
    reply
        .headers_mut()
        .insert(header::RETRY_AFTER, RETRY_AFTER_S.into());
    reply
}

/// Flips the first byte.
fn corrupt(bytes: &Bytes) -> Bytes {
    let mut bytes = BytesMut::from(bytes.as_ref());
    if let Some(first) = bytes.first_mut() {
        *first ^= 0xff;
    }
    bytes.freeze()
}

/// Returns the part of an object that a `Range` header asks for, `None` if the header is malformed or out of range.
fn slice_range(object: &Bytes, range: &str) -> Option<Bytes> {
    let (first, last) = range.strip_prefix("bytes=")?.split_once('-')?;
    let first: usize = first.parse().ok()?;
    let last: usize = last.parse().ok()?;
    let end = object.len().min(last.checked_add(1)?);
    (first < end).then(|| object.slice(first..end))
}
