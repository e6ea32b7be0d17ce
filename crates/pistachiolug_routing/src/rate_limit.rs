//! Rate limits that backend servers state in their answers, and what answers that cross each other say of them.

use std::time::Duration;

/// Smallest rate in requests per second. A server that takes none gets one request in ten seconds, since only an answer
/// shows that it takes more again.
pub const MIN_PER_SECOND: f64 = 0.1;

/// Smallest rate in requests per second at which an agent reads the report of its engine, whatever the engine's limit is: a
/// restart of the engine is noticed within five seconds.
const MIN_AGENT_PER_SECOND: f64 = 0.2;

/// Share of an engine's limit that its agent may use.
const AGENT_SHARE: f64 = 0.08;

/// Smallest share of an engine's limit that is left to entries.
const MIN_ENTRIES_SHARE: f64 = 0.5;

/// Rate in requests per second from which a limit is none; no deployment sends as many to one server.
const UNLIMITED_PER_SECOND: f64 = 1e5;

/// Smallest share of a rate in requests per second that is used without messages. With a smaller one, an entry would often have
/// a request and no token while others have tokens and no request.
const MIN_SHARE_PER_SECOND: f64 = 1.0;

/// How the entries share the rate of a server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Split {
    /// Each entry may send this many requests per second, by a token bucket of its own.
    Even(f64),
    /// Each request needs a grant of the server's coordinator.
    Granted,
}

impl Split {
    /// Chooses how a number of entries, of which one is the caller's, share a rate in requests per second.
    pub fn new(per_second: f64, entries: u32) -> Self {
        let share = per_second / f64::from(entries.max(1));
        if share >= MIN_SHARE_PER_SECOND {
            Self::Even(share)
        } else {
            Self::Granted
        }
    }
}

/// Value of a header that states no rate.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Invalid;

/// Parses the values of a header that states a rate in requests per second; `None` if there is no limit.
///
/// The smallest of several values counts, whether they stand in one header or in several.
///
/// # Errors
/// [`Invalid`] if a value is not a decimal number, such as a negative one or `nan`.
pub fn parse<'a>(values: impl Iterator<Item = &'a str>) -> Result<Option<f64>, Invalid> {
    let values = values.flat_map(|value| value.split(','));
    let rates = values.map(|value| parse_rate(value.trim()));
    let smallest = rates.reduce(|left, right| Ok(left?.min(right?)));
    let smallest = smallest.transpose()?;
    Ok(smallest.and_then(clamp))
}

/// Returns the requests per second that an agent may send to its engine, of a limit of the engine.
pub fn agent_rate(limit: f64) -> f64 {
    (limit * AGENT_SHARE).max(MIN_AGENT_PER_SECOND)
}

/// Returns the requests per second that entries may send to an engine with an agent, of a limit of the engine.
pub fn entries_rate(limit: f64) -> f64 {
    (limit - agent_rate(limit)).max(limit * MIN_ENTRIES_SHARE)
}

/// Returns the rate in requests per second within the range of limits; `None` if it is above, and so no limit.
pub fn clamp(per_second: f64) -> Option<f64> {
    (per_second < UNLIMITED_PER_SECOND).then(|| per_second.max(MIN_PER_SECOND))
}

fn parse_rate(value: &str) -> Result<f64, Invalid> {
    let is_number = |byte: u8| byte.is_ascii_digit() || byte == b'.';
    if !value.bytes().all(is_number) {
        return Err(Invalid);
    }
    value.parse().map_err(|_| Invalid)
}

/// What answers of one incarnation of a server state of its limit; times are those of the process's clock.
///
/// A server makes a statement between the time at which its request is sent and that at which its answer arrives. Of two
/// statements whose times overlap, the stricter one counts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Statement {
    /// Requests per second that the server takes from all entries; `None` if it does not limit them.
    pub per_second: Option<f64>,
    /// The statement was not made before this time.
    pub made_after: Duration,
    /// The statement was made before this time.
    pub made_before: Duration,
}

impl Statement {
    /// Merges another statement, and returns whether the limit changes.
    pub fn merge(&mut self, other: Self) -> bool {
        if other.made_before < self.made_after {
            return false;
        }
        let is_later = other.made_after >= self.made_before;
        if !is_later && other.is_looser_than(self) {
            return false;
        }
        let is_changed = self.per_second != other.per_second;
        if is_changed {
            *self = other;
        } else {
            self.made_after = self.made_after.max(other.made_after);
            self.made_before = self.made_before.max(other.made_before);
        }
        is_changed
    }

    fn is_looser_than(&self, other: &Self) -> bool {
        let rate = |statement: &Self| statement.per_second.unwrap_or(f64::INFINITY);
        rate(self) > rate(other)
    }
}
