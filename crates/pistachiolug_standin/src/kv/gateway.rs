//! HTTP server of the key-value stand-in, with its control requests below `/control/`.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use bytes::Bytes;
use http::{Response, StatusCode};
use pistachiolug_http::{
    body::Body,
    server::{Handler, Reply, Request},
};
use pistachiolug_platform::kv::{Entry, Event, Lease, Precondition, Swap, state::State};
use serde_json::{Value, json};
use tokio::sync::{mpsc, watch};

use super::fault::{CallKind, Delivery, Faults, Limits, Record};
use crate::reply;

/// Largest value in bytes.
const MAX_VALUE_BYTES: usize = 1 << 20;

/// Interval of checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// Stand-in of the key-value service; clones share one state.
#[derive(Debug, Clone)]
pub struct Gateway {
    state: Arc<Mutex<State>>,
    control: Arc<Mutex<Control>>,
    /// Revision of the last write. Sending it wakes the watches, as control requests do too.
    written: watch::Sender<u64>,
}

#[derive(Debug)]
struct Control {
    faults: Faults,
    limits: Limits,
    record: Record,
}

impl Default for Gateway {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            control: Arc::new(Mutex::new(Control {
                faults: Faults::default(),
                limits: Limits::new(Instant::now()),
                record: Record::default(),
            })),
            written: watch::Sender::new(0),
        }
    }
}

