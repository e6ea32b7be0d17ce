//! Adapter to an engine that has the API of OpenAI for calls and a JSON API for orders.
//!
//! Calls are always streamed. Everything that the product adds to a call is sent in headers, so that the caller's body
//! is passed on unchanged:
//!
//! | header | meaning |
//! |---|---|
//! | `x-request-id` | id of the call, by which it can be cancelled |
//! | `x-priority` | 0 to 255; larger values run earlier |
//! | `x-model-version` | only version that may answer; status 409 if it is not loaded |
//! | `x-resume-at` | number of tokens that the caller already has |

use std::{collections::VecDeque, time::Duration};

use ::http::{Method, Request, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use pistachiolug_http::client::{self, Client};
use pistachiolug_wire::call;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, timeout, timeout_at};

use super::{CacheEvent, Chunk, Engine, Error, GenerateRequest, Generation, Order, Role, State};

/// Timeout of an order other than [`Engine::load`].
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout of [`Engine::load`], in which an engine loads the staged weights.
const LOAD_TIMEOUT: Duration = Duration::from_secs(120);

/// Time without data after which a call or its stream counts as broken; engines send tokens or comments more often.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time without tokens after which a stream counts as broken, though its connection is alive; twice the longest wait of a
/// caller that sets no deadline.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(120);

/// Maximum size of the answer to an order in bytes; it has to hold a KV cache.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Maximum size of a line of a stream in bytes; a token's event has some hundred.
const MAX_LINE_BYTES: usize = 1 << 20;

/// Maximum size of the answer of an engine that refuses a generation, in bytes.
const MAX_REFUSAL_BYTES: usize = 64 << 10;

/// Engine reached over HTTP, with a connection of its own for each exchange: on a kept one, a late second copy of an answer
/// would be taken for the answer to the next request, because nothing in an answer names its request.
#[derive(Debug, Clone)]
pub struct Http {
    client: Client,
    base: String,
    idle_timeout: Duration,
    token_timeout: Duration,
}

#[derive(Debug, Serialize)]
struct RoleOrder {
    fence: u64,
    role: Role,
}

#[derive(Debug, Deserialize)]
struct Refusal {
    #[serde(default)]
    reason: String,
    #[serde(default)]
    fence: u64,
}

impl Http {
    /// Creates an adapter for the engine at `base`, such as `http://127.0.0.1:7001`.
    pub fn new(base: &str) -> Self {
        Self {
            client: Client::new(0),
            base: base.to_owned(),
            idle_timeout: IDLE_TIMEOUT,
            token_timeout: TOKEN_TIMEOUT,
        }
    }

    /// Sets the time without data after which a call or its stream counts as broken.
    #[must_use]
    pub fn with_idle_timeout(mut self, idle_timeout: Duration) -> Self {
        self.idle_timeout = idle_timeout;
        self
    }

    /// Sets the time without tokens after which a stream counts as broken, whatever else arrives.
    #[must_use]
    pub fn with_token_timeout(mut self, token_timeout: Duration) -> Self {
        self.token_timeout = token_timeout;
        self
    }

    /// Sends a request other than a generation and returns the body of the answer.
    async fn execute(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<Bytes, Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .header("content-type", "application/json")
            .body(body)
            .map_err(malformed)?;
        let response = self
            .client
            .fetch(request, MAX_ANSWER_BYTES, timeout)
            .await
            .map_err(client_error)?;
        check_status(response)
    }

    async fn post<T: Serialize>(
        &self,
        path: &str,
        message: &T,
        timeout: Duration,
    ) -> Result<Bytes, Error> {
        let body = serde_json::to_vec(message).map_err(malformed)?;
        self.execute(Method::POST, path, body.into(), timeout).await
    }
}

impl Engine for Http {
    type Generation = Stream;

