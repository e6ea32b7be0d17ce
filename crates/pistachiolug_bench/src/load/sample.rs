//! What became of one request.

use pistachiolug_wire::digest::Digest;
use serde::{Deserialize, Serialize};

use super::plan::Kind;

/// How an answer ended, as the caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// Whole and as expected.
    Whole,
    /// Whole by its own account, but not the answer to this request from the version it names.
    Wrong,
    /// Refused or given up with the outcome `not-run`.
    NotRun,
    /// Given up with the outcome `unknown`.
    Unknown,
    /// The connection ended before the answer did.
    Cut,
    /// No connection to the entry.
    Unconnected,
}

/// One request with its times, from the moment it was meant to be sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Customer's name.
    pub customer: String,
    /// Kind.
    pub kind: Kind,
    /// Number that makes its content unique, and names its idempotency key.
    pub nonce: u64,
    /// Digest of its body, by which the engine stand-ins record what they ran.
    pub content: Digest,
    /// Index of the entry it was sent to.
    pub entry: usize,
    /// Planned time since the run's start, in microseconds.
    pub at_us: u64,
    /// Time to the first token or whole answer, in microseconds.
    pub first_us: Option<u64>,
    /// Time to the end, in microseconds.
    pub end_us: u64,
    /// Times between tokens, in microseconds.
    pub gaps_us: Vec<u32>,
    /// HTTP status; 0 without an answer.
    pub status: u16,
    /// Code of a fault.
    pub code: String,
    /// Call id that the entry gave.
    pub call: String,
    /// Version that the answer names.
    pub version: String,
    /// Number of tokens received.
    pub tokens: u32,
    /// Whether a refusal says when to come back.
    pub retry_after: bool,
    /// End.
    pub end: End,
}
