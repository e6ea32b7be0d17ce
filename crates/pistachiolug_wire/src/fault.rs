//! Faults: why a call has no answer.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::outcome::Outcome;

/// Cause of a fault, which callers get as `code` of the error.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    InvalidRequest,
    /// The API key is missing, unknown or revoked.
    InvalidKey,
    /// The plan does not include the model or service.
    NotInPlan,
    /// The model, service or path does not exist.
    NotFound,
    /// The customer has used up its rate limit.
    RateLimited,
    /// The predicted wait ends after the deadline, or too many requests are open.
    Overloaded,
    /// The instance is leaving.
    Leaving,
    /// No instance that serves the requested version can be reached.
    Unavailable,
    /// The content of the call crashed its backend server; after two crashes it is refused.
    CrashSuspect,
    /// The deadline of the caller passed.
    DeadlineExceeded,
    /// The idempotency key was used before with another content.
    KeyReused,
    /// The backend server failed while it ran the call.
    BackendFailed,
    /// The caller or another part of the system revoked the call.
    Revoked,
    /// It is unknown whether the key-value service stored the claim of the idempotency key.
    ClaimUnavailable,
}

impl Code {
    /// All codes in the order of their declaration.
    pub const ALL: [Self; 14] = [
        Self::InvalidRequest,
        Self::InvalidKey,
        Self::NotInPlan,
        Self::NotFound,
        Self::RateLimited,
        Self::Overloaded,
        Self::Leaving,
        Self::Unavailable,
        Self::CrashSuspect,
        Self::DeadlineExceeded,
        Self::KeyReused,
        Self::BackendFailed,
        Self::Revoked,
        Self::ClaimUnavailable,
    ];

    /// Returns the text for error bodies and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::InvalidRequest => "invalid_request",
            Self::InvalidKey => "invalid_key",
            Self::NotInPlan => "not_in_plan",
            Self::NotFound => "not_found",
            Self::RateLimited => "rate_limited",
            Self::Overloaded => "overloaded",
            Self::Leaving => "leaving",
            Self::Unavailable => "unavailable",
            Self::CrashSuspect => "crash_suspect",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::KeyReused => "key_reused",
            Self::BackendFailed => "backend_failed",
            Self::Revoked => "revoked",
            Self::ClaimUnavailable => "claim_unavailable",
        }
    }
}

/// Answer to a call that failed or was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Cause of the fault.
    pub code: Code,
    /// Whether the call ran.
    pub outcome: Outcome,
    /// Time after which a retry makes sense, in milliseconds; 0 if a retry makes no sense.
    pub retry_after_ms: u32,
    /// Message for the caller.
    pub message: String,
}

impl Fault {
    /// Creates the fault of a call that did not run and never will.
    pub fn not_run(code: Code, retry_after: Duration, message: &str) -> Self {
        Self {
            code,
            outcome: Outcome::NotRun,
            retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
            message: message.to_owned(),
        }
    }

    /// Creates the fault of a call that may have run.
    pub fn unknown(code: Code, message: &str) -> Self {
        Self {
            code,
            outcome: Outcome::Unknown,
            retry_after_ms: 0,
            message: message.to_owned(),
        }
    }
}
