//! Faults of the key-value stand-in, on order, and its rate limits.

use std::time::{Duration, Instant};

use serde::Serialize;

use crate::reply::query_number;

/// Reads a second that the service takes, watches included.
const READS_PER_SECOND: u32 = 2_000;

/// Writes a second that the service takes, leases included.
const WRITES_PER_SECOND: u32 = 500;

/// Kind of a call, which decides its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Read or watch.
    Read,
    /// Write or lease.
    Write,
}

/// What the service does wrong now.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Refuses every call without effect.
    pub down: bool,
    /// Time that each answer takes longer; the effect comes before it.
    pub slow: Duration,
    /// Number of next writes that take effect and whose answers are lost.
    pub lose_answers: u64,
    /// Number of the last order to silence watches; those opened before it stay silent for good.
    pub silence_orders: u64,
    /// New watches get no sign of life either.
    pub mutes_new_watches: bool,
    /// How events are sent.
    pub delivery: Delivery,
}

/// How the events of a watch are sent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Delivery {
    /// Once, in order.
    #[default]
    InOrder,
    /// Every message twice.
    Duplicated,
    /// Those of one message in reverse order.
    Reversed,
}

impl Faults {
    /// Carries out an order such as `down` or `slow?ms=300`; `false` for an unknown one.
    pub fn apply(&mut self, name: &str, query: Option<&str>) -> bool {
        let on = query_number(query, "on") == 1;
        match name {
            "down" => self.down = on,
            "slow" => self.slow = Duration::from_millis(query_number(query, "ms")),
            "lose-answers" => self.lose_answers = query_number(query, "count"),
            "silence" => self.silence_orders += 1,
            "deaf" => self.mutes_new_watches = on,
            "repeat" => self.delivery = Delivery::Duplicated,
            "reverse" => self.delivery = Delivery::Reversed,
            "heal" => {
                *self = Self {
                    silence_orders: self.silence_orders,
                    ..Self::default()
                }
            }
            _ => return false,
        }
        true
    }

    /// Tells whether the answer of this write is lost.
    pub fn take_lost_answer(&mut self) -> bool {
        let lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        lost
    }
}

/// Counters of the calls that the service saw.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Record {
    /// Reads of keys and ranges.
    pub reads: u64,
    /// Conditional writes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Grants and renewals of leases.
    pub leases: u64,
    /// Calls that were refused for their rate.
    pub limited: u64,
    /// Calls that were refused while the service was down.
    pub refused: u64,
    /// Bytes of request bodies.
    pub received_bytes: u64,
    /// Bytes of answers, events included.
    pub sent_bytes: u64,
}

/// Rate limits with a burst of one second.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    reads: Bucket,
    writes: Bucket,
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    per_second: f64,
    left: f64,
    at: Instant,
}

impl Limits {
    /// Creates the limits of the platform's service.
    pub fn new(now: Instant) -> Self {
        Self {
            reads: Bucket::new(READS_PER_SECOND, now),
            writes: Bucket::new(WRITES_PER_SECOND, now),
        }
    }

    /// Changes the limits by an order such as `limit?reads=100&writes=10`; 0 leaves one as it is.
    pub fn apply(&mut self, query: Option<&str>, now: Instant) {
        for (bucket, name) in [(&mut self.reads, "reads"), (&mut self.writes, "writes")] {
            let per_second = query_number(query, name) as u32;
            if per_second > 0 {
                *bucket = Bucket::new(per_second, now);
            }
        }
    }

    /// Takes one call, or refuses it.
    pub fn try_acquire(&mut self, kind: CallKind, now: Instant) -> bool {
        match kind {
            CallKind::Read => self.reads.take(now),
            CallKind::Write => self.writes.take(now),
        }
    }
}

impl Bucket {
    fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_second: per_second.into(),
            left: per_second.into(),
            at: now,
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let grown = now.duration_since(self.at).as_secs_f64() * self.per_second;
        self.left = (self.left + grown).min(self.per_second);
        self.at = now;
        let taken = self.left >= 1.0;
        if taken {
            self.left -= 1.0;
        }
        taken
    }
}
