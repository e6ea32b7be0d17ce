//! Record of the generations that an engine ran and of the orders that it carried out.

use pistachiolug_wire::digest::Digest;
use serde::{Deserialize, Serialize};

/// How a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// It still runs.
    Running,
    /// All tokens were sent.
    Whole,
    /// It was cancelled by a request, or its reader closed the connection.
    Cancelled,
    /// Its stream was aborted, by a crash of the engine or on request.
    Crashed,
}

/// One generation that got a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Id of the call, from the `x-request-id` header.
    pub id: String,
    /// Version of the model that ran.
    pub version: String,
    /// Digest of the request body.
    pub prompt: Digest,
    /// Priority of the call; calls of a higher one get slots first.
    pub priority: u8,
    /// Index of the first token that is sent; above 0 for a resumed answer.
    pub from: u32,
    /// Number of tokens sent.
    pub sent: u32,
    /// Whether an imported cache replaced the time to the first token.
    pub cached: bool,
    /// How it ended.
    pub end: End,
}

/// Everything that an engine did since the start of its process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Orders that took effect, as text, in order of time.
    pub orders: Vec<String>,
    /// Generations that got a slot, in order of their start.
    pub runs: Vec<Run>,
}
