//! Caller that sends requests and checks their answers.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use pistachiolug_http::client::{Client, Error};
use pistachiolug_standin::engine::answer;
use pistachiolug_wire::{digest::Digest, outcome};
use serde_json::{Value, json};
use tokio::time::timeout;

use super::{
    plan::{Kind, PlannedRequest},
    sample::{End, Sample},
    sse::{Event, Parser},
};

/// Longest wait for the response head, for a complete body, or for the next part of a stream.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Caller of a deployment; clones share connections.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
    /// Bearer keys by name of the customer.
    keys: BTreeMap<String, String>,
    /// Digest of the weights of each version that may answer.
    versions: BTreeMap<String, Digest>,
    /// Version to ask for when requests go to the engines directly; `None` through entries.
    direct_version: Option<String>,
}

/// Request with the part of its answer that has been read.
struct Exchange<'a> {
    caller: &'a Caller,
    body: Bytes,
    /// Planned time of the request, from which all times of the sample count.
    due: Instant,
    sample: Sample,
    /// Text of the tokens read so far.
    text: String,
    /// Time of the last token; `None` before the first one.
    last_token_at: Option<Instant>,
}

impl Caller {
    /// Creates a caller with the keys of the customers and the digests of the versions that may answer.
    pub fn new(keys: BTreeMap<String, String>, versions: BTreeMap<String, Digest>) -> Self {
        Self {
            client: Client::new(256),
            keys,
            versions,
            direct_version: None,
        }
    }

    /// Makes the caller ask for a version in the header of the engines, for runs without entries and agents.
    #[must_use]
    pub fn with_direct_version(mut self, version: &str) -> Self {
        self.direct_version = Some(version.to_owned());
        self
    }

    /// Sends a request that was due at `due` to an entry, given by index and address, and reads its answer to the end.
    pub async fn call(
        &self,
        planned: &PlannedRequest,
        entry: (usize, SocketAddr),
        due: Instant,
    ) -> Sample {
        let body = body(planned);
        let mut exchange = Exchange {
            caller: self,
            body: body.clone(),
            due,
            sample: unanswered(planned, entry.0),
            text: String::new(),
            last_token_at: None,
        };
        match self
            .client
            .send(self.request(planned, entry.1, body), IDLE_TIMEOUT)
            .await
        {
            Ok(response) => exchange.read_response(response).await,
            Err(Error::Connect { .. }) => exchange.sample.end = End::Unconnected,
            Err(_) => exchange.sample.end = End::Cut,
        }
        exchange.sample.end_us = micros(due.elapsed());
        exchange.sample
    }

    fn request(&self, planned: &PlannedRequest, entry: SocketAddr, body: Bytes) -> Request<Bytes> {
        let key = self.keys.get(&planned.customer).map_or("", String::as_str);
        let mut builder = Request::builder()
            .method(if planned.kind == Kind::Stock {
                "GET"
            } else {
                "POST"
            })
            .uri(format!("http://{entry}{}", path(planned)))
            .header(header::AUTHORIZATION, format!("Bearer {key}"))
            .header(header::CONTENT_TYPE, "application/json");
        if matches!(planned.kind, Kind::Booking | Kind::BookingTwice) {
            builder = builder.header("idempotency-key", format!("{:016x}", planned.nonce));
        }
        if let Some(version) = &self.direct_version {
            builder = builder
                .header("x-model-version", version)
                .header("x-request-id", format!("{:032x}", planned.nonce));
        }
        builder.body(body).unwrap_or_default()
    }

    /// Returns the answer that a version gives to a body, `None` for an unknown version.
    fn expected_text(&self, version: &str, body: &[u8]) -> Option<String> {
        let weights = self.versions.get(version)?;
        Some(answer::full_text(weights, body))
    }
}

