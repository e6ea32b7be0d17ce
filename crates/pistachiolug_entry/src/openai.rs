//! Requests and answers of the API that is compatible with OpenAI's.

use pistachiolug_wire::{
    call::{self, Finish},
    outcome::Outcome,
};
use serde::Deserialize;
use serde_json::{Value, json};

/// Answer length in tokens that the cost estimate assumes for a request without `max_tokens`.
const DEFAULT_ANSWER_TOKENS: u32 = 512;

/// Approximate number of bytes per token of a prompt.
const BYTES_PER_TOKEN: usize = 4;

/// Fields of a request that the entry reads. The engine gets the whole body.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Request {
    /// Name of the requested model.
    pub model: String,
    /// Whether the caller wants the answer as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Largest number of tokens of the answer; `None` if the caller sets no limit.
    #[serde(alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
}

/// API that a request uses, which decides the format of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Api {
    /// Chat API at `/v1/chat/completions`.
    Chat,
    /// Text API at `/v1/completions`.
    Text,
}

impl Api {
    /// Returns the API of a request path; `None` for other paths.
    pub fn from_path(path: &str) -> Option<Self> {
        match path {
            "/v1/chat/completions" => Some(Self::Chat),
            "/v1/completions" => Some(Self::Text),
            _ => None,
        }
    }

    const fn object_name(self, is_streamed: bool) -> &'static str {
        match (self, is_streamed) {
            (Self::Chat, true) => "chat.completion.chunk",
            (Self::Chat, false) => "chat.completion",
            (Self::Text, _) => "text_completion",
        }
    }

    fn render_choice(self, is_streamed: bool, text: &str, reason: Option<&str>) -> Value {
        match (self, is_streamed) {
            (Self::Chat, true) => json!({
                "index": 0, "delta": { "content": text }, "finish_reason": reason,
            }),
            (Self::Chat, false) => json!({
                "index": 0,
                "message": { "role": "assistant", "content": text },
                "finish_reason": reason,
            }),
            (Self::Text, _) => json!({ "index": 0, "text": text, "finish_reason": reason }),
        }
    }
}

/// Renderer of the answer to one call.
#[derive(Debug, Clone)]
pub struct Renderer {
    /// API that the request uses.
    pub api: Api,
    /// Id of the answered call.
    pub id: call::Id,
    /// Name of the requested model.
    pub model: String,
}

impl Renderer {
    /// Renders one event with text of a streamed answer.
    pub fn render_chunk(&self, text: &str, version: &str) -> String {
        let event = json!({
            "id": self.id.to_string(),
            "object": self.api.object_name(true),
            "model": self.model,
            "version": version,
            "choices": [self.api.render_choice(true, text, None)],
        });
        format!("data: {event}\n\n")
    }

    /// Renders the last events of a streamed answer that is complete.
    pub fn render_end(&self, finish: &Finish, version: &str) -> String {
        let event = json!({
            "id": self.id.to_string(),
            "object": self.api.object_name(true),
            "model": self.model,
            "version": version,
            "choices": [self.api.render_choice(true, "", Some(&finish.reason))],
            "usage": render_usage(finish),
            "outcome": Outcome::Answered,
        });
        format!("data: {event}\n\ndata: [DONE]\n\n")
    }

    /// Renders the body of an answer that is not streamed.
    pub fn render_answer(&self, text: &str, finish: &Finish, version: &str) -> String {
        json!({
            "id": self.id.to_string(),
            "object": self.api.object_name(false),
            "model": self.model,
            "version": version,
            "choices": [self.api.render_choice(false, text, Some(&finish.reason))],
            "usage": render_usage(finish),
        })
        .to_string()
    }
}

/// Largest accepted `max_tokens`.
const MAX_ANSWER_TOKENS: u32 = 1 << 20;

/// Parses the body of a request.
///
/// # Errors
/// Returns a message for the caller that says what is wrong with the body.
pub fn parse(body: &[u8]) -> Result<Request, String> {
    let request: Request = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    if request.model.is_empty() {
        return Err("`model` is empty".to_owned());
    }
    match request.max_tokens {
        Some(0) => Err("`max_tokens` must be above 0".to_owned()),
        Some(tokens) if tokens > MAX_ANSWER_TOKENS => {
            Err(format!("`max_tokens` must be at most {MAX_ANSWER_TOKENS}"))
        }
        _ => Ok(request),
    }
}

/// Estimates the cost of a request in tokens: prompt plus longest answer.
pub fn estimate_tokens(request: &Request, body_bytes: usize) -> u32 {
    let prompt = u32::try_from(body_bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
    prompt.saturating_add(request.max_tokens.unwrap_or(DEFAULT_ANSWER_TOKENS))
}

fn render_usage(finish: &Finish) -> Value {
    json!({
        "prompt_tokens": finish.prompt_tokens,
        "completion_tokens": finish.tokens,
        "total_tokens": finish.prompt_tokens + finish.tokens,
    })
}
