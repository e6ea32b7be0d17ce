//! Decisions about servers that fall silent: when another server is asked beside one, and which of the two goes on.

use std::time::Duration;

use tokio::time::Instant;

/// Largest number of times that another server is asked in one silence.
const MAX_ASKS: u32 = 3;

/// Silence of a server that has a request.
#[derive(Debug, Clone, Copy)]
pub struct Silence {
    bound: Duration,
    /// When another server is asked next; `None` if that would be too far away.
    ask_at: Option<Instant>,
    asks: u32,
}

impl Silence {
    /// Creates a silence that begins now; another server is asked after `bound`, and again after each further `bound`.
    pub fn new(bound: Duration, now: Instant) -> Self {
        Self {
            bound,
            ask_at: now.checked_add(bound),
            asks: 0,
        }
    }

    /// Records that data has arrived, which begins a new silence.
    pub fn record_data(&mut self, now: Instant) {
        *self = Self::new(self.bound, now);
    }

    /// Records that another server was asked, or that none could be.
    pub fn record_ask(&mut self, now: Instant) {
        self.asks += 1;
        self.ask_at = now.checked_add(self.bound);
    }

    /// Returns when another server is asked next; `None` if that was done often enough.
    pub fn ask_at(&self) -> Option<Instant> {
        self.ask_at.filter(|_| self.asks < MAX_ASKS)
    }
}

/// Reason why no other server is asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denial {
    /// The route allows no further server, or no repetition.
    Attempts,
    /// The events of the stream have no ids, so that it can't be resumed without repeating them.
    NoEventId,
    /// Servers crashed while they ran requests with the same content.
    CrashSuspect,
    /// No other server could take the request.
    NoServer,
    /// The retry budget is used up.
    RetryBudget,
}

impl Denial {
    /// Returns the name in logs.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Attempts => "attempts",
            Self::NoEventId => "no event id",
            Self::CrashSuspect => "crash suspect",
            Self::NoServer => "no server",
            Self::RetryBudget => "retry budget",
        }
    }
}

/// One of two servers that have the same stream to go on with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Server that the stream came from.
    Former,
    /// Server that was asked beside it.
    Other,
}

/// What a server did first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// It sent whole events.
    Events,
    /// It ended the stream after a whole event; the protocol marks the end.
    MarkedEnd,
    /// It closed the connection after a whole event, which may also be a crash.
    UnmarkedEnd,
    /// It failed, or may not go on.
    Failed,
}

/// Returns the server that goes on alone, from what the first of the two to do anything did.
///
/// An end that the protocol does not mark is not believed from a server that has sent no events, while the one that
/// has sent some is there.
pub fn choose(side: Side, progress: Progress) -> Side {
    match (side, progress) {
        (Side::Former, Progress::Failed) => Side::Other,
        (Side::Other, Progress::Failed | Progress::UnmarkedEnd) => Side::Former,
        (side, _) => side,
    }
}