impl Gateway {
    /// Ends expired leases, with their keys, until the process stops.
    pub async fn run_lease_expiry(&self) {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            let mut state = self.state();
            if state.expire(Instant::now()) {
                self.written.send_replace(state.revision());
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn control(&self) -> MutexGuard<'_, Control> {
        self.control.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a control request and wakes the watches, which read the faults again.
    fn apply_control(&self, name: &str, query: Option<&str>) -> Reply {
        match name {
            "record" => return reply::json(StatusCode::OK, &self.control().record),
            "compact" => self.state().compact(),
            "lapse" => {
                self.state().end_leases();
                self.state().expire(Instant::now());
            }
            "limit" => self.control().limits.apply(query, Instant::now()),
            _ if self.control().faults.apply(name, query) => {}
            _ => return reply::status(StatusCode::NOT_FOUND),
        }
        let revision = self.state().revision();
        self.written.send_replace(revision);
        reply::status(StatusCode::NO_CONTENT)
    }

    /// Counts a call and returns the faults in force, or the status of a refusal.
    fn admit(&self, path: &str, bytes: usize) -> Result<Faults, StatusCode> {
        let mut control = self.control();
        control.record.received_bytes += bytes as u64;
        if control.faults.down {
            control.record.refused += 1;
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        let kind = match path {
            "/v3/kv/txn" | "/v3/lease/grant" | "/v3/lease/keepalive" => CallKind::Write,
            _ => CallKind::Read,
        };
        if !control.limits.try_acquire(kind, Instant::now()) {
            control.record.limited += 1;
            return Err(StatusCode::TOO_MANY_REQUESTS);
        }
        let record = &mut control.record;
        match path {
            "/v3/kv/txn" => record.writes += 1,
            "/v3/watch" => record.watches += 1,
            "/v3/kv/range" => record.reads += 1,
            _ => record.leases += 1,
        }
        Ok(control.faults)
    }

    async fn serve(&self, path: &str, body: &[u8]) -> Reply {
        let Ok(value) = serde_json::from_slice(body) else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        let faults = match self.admit(path, body.len()) {
            Ok(faults) => faults,
            Err(status) => return reply::status(status),
        };
        let reply = self.answer(path, &value);
        let lost = path == "/v3/kv/txn" && self.control().faults.take_lost_answer();
        tokio::time::sleep(faults.slow).await;
        if lost {
            // The write took effect, and the caller sees what a proxy sends that gave up waiting for the answer.
            return reply::status(StatusCode::GATEWAY_TIMEOUT);
        }
        if let Body::Full(bytes) = reply.body() {
            self.control().record.sent_bytes += bytes.len() as u64;
        }
        reply
    }

    fn answer(&self, path: &str, body: &Value) -> Reply {
        match path {
            "/v3/kv/range" => reply::json(StatusCode::OK, &self.range(body)),
            "/v3/kv/txn" => self.transaction(body),
            "/v3/kv/compaction" => {
                self.state().compact();
                reply::json(StatusCode::OK, &json!({}))
            }
            "/v3/lease/grant" => reply::json(StatusCode::OK, &self.grant(body)),
            "/v3/lease/keepalive" => reply::json(StatusCode::OK, &self.keep_alive(body)),
            "/v3/watch" => self.watch(body),
            _ => reply::status(StatusCode::NOT_FOUND),
        }
    }

    fn range(&self, body: &Value) -> Value {
        let state = self.state();
        let start = text(&body["key"]);
        let entries = if body["range_end"].is_string() {
            state.range(&start, &text(&body["range_end"])).entries
        } else {
            state.get(&start).into_iter().collect()
        };
        let rows: Vec<Value> = entries.iter().map(render_entry).collect();
        json!({
            "header": { "revision": state.revision().to_string() },
            "kvs": rows,
            "count": rows.len().to_string(),
        })
    }

    fn transaction(&self, body: &Value) -> Reply {
        let compare = &body["compare"][0];
        let key = text(&compare["key"]);
        let expect = match number(&compare["mod_revision"]) {
            0 => Precondition::Absent,
            revision => Precondition::Revision(revision),
        };
        let put = &body["success"][0]["request_put"];
        let value = put.is_object().then(|| bytes(&put["value"]));
        let lease = Some(number(&put["lease"]).cast_signed())
            .filter(|lease| *lease != 0)
            .map(Lease);
        if value
            .as_ref()
            .is_some_and(|value| value.len() > MAX_VALUE_BYTES)
        {
            return reply::status(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let mut state = self.state();
        if lease.is_some_and(|lease| !state.has_lease(lease)) {
            return reply::status(StatusCode::NOT_FOUND);
        }
        let swap = state.swap(&key, expect, value, lease);
        self.written.send_replace(state.revision());
        let header = json!({ "revision": state.revision().to_string() });
        let answer = match swap {
            Swap::Done { .. } => json!({ "header": header, "succeeded": true, "responses": [{}] }),
            Swap::Lost { current } => {
                let rows: Vec<Value> = current.iter().map(render_entry).collect();
                json!({ "header": header, "responses": [{ "response_range": { "kvs": rows } }] })
            }
        };
        reply::json(StatusCode::OK, &answer)
    }

    fn grant(&self, body: &Value) -> Value {
        let ttl = Duration::from_secs(number(&body["TTL"]).max(1));
        let lease = self.state().grant(ttl, Instant::now());
        json!({ "ID": lease.0.to_string(), "TTL": ttl.as_secs().to_string() })
    }

    fn keep_alive(&self, body: &Value) -> Value {
        let lease = Lease(number(&body["ID"]).cast_signed());
        let ttl = self.state().keep_alive(lease, Instant::now());
        let seconds = ttl.map_or(0, |ttl| ttl.as_secs());
        json!({ "result": { "ID": lease.0.to_string(), "TTL": seconds.to_string() } })
    }

    fn watch(&self, body: &Value) -> Reply {
        let request = &body["create_request"];
        let start = text(&request["key"]);
        let end = text(&request["range_end"]);
        let after = number(&request["start_revision"]).saturating_sub(1);
        let (sender, stream) = Body::channel();
        let gateway = self.clone();
        tokio::spawn(async move { gateway.serve_watch(sender, &start, &end, after).await });
        Response::new(stream)
    }

    /// Sends the events of a watch until its reader closes the connection.
    async fn serve_watch(
        &self,
        sender: mpsc::Sender<Bytes>,
        start: &str,
        end: &str,
        mut after: u64,
    ) {
        let mut written = self.written.subscribe();
        let faults_at_open = self.control().faults;
        let header = json!({ "revision": self.state().revision().to_string() });
        let created = json!({ "result": { "header": header, "created": true } });
        if !faults_at_open.mutes_new_watches && self.send(&sender, &created).await.is_err() {
            return;
        }
        loop {
            let faults = self.control().faults;
            let is_silent = faults_at_open.mutes_new_watches
                || faults.down
                || faults.silence_requests > faults_at_open.silence_requests;
            if !is_silent
                && self
                    .send_events(&sender, start, end, &mut after, faults)
                    .await
                    .is_err()
            {
                return;
            }
            tokio::select! {
                _ = written.changed() => {}
                () = sender.closed() => return,
            }
        }
    }

    /// Sends the events after a revision, or the oldest revision that is still known if those were compacted.
    async fn send_events(
        &self,
        sender: &mpsc::Sender<Bytes>,
        start: &str,
        end: &str,
        after: &mut u64,
        faults: Faults,
    ) -> Result<(), ()> {
        let events = self.state().events_after(*after, start, end);
        let mut events = match events {
            Ok(events) => events,
            Err(oldest) => {
                let compacted = json!({ "compact_revision": oldest.to_string() });
                return self.send(sender, &json!({ "result": compacted })).await;
            }
        };
        let Some(last) = events.last() else {
            return Ok(());
        };
        *after = last.revision();
        if faults.delivery == Delivery::Reversed {
            events.reverse();
        }
        let message = render_events(&events);
        if faults.delivery == Delivery::Duplicated {
            self.send(sender, &message).await?;
        }
        self.send(sender, &message).await
    }

    /// Sends one message as a line of JSON. Fails if the reader closed the connection.
    async fn send(&self, sender: &mpsc::Sender<Bytes>, message: &Value) -> Result<(), ()> {
        let line = format!("{message}\n");
        self.control().record.sent_bytes += line.len() as u64;
        sender.send(line.into()).await.map_err(drop)
    }
}

impl Handler for Gateway {
    async fn handle(&self, request: Request) -> Reply {
        let path = request.uri().path();
        if let Some(name) = path.strip_prefix("/control/") {
            return self.apply_control(name, request.uri().query());
        }
        self.serve(path, request.body()).await
    }
}

fn render_events(events: &[Event]) -> Value {
    let rows: Vec<Value> = events.iter().map(render_event).collect();
    json!({ "result": { "events": rows } })
}

fn render_event(event: &Event) -> Value {
    match event {
        Event::Put(entry) => json!({ "kv": render_entry(entry) }),
        Event::Delete { key, revision } => json!({
            "type": "DELETE",
            "kv": { "key": BASE64.encode(key), "mod_revision": revision.to_string() },
        }),
    }
}

fn render_entry(entry: &Entry) -> Value {
    json!({
        "key": BASE64.encode(&entry.key),
        "value": BASE64.encode(&entry.value),
        "mod_revision": entry.revision.to_string(),
    })
}

/// Decodes base64; empty if the value is no base64 text.
fn bytes(value: &Value) -> Vec<u8> {
    let text = value.as_str().unwrap_or_default();
    BASE64.decode(text).unwrap_or_default()
}

/// Decodes base64 of UTF-8 text; empty if the value is anything else.
fn text(value: &Value) -> String {
    String::from_utf8(bytes(value)).unwrap_or_default()
}

/// Reads a number, which etcd's gateway writes as a JSON string; 0 if it is missing.
fn number(value: &Value) -> u64 {
    value
        .as_u64()
        .or_else(|| value.as_str().and_then(|text| text.parse().ok()))
        .unwrap_or(0)
}