    async fn generate(&self, call: &GenerateRequest) -> Result<Stream, Error> {
        let request = Request::post(format!("{}{}", self.base, call.path))
            .header("content-type", "application/json")
            .header("x-request-id", call.id.to_string())
            .header("x-priority", u16::from(call.priority))
            .header("x-model-version", &call.version)
            .header("x-resume-at", call.reached)
            .body(call.body.clone())
            .map_err(malformed)?;
        let response = self
            .client
            .send(request, self.idle_timeout)
            .await
            .map_err(client_error)?;
        if response.status() == StatusCode::OK {
            return Ok(Stream::new(response.into_body(), call.reached, self));
        }
        let (parts, body) = response.into_parts();
        let body = timeout(
            ORDER_TIMEOUT,
            Limited::new(body, MAX_REFUSAL_BYTES).collect(),
        )
        .await
        .map_err(broken)?
        .map_err(broken)?
        .to_bytes();
        check_status(Response::from_parts(parts, body))
            .and_then(|_| Err(malformed("status without stream")))
    }

    async fn cancel(&self, id: call::Id) -> Result<(), Error> {
        let path = format!("/v1/engine/requests/{id}");
        self.execute(Method::DELETE, &path, Bytes::new(), ORDER_TIMEOUT)
            .await
            .map(drop)
    }

    async fn state(&self) -> Result<State, Error> {
        let body = self
            .execute(Method::GET, "/v1/engine/state", Bytes::new(), ORDER_TIMEOUT)
            .await?;
        serde_json::from_slice(&body).map_err(malformed)
    }

    async fn stage(&self, order: &Order, offset: u64, bytes: Bytes) -> Result<(), Error> {
        let path = format!(
            "/v1/engine/parts/{}/{}?fence={}&offset={offset}&length={}",
            order.model, order.version, order.fence, order.length
        );
        self.execute(Method::PUT, &path, bytes, ORDER_TIMEOUT)
            .await
            .map(drop)
    }

    async fn load(&self, order: &Order) -> Result<(), Error> {
        self.post("/v1/engine/load", order, LOAD_TIMEOUT)
            .await
            .map(drop)
    }

    async fn unload(&self, order: &Order) -> Result<(), Error> {
        self.post("/v1/engine/unload", order, ORDER_TIMEOUT)
            .await
            .map(drop)
    }

    async fn set_role(&self, fence: u64, role: Role) -> Result<(), Error> {
        let order = RoleOrder { fence, role };
        self.post("/v1/engine/role", &order, ORDER_TIMEOUT)
            .await
            .map(drop)
    }

    async fn export_cache(&self, id: call::Id) -> Result<Bytes, Error> {
        let path = format!("/v1/engine/cache/{id}");
        self.execute(Method::GET, &path, Bytes::new(), ORDER_TIMEOUT)
            .await
    }

    async fn import_cache(&self, id: call::Id, cache: Bytes) -> Result<(), Error> {
        let path = format!("/v1/engine/cache/{id}");
        self.execute(Method::PUT, &path, cache, ORDER_TIMEOUT)
            .await
            .map(drop)
    }

    async fn cache_events(&self, sequence: u64, wait: Duration) -> Result<Vec<CacheEvent>, Error> {
        let path = format!(
            "/v1/engine/cache-events?after={sequence}&wait_ms={}",
            wait.as_millis()
        );
        let body = self
            .execute(Method::GET, &path, Bytes::new(), wait + ORDER_TIMEOUT)
            .await?;
        serde_json::from_slice(&body).map_err(malformed)
    }
}

/// Stream of server-sent events of one generation.
#[derive(Debug)]
pub struct Stream {
    body: Incoming,
    /// Received bytes of an incomplete line.
    buffer: BytesMut,
    /// Parts that were received and not returned yet.
    ready: VecDeque<Chunk>,
    /// Index of the next token in the whole answer.
    next_index: u32,
    /// Version in the last event that named one; empty before.
    version: String,
    /// Time without data after which the stream counts as broken.
    idle_timeout: Duration,
    /// Time without tokens after which the stream counts as broken.
    token_timeout: Duration,
    /// When a token last arrived, or the stream began.
    last_token_at: Instant,
}