impl Exchange<'_> {
    async fn read_response(&mut self, response: Response<Incoming>) {
        let (parts, body) = response.into_parts();
        self.sample.status = parts.status.as_u16();
        self.sample.call = text(&parts.headers, outcome::CALL_HEADER);
        self.sample.version = text(&parts.headers, outcome::VERSION_HEADER);
        self.sample.retry_after = parts.headers.contains_key(header::RETRY_AFTER);
        if parts.status.is_success() && self.sample.kind == Kind::Chat {
            self.read_stream(body).await;
            return;
        }
        let Ok(Ok(collected)) = timeout(IDLE_TIMEOUT, body.collect()).await else {
            self.sample.end = End::Cut;
            return;
        };
        let value = serde_json::from_slice(&collected.to_bytes()).unwrap_or_default();
        if parts.status.is_success() {
            self.sample.first_us = Some(micros(self.due.elapsed()));
            self.sample.end = self.check_body(&value);
        } else {
            self.record_error(&value);
        }
    }

    async fn read_stream(&mut self, mut body: Incoming) {
        let mut parser = Parser::default();
        loop {
            while let Some(event) = parser.next_event() {
                if self.handle_event(event) {
                    return;
                }
            }
            let frame = timeout(IDLE_TIMEOUT, body.frame()).await;
            let Ok(Some(Ok(frame))) = frame else {
                self.sample.end = End::Cut;
                return;
            };
            if let Ok(data) = frame.into_data() {
                parser.push(&data);
            }
        }
    }

    /// Handles one event of a stream and returns whether it was the last one.
    fn handle_event(&mut self, event: Event) -> bool {
        match event {
            Event::Text(text, version) => {
                self.record_text(&text, version);
                false
            }
            Event::Done => {
                self.sample.end = self.check_stream();
                true
            }
            Event::Error(value) => {
                self.record_error(&value);
                true
            }
        }
    }

    fn record_text(&mut self, text: &str, version: String) {
        let now = Instant::now();
        match self.last_token_at {
            Some(last_token_at) => self.sample.gaps_us.push(micros(now - last_token_at) as u32),
            None => self.sample.first_us = Some(micros(now - self.due)),
        }
        self.last_token_at = Some(now);
        self.text.push_str(text);
        self.sample.tokens += 1;
        if !version.is_empty() {
            self.sample.version = version;
        }
    }

    fn check_stream(&self) -> End {
        let expected = self.caller.expected_text(&self.sample.version, &self.body);
        whole_or_wrong(expected.as_deref() == Some(self.text.as_str()))
    }

    fn check_body(&self, value: &Value) -> End {
        if self.sample.kind != Kind::ChatWhole {
            let echoed = value["echo"].as_str().unwrap_or_default();
            return whole_or_wrong(echoed.as_bytes() == &self.body[..]);
        }
        let expected = self.caller.expected_text(&self.sample.version, &self.body);
        let text = value["choices"][0]["message"]["content"].as_str();
        whole_or_wrong(text.is_some() && text == expected.as_deref())
    }

    /// Records an error body of the product.
    fn record_error(&mut self, value: &Value) {
        let error = &value["error"];
        error["code"]
            .as_str()
            .unwrap_or("none")
            .clone_into(&mut self.sample.code);
        self.sample.retry_after |= error["retry_after_ms"].as_u64().unwrap_or(0) > 0;
        self.sample.end = match error["outcome"].as_str() {
            Some("not-run") => End::NotRun,
            Some("unknown") => End::Unknown,
            _ => End::Wrong,
        };
    }
}

fn whole_or_wrong(is_expected: bool) -> End {
    if is_expected { End::Whole } else { End::Wrong }
}

fn body(planned: &PlannedRequest) -> Bytes {
    let content = format!("request {:016x}", planned.nonce);
    match planned.kind {
        Kind::Chat | Kind::ChatWhole => json!({
            "model": "pasta",
            "messages": [{ "role": "user", "content": content }],
            "max_tokens": planned.tokens,
            "stream": planned.kind == Kind::Chat,
        })
        .to_string()
        .into(),
        Kind::Booking | Kind::BookingTwice => json!({ "order": content }).to_string().into(),
        Kind::Stock => Bytes::new(),
    }
}

fn path(planned: &PlannedRequest) -> &'static str {
    match planned.kind {
        Kind::Chat | Kind::ChatWhole => "/v1/chat/completions",
        Kind::Booking | Kind::BookingTwice => "/services/booking/orders",
        Kind::Stock => "/services/booking/stock",
    }
}

/// Creates the sample of a request without an answer.
fn unanswered(planned: &PlannedRequest, entry: usize) -> Sample {
    Sample {
        customer: planned.customer.clone(),
        kind: planned.kind,
        nonce: planned.nonce,
        content: Digest::of(&body(planned)),
        entry,
        at_us: micros(planned.at),
        first_us: None,
        end_us: 0,
        gaps_us: Vec::new(),
        status: 0,
        code: String::new(),
        call: String::new(),
        version: String::new(),
        tokens: 0,
        retry_after: false,
        end: End::Cut,
    }
}

fn text(headers: &HeaderMap, name: &str) -> String {
    headers
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}

fn micros(time: Duration) -> u64 {
    time.as_micros() as u64
}
