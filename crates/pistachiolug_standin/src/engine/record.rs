//! Record of every generation that an engine ran.

use pistachiolug_wire::digest::Digest;
use serde::{Deserialize, Serialize};

/// How a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// Still runs.
    Running,
    /// All tokens were sent.
    Whole,
    /// Cancelled by order, or its reader went away.
    Cancelled,
    /// Cut by a crash.
    Crashed,
}

/// One generation that got a slot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Call id.
    pub id: String,
    /// Version that ran.
    pub version: String,
    /// Digest of the request body.
    pub prompt: Digest,
    /// Priority.
    pub priority: u8,
    /// Index of the first token.
    pub from: u32,
    /// Tokens sent.
    pub sent: u32,
    /// Whether it resumed from an imported cache.
    pub cached: bool,
    /// End.
    pub end: End,
}

/// Everything an engine did.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Orders that took effect.
    pub orders: Vec<String>,
    /// Generations, in order of their start.
    pub runs: Vec<Run>,
}
