//! Counters of an entry; no label depends on a caller.

use pistachiolug_wire::{
    fault::{Code, Fault},
    outcome::Outcome,
};
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Reason for which a call went on at another agent or connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Move {
    /// The agent could not be reached.
    Unsent,
    /// The agent refused without running the call.
    Refused,
    /// A lost call was withdrawn before it started.
    Withdrawn,
    /// A lost call was joined where it runs.
    Joined,
    /// An idempotent call was opened again after its instance or backend server was lost.
    Resumed,
}

impl Move {
    const fn as_str(self) -> &'static str {
        match self {
            Self::Unsent => "unsent",
            Self::Refused => "refused",
            Self::Withdrawn => "withdrawn",
            Self::Joined => "joined",
            Self::Resumed => "resumed",
        }
    }
}

/// Counters; clones share them.
#[derive(Debug, Clone)]
pub struct Metrics {
    calls: IntCounterVec,
    moves: IntCounterVec,
    budget_refusals: IntCounter,
    /// Calls that are open now.
    pub open: IntGauge,
    /// Tokens sent to callers.
    pub tokens: IntCounter,
}

impl Metrics {
    /// Creates the counters and registers them.
    ///
    /// # Errors
    /// Returns the error of a name that is taken.
    pub fn new(registry: &Registry) -> prometheus::Result<Self> {
        let calls = Opts::new("pistachiolug_entry_calls_total", "Calls by outcome and cause");
        let moves = Opts::new("pistachiolug_entry_moves_total", "Moved calls by reason");
        let metrics = Self {
            calls: IntCounterVec::new(calls, &["outcome", "code"])?,
            moves: IntCounterVec::new(moves, &["reason"])?,
            budget_refusals: IntCounter::new(
                "pistachiolug_entry_retry_refusals_total",
                "Retries that the budget did not allow",
            )?,
            open: IntGauge::new("pistachiolug_entry_open_calls", "Calls that are open now")?,
            tokens: IntCounter::new("pistachiolug_entry_tokens_total", "Tokens sent to callers")?,
        };
        registry.register(Box::new(metrics.calls.clone()))?;
        registry.register(Box::new(metrics.moves.clone()))?;
        registry.register(Box::new(metrics.budget_refusals.clone()))?;
        registry.register(Box::new(metrics.open.clone()))?;
        registry.register(Box::new(metrics.tokens.clone()))?;
        Ok(metrics)
    }

    /// Counts a whole answer.
    pub fn answered(&self) {
        let labels = [Outcome::Answered.as_str(), "none"];
        self.calls.with_label_values(&labels).inc();
    }

    /// Counts a call that ends without an answer.
    pub fn failed(&self, fault: &Fault) {
        let labels = [fault.outcome.as_str(), code(fault.code)];
        self.calls.with_label_values(&labels).inc();
    }

    /// Counts a call that went on elsewhere.
    pub fn moved(&self, reason: Move) {
        self.moves.with_label_values(&[reason.as_str()]).inc();
    }

    /// Counts a retry that was not made for want of budget.
    pub fn over_budget(&self) {
        self.budget_refusals.inc();
    }
}

fn code(code: Code) -> &'static str {
    match code {
        Code::InvalidRequest => "invalid_request",
        Code::InvalidKey => "invalid_key",
        Code::NotInPlan => "not_in_plan",
        Code::NotFound => "not_found",
        Code::RateLimited => "rate_limited",
        Code::Overloaded => "overloaded",
        Code::Leaving => "leaving",
        Code::Unavailable => "unavailable",
        Code::CrashSuspect => "crash_suspect",
        Code::DeadlineExceeded => "deadline_exceeded",
        Code::KeyReused => "key_reused",
        Code::BackendFailed => "backend_failed",
        Code::Revoked => "revoked",
        Code::ClaimUnavailable => "claim_unavailable",
    }
}
