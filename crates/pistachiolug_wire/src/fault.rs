//! Reasons for which a call is refused or given up.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::outcome::Outcome;

/// Cause of a failed call, as shown to callers in the error's `code`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Code {
    /// The request is malformed.
    InvalidRequest,
    /// The key is missing, unknown or revoked.
    InvalidKey,
    /// The plan does not include the model or service.
    NotInPlan,
    /// No such model or service.
    NotFound,
    /// The customer's limit is used up.
    RateLimited,
    /// The predicted wait passes the caller's deadline.
    Overloaded,
    /// The instance is leaving.
    Leaving,
    /// No instance that serves the wanted version can be reached.
    Unavailable,
    /// The call crashed two backend servers before.
    CrashSuspect,
    /// The caller's deadline passed.
    DeadlineExceeded,
    /// A call with the same idempotency key and another content ran.
    KeyReused,
    /// The backend server failed while it ran the call.
    BackendFailed,
    /// The caller or another part of the system withdrew the call.
    Revoked,
    /// The key-value service gave no certain answer to the claim.
    ClaimUnavailable,
}

impl Code {
    /// All codes.
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

    /// Returns the code as callers and metrics see it.
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

/// Final answer of a call that is not served.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Cause.
    pub code: Code,
    /// What is certain about the call.
    pub outcome: Outcome,
    /// When a new attempt makes sense, in milliseconds; 0 where none does.
    pub retry_after_ms: u32,
    /// Text for the caller.
    pub message: String,
}

impl Fault {
    /// Creates a fault of a call that did not and will not run.
    pub fn not_run(code: Code, retry_after: Duration, message: &str) -> Self {
        Self {
            code,
            outcome: Outcome::NotRun,
            retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
            message: message.to_owned(),
        }
    }

    /// Creates a fault of a call that may have run.
    pub fn unknown(code: Code, message: &str) -> Self {
        Self {
            code,
            outcome: Outcome::Unknown,
            retry_after_ms: 0,
            message: message.to_owned(),
        }
    }
}
