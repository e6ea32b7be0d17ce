//! Decides whether a request that finds no free server waits for one or is refused.
//!
//! Answers the load of days on which more is asked for than the engines can give: those who can still be served on time
//! wait, all others learn at once that they were not served and when to come back.

use std::time::Duration;

/// Share of the aim that a request may spend waiting, so that the rest is left for its first token.
const WAIT_SHARE_OF_AIM: f64 = 0.4;

/// Share of the time left that a late request may spend waiting: it earns less, and its answer takes its own time.
const WAIT_SHARE_OF_REST: f64 = 0.25;

/// Share of the places that late requests count on at least; both rates are estimates.
const LATE_SHARE_LEAST: f64 = 0.05;

/// Shortest time after which a refused caller is asked to come back, as a share of the time it has left.
const RETURN_SHARE_LEAST: f64 = 0.2;

/// Longest such time as a share of the time left; callers honour no more than a third.
const RETURN_SHARE_MOST: f64 = 0.32;

/// Request that finds no free server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Time within which its answer would be on time.
    pub target_latency: Duration,
    /// Whether it is on time still: an attempt that came back after a refusal is not.
    pub is_first_attempt: bool,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Requests that wait and go first.
    pub ahead: usize,
}

/// Places that come free for an entry's requests, per second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotRates {
    /// All of them.
    pub freed_per_second: f64,
    /// Those that requests get which can be on time.
    pub first_attempts_per_second: f64,
}

impl SlotRates {
    /// Returns the places that come free for an applicant: those that can be on time go first.
    fn available(&self, is_first_attempt: bool) -> f64 {
        if is_first_attempt {
            return self.freed_per_second;
        }
        let rest = self.freed_per_second - self.first_attempts_per_second;
        rest.max(self.freed_per_second * LATE_SHARE_LEAST)
    }
}

/// What becomes of an applicant.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It waits this long at most.
    Wait(Duration),
    /// It is refused at once.
    Refuse,
}

/// Decides by how fast places come free for such applicants.
pub fn decide(request: &Request, rates: &SlotRates) -> Decision {
    let places = rates.available(request.is_first_attempt);
    let patience = if request.is_first_attempt {
        request.target_latency.mul_f64(WAIT_SHARE_OF_AIM)
    } else {
        request.time_left.mul_f64(WAIT_SHARE_OF_REST)
    };
    let turn = (request.ahead + 1) as f64 / places.max(f64::MIN_POSITIVE);
    if turn > patience.as_secs_f64() {
        return Decision::Refuse;
    }
    Decision::Wait(patience)
}

/// Returns when a refused caller should come back, spread by `point` in 0..1 so that the refused do not return together.
pub fn retry_after(left: Duration, point: f64) -> Duration {
    let share = RETURN_SHARE_LEAST + (RETURN_SHARE_MOST - RETURN_SHARE_LEAST) * point;
    left.mul_f64(share)
}
