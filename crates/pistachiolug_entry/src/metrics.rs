//! Counters of an entry; no label depends on a caller.

use pistachiolug_kernel::metric::{self, Counters};
use pistachiolug_wire::{
    fault::{Code, Fault},
    outcome::Outcome,
};
use prometheus::{IntCounter, IntGauge, Registry, core::Collector};
use snafu::ResultExt;

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
    outcomes: Counters,
    faults: Counters,
    moves: Counters,
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
    pub fn new(registry: &Registry) -> Result<Self, metric::Error> {
        let counters = |name, help, label, values: &[&'static str]| {
            Counters::register(registry, name, help, label, values)
        };
        let metrics = Self {
            outcomes: counters(
                "pistachiolug_entry_calls_total",
                "Calls by outcome",
                "outcome",
                &OUTCOMES.map(Outcome::as_str),
            )?,
            faults: counters(
                "pistachiolug_entry_faults_total",
                "Calls without an answer by cause",
                "code",
                &Code::ALL.map(Code::as_str),
            )?,
            moves: counters(
                "pistachiolug_entry_moves_total",
                "Calls that went on at another agent or connection, by reason",
                "reason",
                &MOVES.map(Move::as_str),
            )?,
            budget_refusals: IntCounter::new(
                "pistachiolug_entry_retry_refusals_total",
                "Retries that the budget did not allow",
            )
            .context(metric::LibrarySnafu)?,
            open: IntGauge::new("pistachiolug_entry_open_calls", "Calls that are open now")
                .context(metric::LibrarySnafu)?,
            tokens: IntCounter::new("pistachiolug_entry_tokens_total", "Tokens sent to callers")
                .context(metric::LibrarySnafu)?,
        };
        let alone: [Box<dyn Collector>; 3] = [
            Box::new(metrics.budget_refusals.clone()),
            Box::new(metrics.open.clone()),
            Box::new(metrics.tokens.clone()),
        ];
        for collector in alone {
            registry.register(collector).context(metric::LibrarySnafu)?;
        }
        Ok(metrics)
    }

    /// Counts a whole answer.
    pub fn answered(&self) {
        self.outcomes.get(Outcome::Answered.as_str()).inc();
    }

    /// Counts a call that ends without an answer.
    pub fn failed(&self, fault: &Fault) {
        self.outcomes.get(fault.outcome.as_str()).inc();
        self.faults.get(fault.code.as_str()).inc();
    }

    /// Counts a call that went on elsewhere.
    pub fn moved(&self, reason: Move) {
        self.moves.get(reason.as_str()).inc();
    }

    /// Counts a retry that was not made for want of budget.
    pub fn over_budget(&self) {
        self.budget_refusals.inc();
    }
}

const OUTCOMES: [Outcome; 3] = [Outcome::Answered, Outcome::NotRun, Outcome::Unknown];

const MOVES: [Move; 5] = [
    Move::Unsent,
    Move::Refused,
    Move::Withdrawn,
    Move::Joined,
    Move::Resumed,
];
