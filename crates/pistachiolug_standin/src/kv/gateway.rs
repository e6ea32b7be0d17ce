//! HTTP face of the key-value stand-in.

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
use pistachiolug_platform::kv::{Entry, Event, Expect, Lease, Swap, state::State};
use serde_json::{Value, json};
use tokio::sync::{mpsc, watch};

use crate::reply;

/// Interval at which leases are checked.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(50);

/// Key-value stand-in; clones share one state.
#[derive(Debug, Clone)]
pub struct Gateway {
    state: Arc<Mutex<State>>,
    /// Revision of the last write, which wakes watches.
    written: watch::Sender<u64>,
}

impl Default for Gateway {
    fn default() -> Self {
        Self {
            state: Arc::default(),
            written: watch::Sender::new(0),
        }
    }
}

impl Gateway {
    /// Ends leases until the process stops.
    pub async fn run_leases(&self) {
        loop {
            tokio::time::sleep(EXPIRE_INTERVAL).await;
            let mut state = self.state();
            if state.expire(Instant::now()) {
                self.written.send_replace(state.revision());
            }
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn answer(&self, path: &str, body: &Value) -> Reply {
        match path {
            "/v3/kv/range" => reply::json(StatusCode::OK, &self.range(body)),
            "/v3/kv/txn" => reply::json(StatusCode::OK, &self.transaction(body)),
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

    fn transaction(&self, body: &Value) -> Value {
        let compare = &body["compare"][0];
        let key = text(&compare["key"]);
        let expect = match number(&compare["mod_revision"]) {
            0 => Expect::Absent,
            revision => Expect::Revision(revision),
        };
        let put = &body["success"][0]["request_put"];
        let value = put.is_object().then(|| bytes(&put["value"]));
        let lease = Some(number(&put["lease"]).cast_signed())
            .filter(|lease| *lease != 0)
            .map(Lease);
        let mut state = self.state();
        let swap = state.swap(&key, expect, value, lease);
        self.written.send_replace(state.revision());
        let header = json!({ "revision": state.revision().to_string() });
        match swap {
            Swap::Done { .. } => json!({ "header": header, "succeeded": true, "responses": [{}] }),
            Swap::Lost { current } => {
                let rows: Vec<Value> = current.iter().map(render_entry).collect();
                json!({ "header": header, "responses": [{ "response_range": { "kvs": rows } }] })
            }
        }
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
        tokio::spawn(async move { gateway.feed(sender, &start, &end, after).await });
        Response::new(stream)
    }

    async fn feed(&self, sender: mpsc::Sender<Bytes>, start: &str, end: &str, mut after: u64) {
        let mut written = self.written.subscribe();
        let created = json!({ "result": { "created": true } });
        if send(&sender, &created).await.is_err() {
            return;
        }
        loop {
            let events = self.state().events_after(after, start, end);
            let message = match &events {
                Ok(events) => render_events(events),
                Err(oldest) => json!({ "result": { "compact_revision": oldest.to_string() } }),
            };
            if let Some(last) = events.iter().flatten().last() {
                after = last.revision();
            }
            let quiet = events.as_ref().is_ok_and(Vec::is_empty);
            if !quiet && send(&sender, &message).await.is_err() {
                return;
            }
            tokio::select! {
                _ = written.changed() => {}
                () = sender.closed() => return,
            }
        }
    }
}

impl Handler for Gateway {
    async fn handle(&self, request: Request) -> Reply {
        let Ok(body) = serde_json::from_slice(request.body()) else {
            return reply::status(StatusCode::BAD_REQUEST);
        };
        self.answer(request.uri().path(), &body)
    }
}

async fn send(sender: &mpsc::Sender<Bytes>, message: &Value) -> Result<(), ()> {
    let line = format!("{message}\n");
    sender.send(line.into()).await.map_err(drop)
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

fn bytes(value: &Value) -> Vec<u8> {
    let text = value.as_str().unwrap_or_default();
    BASE64.decode(text).unwrap_or_default()
}

fn text(value: &Value) -> String {
    String::from_utf8(bytes(value)).unwrap_or_default()
}

fn number(value: &Value) -> u64 {
    value
        .as_u64()
        .or_else(|| value.as_str().and_then(|text| text.parse().ok()))
        .unwrap_or(0)
}
