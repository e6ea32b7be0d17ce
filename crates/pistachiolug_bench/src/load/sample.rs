//! Sample: what a caller saw of one request.

use pistachiolug_wire::digest::Digest;
use serde::{Deserialize, Serialize};

use super::plan::Kind;

/// How an answer ended, as the caller saw it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The answer is complete and as expected.
    Whole,
    /// The answer claims to be complete and is not what the version that it names answers to this request.
    Wrong,
    /// The answer is an error with the outcome `not-run`.
    NotRun,
    /// The answer is an error with the outcome `unknown`.
    Unknown,
    /// The connection ended, or stayed silent for too long, before the answer was complete.
    Cut,
    /// The caller could not connect to the entry.
    Unconnected,
}

/// Result of one request. Its times count from the planned time of the request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Sample {
    /// Name of the customer.
    pub customer: String,
    /// Kind of the request.
    pub kind: Kind,
    /// Number that makes the content and the idempotency key of the request unique.
    pub nonce: u64,
    /// Digest of the body, under which the engine stand-ins record the generation.
    pub content: Digest,
    /// Index of the entry to which it was sent.
    pub entry: usize,
    /// Planned time since the start of the run, in microseconds.
    pub at_us: u64,
    /// Time to the first token, or to the complete answer if it is not streamed, in microseconds; `None` if missing.
    pub first_us: Option<u64>,
    /// Time to the end of the answer, in microseconds.
    pub end_us: u64,
    /// Times between successive tokens, in microseconds.
    pub gaps_us: Vec<u32>,
    /// HTTP status; 0 if there was no answer.
    pub status: u16,
    /// Code of an error answer; empty otherwise.
    pub code: String,
    /// Call id that the entry assigned; empty if there is none.
    pub call: String,
    /// Version that the answer names; empty if it names none.
    pub version: String,
    /// Number of tokens received.
    pub tokens: u32,
    /// Whether the answer says when to retry.
    pub retry_after: bool,
    /// How the answer ended.
    pub end: End,
}
