//! Metrics of an entry. No label value comes from a caller, so their number is bounded.

use pistachiolug_kernel::metric::{self, Counters};
use pistachiolug_wire::{
    fault::{Code, Fault},
    outcome::Outcome,
};
use prometheus::{IntCounter, IntGauge, Registry, core::Collector};
use snafu::ResultExt;

/// Reason for which a call continued at another agent or over another connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MoveReason {
    /// No connection to the agent could be opened.
    Unsent,
    /// The agent refused without running the call.
    Refused,
    /// A call whose connection was lost was withdrawn before it started.
    Withdrawn,
    /// A call whose connection was lost was joined at the agent that runs it.
    Joined,
    /// A repeatable call was opened again after its instance or backend server was lost.
    Resumed,
}

impl MoveReason {
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

/// Metrics of the calls of an entry; clones share the counters.
#[derive(Debug, Clone)]
pub struct Metrics {
    outcomes: Counters,
    faults: Counters,
    moves: Counters,
    budget_refusals: IntCounter,
    /// Number of calls that are open now.
    pub open_calls: IntGauge,
    /// Number of tokens sent to callers.
    pub sent_tokens: IntCounter,
}

impl Metrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    /// Returns the error of the library if a name is registered already.
    pub fn new(registry: &Registry) -> Result<Self, metric::Error> {
        let register = |name, help, label, values: &[&'static str]| {
            Counters::register(registry, name, help, label, values)
        };
        let metrics = Self {
            outcomes: register(
                "pistachiolug_entry_calls_total",
                "Calls by outcome",
                "outcome",
                &OUTCOMES.map(Outcome::as_str),
            )?,
            faults: register(
                "pistachiolug_entry_faults_total",
                "Calls without an answer by cause",
                "code",
                &Code::ALL.map(Code::as_str),
            )?,
            moves: register(
                "pistachiolug_entry_moves_total",
                "Calls that went on at another agent or connection, by reason",
                "reason",
                &MOVE_REASONS.map(MoveReason::as_str),
            )?,
            budget_refusals: IntCounter::new(
                "pistachiolug_entry_retry_refusals_total",
                "Retries that the budget did not allow",
            )
            .context(metric::LibrarySnafu)?,
            open_calls: IntGauge::new("pistachiolug_entry_open_calls", "Calls that are open now")
                .context(metric::LibrarySnafu)?,
            sent_tokens: IntCounter::new(
                "pistachiolug_entry_tokens_total",
                "Tokens sent to callers",
            )
            .context(metric::LibrarySnafu)?,
        };
        let single_collectors: [Box<dyn Collector>; 3] = [
            Box::new(metrics.budget_refusals.clone()),
            Box::new(metrics.open_calls.clone()),
            Box::new(metrics.sent_tokens.clone()),
        ];
        for collector in single_collectors {
            registry.register(collector).context(metric::LibrarySnafu)?;
        }
        Ok(metrics)
    }

    /// Records a call with a complete answer.
    pub fn record_answer(&self) {
        self.outcomes.get(Outcome::Answered.as_str()).inc();
    }

    /// Records a call that ends with a fault.
    pub fn record_fault(&self, fault: &Fault) {
        self.outcomes.get(fault.outcome.as_str()).inc();
        self.faults.get(fault.code.as_str()).inc();
    }

    /// Records that a call continued at another agent or over another connection.
    pub fn record_move(&self, reason: MoveReason) {
        self.moves.get(reason.as_str()).inc();
    }

    /// Records a retry that the retry budget did not allow.
    pub fn record_budget_refusal(&self) {
        self.budget_refusals.inc();
    }
}

const OUTCOMES: [Outcome; 3] = [Outcome::Answered, Outcome::NotRun, Outcome::Unknown];

const MOVE_REASONS: [MoveReason; 5] = [
    MoveReason::Unsent,
    MoveReason::Refused,
    MoveReason::Withdrawn,
    MoveReason::Joined,
    MoveReason::Resumed,
];
