//! Requests and answers of the OpenAI-shaped API.

use pistachiolug_wire::{
    call::{self, Finish},
    outcome::Outcome,
};
use serde::Deserialize;
use serde_json::{Value, json};

/// Longest answer assumed for a request that names none, in tokens.
const DEFAULT_TOKENS: u32 = 512;

/// Bytes of a prompt that make about one token.
const BYTES_PER_TOKEN: usize = 4;

/// Fields of a request that the entry reads; the engine gets the whole body.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Request {
    /// Model's name.
    pub model: String,
    /// Whether the answer is wanted as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Longest answer in tokens.
    #[serde(alias = "max_completion_tokens")]
    pub max_tokens: Option<u32>,
}

/// API that a request came by, which decides the shape of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Api {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

impl Api {
    /// Finds the API of a path.
    pub fn from_path(path: &str) -> Option<Self> {
        match path {
            "/v1/chat/completions" => Some(Self::Chat),
            "/v1/completions" => Some(Self::Text),
            _ => None,
        }
    }

    const fn object(self, streamed: bool) -> &'static str {
        match (self, streamed) {
            (Self::Chat, true) => "chat.completion.chunk",
            (Self::Chat, false) => "chat.completion",
            (Self::Text, _) => "text_completion",
        }
    }

    fn choice(self, streamed: bool, text: &str, reason: Option<&str>) -> Value {
        match (self, streamed) {
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

/// Renders one answer.
#[derive(Debug, Clone)]
pub struct Renderer {
    /// API.
    pub api: Api,
    /// Call that is answered.
    pub id: call::Id,
    /// Model's name.
    pub model: String,
}

impl Renderer {
    /// Renders a piece of a streamed answer.
    pub fn render_chunk(&self, text: &str, version: &str) -> String {
        let event = json!({
            "id": self.id.to_string(),
            "object": self.api.object(true),
            "model": self.model,
            "version": version,
            "choices": [self.api.choice(true, text, None)],
        });
        format!("data: {event}\n\n")
    }

    /// Renders the end of a whole streamed answer.
    pub fn render_end(&self, finish: &Finish, version: &str) -> String {
        let event = json!({
            "id": self.id.to_string(),
            "object": self.api.object(true),
            "model": self.model,
            "version": version,
            "choices": [self.api.choice(true, "", Some(&finish.reason))],
            "usage": usage(finish),
            "outcome": Outcome::Answered,
        });
        format!("data: {event}\n\ndata: [DONE]\n\n")
    }

    /// Renders a whole answer.
    pub fn render_answer(&self, text: &str, finish: &Finish, version: &str) -> String {
        json!({
            "id": self.id.to_string(),
            "object": self.api.object(false),
            "model": self.model,
            "version": version,
            "choices": [self.api.choice(false, text, Some(&finish.reason))],
            "usage": usage(finish),
        })
        .to_string()
    }
}

/// Longest answer that may be asked for, in tokens.
const MOST_TOKENS: u32 = 1 << 20;

/// Parses a request's body.
///
/// # Errors
/// Returns what is wrong with it, for the caller.
pub fn parse(body: &[u8]) -> Result<Request, String> {
    let request: Request = serde_json::from_slice(body).map_err(|error| error.to_string())?;
    if request.model.is_empty() {
        return Err("`model` is empty".to_owned());
    }
    match request.max_tokens {
        Some(0) => Err("`max_tokens` must be above 0".to_owned()),
        Some(tokens) if tokens > MOST_TOKENS => {
            Err(format!("`max_tokens` must be at most {MOST_TOKENS}"))
        }
        _ => Ok(request),
    }
}

/// Estimates a request's cost in tokens: its prompt and its longest answer.
pub fn estimate_tokens(request: &Request, body_bytes: usize) -> u32 {
    let prompt = u32::try_from(body_bytes / BYTES_PER_TOKEN).unwrap_or(u32::MAX);
    prompt.saturating_add(request.max_tokens.unwrap_or(DEFAULT_TOKENS))
}

fn usage(finish: &Finish) -> Value {
    json!({
        "prompt_tokens": finish.prompt_tokens,
        "completion_tokens": finish.tokens,
        "total_tokens": finish.prompt_tokens + finish.tokens,
    })
}
