//! Faults of the key-value stand-in, which control requests switch on, and its rate limits.

use std::time::{Duration, Instant};

use serde::Serialize;

use crate::reply::query_number;

/// Highest number of reads per second, watches included; the limit of the platform's service.
const READS_PER_SECOND: u32 = 2_000;

/// Highest number of writes per second, leases included; the limit of the platform's service.
const WRITES_PER_SECOND: u32 = 500;

/// Kind of a call, which decides the rate limit that it counts against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// Read or watch.
    Read,
    /// Write or lease.
    Write,
}

/// Faults in force at the service.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Whether every call is refused without effect.
    pub down: bool,
    /// Extra time until each answer is sent; the call takes effect before it.
    pub slow: Duration,
    /// Number of coming writes that take effect although their answers are lost.
    pub lose_answers: u64,
    /// Number of requests to silence watches so far. A watch opened before the last one stays silent for good.
    pub silence_requests: u64,
    /// Whether new watches receive nothing at all, not even the message that they were created.
    pub mutes_new_watches: bool,
    /// How the events of watches are sent.
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
    /// The events of one message in reverse order.
    Reversed,
}

impl Faults {
    /// Applies a control request such as `down` or `slow?ms=300`. Returns `false` for an unknown one.
    pub fn apply(&mut self, name: &str, query: Option<&str>) -> bool {
        let on = query_number(query, "on") == 1;
        match name {
            "down" => self.down = on,
            "slow" => self.slow = Duration::from_millis(query_number(query, "ms")),
            "lose-answers" => self.lose_answers = query_number(query, "count"),
            "silence" => self.silence_requests += 1,
            "deaf" => self.mutes_new_watches = on,
            "repeat" => self.delivery = Delivery::Duplicated,
            "reverse" => self.delivery = Delivery::Reversed,
            "heal" => {
                *self = Self {
                    silence_requests: self.silence_requests,
                    ..Self::default()
                }
            }
            _ => return false,
        }
        true
    }

    /// Tells whether the answer of this write is lost, and counts it if so.
    pub fn take_lost_answer(&mut self) -> bool {
        let lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        lost
    }
}

/// Counters of the calls that the service received.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Record {
    /// Reads of keys and ranges.
    pub reads: u64,
    /// Conditional writes, whether or not their condition held.
    pub writes: u64,
    /// Watches opened.
    pub watches: u64,
    /// Grants and renewals of leases.
    pub leases: u64,
    /// Calls refused because of a rate limit.
    pub limited: u64,
    /// Calls refused because the service was down.
    pub refused: u64,
    /// Bytes of request bodies, refused calls included.
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

/// Token bucket.
#[derive(Debug, Clone, Copy)]
struct Bucket {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Limits {
    /// Creates the limits of the platform's service, with full buckets.
    pub fn new(now: Instant) -> Self {
        Self {
            reads: Bucket::new(READS_PER_SECOND, now),
            writes: Bucket::new(WRITES_PER_SECOND, now),
        }
    }

    /// Applies a control request such as `limit?reads=100&writes=10`; a limit of 0 stays as it is.
    pub fn apply(&mut self, query: Option<&str>, now: Instant) {
        for (bucket, name) in [(&mut self.reads, "reads"), (&mut self.writes, "writes")] {
            let per_second = query_number(query, name) as u32;
            if per_second > 0 {
                *bucket = Bucket::new(per_second, now);
            }
        }
    }

    /// Counts one call against its limit. Returns `false` if the call is to be refused.
    pub fn try_acquire(&mut self, kind: CallKind, now: Instant) -> bool {
        match kind {
            CallKind::Read => self.reads.try_acquire(now),
            CallKind::Write => self.writes.try_acquire(now),
        }
    }
}

impl Bucket {
    fn new(per_second: u32, now: Instant) -> Self {
        Self {
            per_second: per_second.into(),
            tokens: per_second.into(),
            refilled_at: now,
        }
    }

    fn try_acquire(&mut self, now: Instant) -> bool {
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + refill).min(self.per_second);
        self.refilled_at = now;
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}