#[derive(Debug, Deserialize)]
struct StreamEvent {
    #[serde(default)]
    version: String,
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    /// Text of a token in the completions API; the chat API uses `delta`.
    text: Option<String>,
    finish_reason: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

#[derive(Debug, Default, Deserialize)]
struct Usage {
    prompt_tokens: u32,
}

impl Stream {
    fn new(body: Incoming, next_index: u32, engine: &Http) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
            ready: VecDeque::new(),
            next_index,
            version: String::new(),
            idle_timeout: engine.idle_timeout,
            token_timeout: engine.token_timeout,
            last_token_at: Instant::now(),
        }
    }

    fn parse_lines(&mut self) -> Result<(), Error> {
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line = self.buffer.split_to(end + 1);
            self.parse_line(line.trim_ascii())?;
        }
        if self.buffer.len() > MAX_LINE_BYTES {
            let reason = format!("a line has more than {MAX_LINE_BYTES} bytes");
            return Err(malformed(reason));
        }
        Ok(())
    }

    fn parse_line(&mut self, line: &[u8]) -> Result<(), Error> {
        let Some(data) = line.strip_prefix(b"data:") else {
            return Ok(());
        };
        let data = data.trim_ascii();
        if data == b"[DONE]" {
            return Ok(());
        }
        let event: StreamEvent = serde_json::from_slice(data).map_err(malformed)?;
        if !event.version.is_empty() {
            self.version.clone_from(&event.version);
        }
        let prompt_tokens = event.usage.unwrap_or_default().prompt_tokens;
        for choice in event.choices {
            self.push_choice(choice, prompt_tokens);
        }
        Ok(())
    }

    fn push_choice(&mut self, choice: Choice, prompt_tokens: u32) {
        if let Some(text) = choice
            .delta
            .content
            .or(choice.text)
            .filter(|text| !text.is_empty())
        {
            self.ready.push_back(Chunk::Tokens {
                at: self.next_index,
                texts: vec![text],
                version: self.version.clone(),
            });
            self.next_index += 1;
            self.last_token_at = Instant::now();
        }
        if let Some(reason) = choice.finish_reason {
            self.ready.push_back(Chunk::Done {
                reason,
                prompt_tokens,
                tokens: self.next_index,
            });
        }
    }
}

impl Generation for Stream {
    async fn next(&mut self) -> Result<Chunk, Error> {
        loop {
            if let Some(chunk) = self.ready.pop_front() {
                return Ok(chunk);
            }
            // Comments and parts of lines are data, but a stream that brings nothing else has stalled.
            let until =
                (Instant::now() + self.idle_timeout).min(self.last_token_at + self.token_timeout);
            let frame = timeout_at(until, self.body.frame()).await.map_err(broken)?;
            let Some(frame) = frame else {
                return Err(broken("stream ended early"));
            };
            if let Ok(data) = frame.map_err(broken)?.into_data() {
                self.buffer.extend_from_slice(&data);
                self.parse_lines()?;
            }
        }
    }
}

/// Returns the body of a successful answer, or converts a refusal to an error.
fn check_status(response: Response<Bytes>) -> Result<Bytes, Error> {
    let status = response.status();
    if status.is_success() {
        return Ok(response.into_body());
    }
    let refusal = serde_json::from_slice(response.body()).unwrap_or(Refusal {
        reason: String::new(),
        fence: 0,
    });
    if status == StatusCode::PRECONDITION_FAILED {
        return Err(Error::Fenced {
            current: refusal.fence,
        });
    }
    Err(Error::Refused {
        status: status.as_u16(),
        reason: refusal.reason,
    })
}

/// Converts an error of the HTTP client.
fn client_error(error: client::Error) -> Error {
    let reason = error.to_string();
    if error.is_unsent() {
        return Error::Unreachable { reason };
    }
    Error::Broken { reason }
}

fn broken(cause: impl ToString) -> Error {
    Error::Broken {
        reason: cause.to_string(),
    }
}

fn malformed(cause: impl ToString) -> Error {
    Error::Malformed {
        reason: cause.to_string(),
    }
}
