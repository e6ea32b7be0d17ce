//! One request as a caller sends it, with the check of its answer.

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

/// Longest time a caller waits for the next byte.
const PATIENCE: Duration = Duration::from_secs(60);

/// Sends requests; clones share connections and the known versions.
#[derive(Debug, Clone)]
pub struct Caller {
    client: Client,
    /// Bearer key by customer.
    keys: BTreeMap<String, String>,
    /// Digest of the whole weights by version.
    versions: BTreeMap<String, Digest>,
    /// Version asked for when requests go straight to the engines.
    direct: Option<String>,
}

/// Answer in the making.
struct Exchange<'a> {
    caller: &'a Caller,
    body: Bytes,
    due: Instant,
    sample: Sample,
    text: String,
    /// Time of the last token.
    last: Option<Instant>,
}

impl Caller {
    /// Creates a caller that knows the customers' keys and the versions that may answer.
    pub fn new(keys: BTreeMap<String, String>, versions: BTreeMap<String, Digest>) -> Self {
        Self {
            client: Client::new(256),
            keys,
            versions,
            direct: None,
        }
    }

    /// Asks for a version in the engines' own header, for a baseline without the system.
    #[must_use]
    pub fn with_direct_version(mut self, version: &str) -> Self {
        self.direct = Some(version.to_owned());
        self
    }

    /// Sends one request that was due at `due` and reads its answer to the end.
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
            sample: blank(planned, entry.0),
            text: String::new(),
            last: None,
        };
        match self
            .client
            .send(self.request(planned, entry.1, body), PATIENCE)
            .await
        {
            Ok(response) => exchange.read(response).await,
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
        if let Some(version) = &self.direct {
            builder = builder
                .header("x-model-version", version)
                .header("x-request-id", format!("{:032x}", planned.nonce));
        }
        builder.body(body).unwrap_or_default()
    }

    fn expected(&self, version: &str, body: &[u8]) -> Option<String> {
        let weights = self.versions.get(version)?;
        Some(answer::full_text(weights, body))
    }
}

impl Exchange<'_> {
    async fn read(&mut self, response: Response<Incoming>) {
        let (parts, body) = response.into_parts();
        self.sample.status = parts.status.as_u16();
        self.sample.call = text(&parts.headers, outcome::CALL_HEADER);
        self.sample.version = text(&parts.headers, outcome::VERSION_HEADER);
        self.sample.retry_after = parts.headers.contains_key(header::RETRY_AFTER);
        if parts.status.is_success() && self.sample.kind == Kind::Chat {
            self.read_stream(body).await;
            return;
        }
        let Ok(Ok(whole)) = timeout(PATIENCE, body.collect()).await else {
            self.sample.end = End::Cut;
            return;
        };
        let value = serde_json::from_slice(&whole.to_bytes()).unwrap_or_default();
        if parts.status.is_success() {
            self.sample.first_us = Some(micros(self.due.elapsed()));
            self.sample.end = self.judge_whole(&value);
        } else {
            self.refuse(&value);
        }
    }

    async fn read_stream(&mut self, mut body: Incoming) {
        let mut parser = Parser::default();
        loop {
            while let Some(event) = parser.next_event() {
                if self.take(event) {
                    return;
                }
            }
            let frame = timeout(PATIENCE, body.frame()).await;
            let Ok(Some(Ok(frame))) = frame else {
                self.sample.end = End::Cut;
                return;
            };
            if let Ok(data) = frame.into_data() {
                parser.push(&data);
            }
        }
    }

    /// Takes one event and tells whether it was the last.
    fn take(&mut self, event: Event) -> bool {
        match event {
            Event::Text(text, version) => {
                self.take_text(&text, version);
                false
            }
            Event::Done => {
                self.sample.end = self.judge_stream();
                true
            }
            Event::Error(value) => {
                self.refuse(&value);
                true
            }
        }
    }

    fn take_text(&mut self, text: &str, version: String) {
        let now = Instant::now();
        match self.last {
            Some(last) => self.sample.gaps_us.push(micros(now - last) as u32),
            None => self.sample.first_us = Some(micros(now - self.due)),
        }
        self.last = Some(now);
        self.text.push_str(text);
        self.sample.tokens += 1;
        if !version.is_empty() {
            self.sample.version = version;
        }
    }

    fn judge_stream(&self) -> End {
        let expected = self.caller.expected(&self.sample.version, &self.body);
        judge(expected.as_deref() == Some(self.text.as_str()))
    }

    fn judge_whole(&self, value: &Value) -> End {
        if self.sample.kind != Kind::ChatWhole {
            let echoed = value["echo"].as_str().unwrap_or_default();
            return judge(echoed.as_bytes() == &self.body[..]);
        }
        let expected = self.caller.expected(&self.sample.version, &self.body);
        let text = value["choices"][0]["message"]["content"].as_str();
        judge(text.is_some() && text == expected.as_deref())
    }

    fn refuse(&mut self, value: &Value) {
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

fn judge(expected: bool) -> End {
    if expected { End::Whole } else { End::Wrong }
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

fn blank(planned: &PlannedRequest, entry: usize) -> Sample {
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
