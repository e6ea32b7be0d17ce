//! Adapter to a service with the JSON gateway of etcd v3 (`/v3/kv/...`, `/v3/lease/...`, `/v3/watch`).

use std::time::Duration;

use base64::{Engine as _, engine::general_purpose::STANDARD as BASE64};
use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode};
use http_body_util::BodyExt;
use pistachiolug_http::{client::Client, traffic};
use serde_json::{Value, json};
use tokio::time::{Instant, timeout_at};

use super::{
    Effect, Entry, Error, Event, Lease, Position, Precondition, Range, Store, Swap, prefix_end,
};

/// Timeout of a call other than a watch, and of the confirmation of a watch.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Time until the next try after the service refused a call because of its rate (status 429).
const THROTTLE_WAIT: Duration = Duration::from_millis(500);

/// Client of the JSON gateway.
#[derive(Debug, Clone)]
pub struct Etcd {
    client: Client,
    base: String,
}

impl Etcd {
    /// Creates a client of the service at `base`, such as `http://127.0.0.1:2379`.
    pub fn new(client: Client, base: &str) -> Self {
        Self {
            client,
            base: base.to_owned(),
        }
    }

    fn request(&self, path: &str, body: &Value) -> Result<Request<Bytes>, Error> {
        Request::post(format!("{}{path}", self.base))
            .header("content-type", "application/json")
            .body(body.to_string().into())
            .map_err(Error::malformed)
    }

    async fn post(&self, path: &str, body: &Value, effect: Effect) -> Result<Value, Error> {
        let request = self.request(path, body)?;
        let response = self
            .client
            .fetch(request, MAX_ANSWER_BYTES, CALL_TIMEOUT)
            .await
            .map_err(|error| Error::without_response(&error, effect))?;
        parse_response(&response, effect)
    }
}

impl Store for Etcd {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let body = json!({ "key": encode(key) });
        let answer = self.post("/v3/kv/range", &body, Effect::Read).await?;
        Ok(parse_entries(&answer)?.into_iter().next())
    }

    async fn range(&self, prefix: &str) -> Result<Range, Error> {
        let body = json!({ "key": encode(prefix), "range_end": encode(&prefix_end(prefix)) });
        let answer = self.post("/v3/kv/range", &body, Effect::Read).await?;
        Ok(Range {
            entries: parse_entries(&answer)?,
            position: Position::without_era(parse_number(&answer["header"]["revision"])),
        })
    }

    async fn swap(
        &self,
        key: &str,
        precondition: Precondition,
        value: Option<&[u8]>,
        lease: Option<Lease>,
    ) -> Result<Swap, Error> {
        let body = transaction(key, precondition, value, lease);
        let answer = self.post("/v3/kv/txn", &body, Effect::Write).await?;
        if answer["succeeded"].as_bool() == Some(true) {
            return Ok(Swap::Done {
                revision: parse_number(&answer["header"]["revision"]),
            });
        }
        let current = &answer["responses"][0]["response_range"];
        Ok(Swap::Lost {
            current: parse_entries(current)?.into_iter().next(),
        })
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Position,
        wait: Duration,
    ) -> Result<Vec<Event>, Error> {
        let deadline = Instant::now() + wait;
        let created_deadline = Instant::now() + CALL_TIMEOUT;
        let body = json!({ "create_request": {
            "key": encode(prefix),
            "range_end": encode(&prefix_end(prefix)),
            "start_revision": (after.revision + 1).to_string(),
        }});
        let response = self
            .client
            .send(self.request("/v3/watch", &body)?, CALL_TIMEOUT)
            .await
            .map_err(|error| Error::without_response(&error, Effect::Read))?;
        if response.status() != StatusCode::OK {
            return Err(status_error(response.status(), Effect::Read));
        }
        let mut body = response.into_body();
        let mut buffer = BytesMut::new();
        let mut created = false;
        loop {
            let until = if created { deadline } else { created_deadline };
            let frame = match timeout_at(until, body.frame()).await {
                Ok(Some(frame)) => frame.map_err(Error::unavailable)?,
                Ok(None) => return Err(Error::unavailable("watch ended")),
                Err(_) if created => return Ok(Vec::new()),
                Err(_) => return Err(Error::unavailable("watch was not confirmed in time")),
            };
            if let Ok(data) = frame.into_data() {
                traffic::count_received(data.len());
                buffer.extend_from_slice(&data);
            }
            let messages = take_messages(&mut buffer)?;
            created |= messages.created;
            if !messages.events.is_empty() {
                return Ok(messages.events);
            }
        }
    }

    async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        let body = json!({ "TTL": ttl.as_secs().max(1).to_string() });
        let answer = self.post("/v3/lease/grant", &body, Effect::Write).await?;
        Ok(Lease(parse_number(&answer["ID"]).cast_signed()))
    }

    async fn keep_alive(&self, lease: Lease) -> Result<(), Error> {
        let body = json!({ "ID": lease.0.to_string() });
        let answer = self
            .post("/v3/lease/keepalive", &body, Effect::Write)
            .await?;
        if parse_number(&answer["result"]["TTL"]) == 0 {
            return Err(Error::LeaseEnded);
        }
        Ok(())
    }
}

fn transaction(
    key: &str,
    precondition: Precondition,
    value: Option<&[u8]>,
    lease: Option<Lease>,
) -> Value {
    let key = encode(key);
    let revision = match precondition {
        Precondition::Absent => 0,
        Precondition::Revision(revision) => revision,
    };
    let success = match value {
        Some(value) => json!({ "request_put": {
            "key": key,
            "value": BASE64.encode(value),
            "lease": lease.map_or(0, |lease| lease.0).to_string(),
        }}),
        None => json!({ "request_delete_range": { "key": key } }),
    };
    json!({
        "compare": [{ "key": key, "target": "MOD", "result": "EQUAL", "mod_revision": revision.to_string() }],
        "success": [success],
        "failure": [{ "request_range": { "key": key } }],
    })
}

/// Content of the messages of a watch.
#[derive(Debug, Default)]
struct WatchMessages {
    /// Whether the service has confirmed the watch. Before, the absence of events does not mean that nothing changed.
    created: bool,
    events: Vec<Event>,
}

/// Removes the complete messages from the buffer, one per line, and parses them.
fn take_messages(buffer: &mut BytesMut) -> Result<WatchMessages, Error> {
    let mut messages = WatchMessages::default();
    while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
        let line = buffer.split_to(end + 1);
        let message: Value = serde_json::from_slice(&line).map_err(Error::malformed)?;
        let result = &message["result"];
        let oldest = parse_number(&result["compact_revision"]);
        if oldest > 0 {
            return Err(Error::Compacted { oldest });
        }
        messages.created |= result["created"].as_bool() == Some(true);
        for event in result["events"].as_array().into_iter().flatten() {
            messages.events.push(parse_event(event)?);
        }
    }
    Ok(messages)
}

fn parse_event(event: &Value) -> Result<Event, Error> {
    let entry = parse_entry(&event["kv"])?;
    if event["type"].as_str() == Some("DELETE") {
        return Ok(Event::Delete {
            key: entry.key,
            revision: entry.revision,
        });
    }
    Ok(Event::Put(entry))
}

fn parse_entries(answer: &Value) -> Result<Vec<Entry>, Error> {
    let rows = answer["kvs"].as_array();
    rows.into_iter().flatten().map(parse_entry).collect()
}

fn parse_entry(row: &Value) -> Result<Entry, Error> {
    let key = decode(&row["key"])?;
    Ok(Entry {
        key: String::from_utf8(key).map_err(Error::malformed)?,
        value: decode(&row["value"])?.into(),
        revision: parse_number(&row["mod_revision"]),
    })
}

fn encode(text: &str) -> String {
    BASE64.encode(text)
}

fn decode(value: &Value) -> Result<Vec<u8>, Error> {
    let text = value.as_str().unwrap_or_default();
    BASE64.decode(text).map_err(Error::malformed)
}

/// Parses a number, which the gateway writes as a string, or leaves out if it is 0.
fn parse_number(value: &Value) -> u64 {
    value
        .as_u64()
        .or_else(|| value.as_str().and_then(|text| text.parse().ok()))
        .unwrap_or(0)
}

fn parse_response(response: &Response<Bytes>, effect: Effect) -> Result<Value, Error> {
    if response.status() != StatusCode::OK {
        return Err(status_error(response.status(), effect));
    }
    serde_json::from_slice(response.body()).map_err(Error::malformed)
}

/// Returns the error for a status other than 200.
fn status_error(status: StatusCode, effect: Effect) -> Error {
    let reason = format!("status {status}");
    match (status, effect) {
        (StatusCode::TOO_MANY_REQUESTS, _) => Error::Throttled {
            after: THROTTLE_WAIT,
        },
        (StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE, _) => Error::Malformed { reason },
        (StatusCode::NOT_FOUND, Effect::Write) => Error::LeaseEnded,
        (StatusCode::SERVICE_UNAVAILABLE, _) | (_, Effect::Read) => Error::Unavailable { reason },
        (_, Effect::Write) => Error::Unknown { reason },
    }
}
