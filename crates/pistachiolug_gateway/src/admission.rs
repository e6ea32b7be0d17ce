//! Admission control: decides whether a request that finds no free slot waits for one or is refused.
//!
//! Under overload, requests that can still be served on time wait. All others are told at once that they were not run
//! and when to retry.

use std::time::Duration;

use crate::config::Engine;

/// Largest share of the target latency that a first attempt may wait; the rest is left for its first token. One that
/// competes with less urgent requests may wait longer, by the expected time to its first event.
const MAX_WAIT_SHARE_OF_TARGET: f64 = 0.4;

/// Passes of a server's streams until the first event of a request: it waits for the end of one and is generated in the
/// next.
const PASSES_TO_FIRST_EVENT: f64 = 2.0;

/// Share of the target latency that is left beside the expected time to the first event, for prompts that are read before
/// and for slow servers.
const FIRST_EVENT_MARGIN: f64 = 0.1;

/// Largest share of its time left that a retry may wait. A late answer is worth less, and the rest of the time is
/// needed for the answer itself.
const MAX_WAIT_SHARE_OF_TIME_LEFT: f64 = 0.25;

/// Smallest share of the freed slots that is assumed to be left for retries, because both rates are estimates.
const MIN_LATE_SHARE: f64 = 0.05;

/// Shortest retry delay of a refused caller, as a share of its time left.
const MIN_RETRY_AFTER_SHARE: f64 = 0.2;

/// Longest retry delay of a refused caller, as a share of its time left; callers honor delays of up to a third of it.
const MAX_RETRY_AFTER_SHARE: f64 = 0.32;

/// Smallest range over which the returns of refused callers are spread, as a share of their time left.
const MIN_RETRY_SPREAD_SHARE: f64 = 0.06;

/// Request that finds no free slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// Time left within which its answer would be on time.
    pub target_latency: Duration,
    /// Whether it is a caller's first attempt. An attempt that is repeated after a refusal can't be on time any more.
    pub is_first_attempt: bool,
    /// Time until its deadline.
    pub time_left: Duration,
    /// Number of waiting requests that are served before it.
    pub ahead: usize,
    /// Time until the first server takes a request, by backoffs and limits; zero if one takes some now.
    pub reopens_in: Duration,
    /// Requests per second that all servers together take, if all of them have limits.
    pub limit: Option<f64>,
    /// Expected time from a slot to its first event, if it competes with less urgent requests; `None` otherwise.
    pub first_event: Option<Duration>,
}

impl Request {
    /// Returns the longest time that it may wait for a slot.
    pub fn max_wait(&self) -> Duration {
        if !self.is_first_attempt {
            return self.time_left.mul_f64(MAX_WAIT_SHARE_OF_TIME_LEFT);
        }
        let usual = self.target_latency.mul_f64(MAX_WAIT_SHARE_OF_TARGET);
        let Some(first_event) = self.first_event else {
            return usual;
        };
        let latest = self.target_latency.mul_f64(1.0 - FIRST_EVENT_MARGIN);
        usual.max(latest.saturating_sub(first_event))
    }
}

/// Returns the expected time from a slot at a full engine to the first event of a request with this prompt.
pub fn first_event(prompt_tokens: u32, engine: &Engine) -> Duration {
    let read_ms = f64::from(prompt_tokens) / engine.prompt_tokens_per_ms;
    let step_ms = engine.step_ms + engine.step_ms_per_call * f64::from(engine.slots);
    let pass_ms = step_ms * engine.stride;
    let millis = read_ms + PASSES_TO_FIRST_EVENT * pass_ms;
    // A configuration may state no rate.
    Duration::try_from_secs_f64(millis / 1000.0).unwrap_or(Duration::MAX)
}

/// Rates at which slots become free for an entry's requests to a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlotRates {
    /// Slots that become free per second.
    pub freed_per_second: f64,
    /// Slots per second that first attempts take.
    pub first_attempts_per_second: f64,
}

impl SlotRates {
    /// Returns the slots per second that a request can count on. First attempts are served before retries, which get
    /// only the rest.
    fn available(&self, is_first_attempt: bool) -> f64 {
        if is_first_attempt {
            return self.freed_per_second;
        }
        let rest = self.freed_per_second - self.first_attempts_per_second;
        rest.max(self.freed_per_second * MIN_LATE_SHARE)
    }
}

/// Decision about a request that finds no free slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request may wait this long.
    Wait(Duration),
    /// The request is refused at once.
    Refuse,
}

/// Decides by the expected wait, which follows from the servers' backoffs and limits, the requests ahead and the rates of
/// freed slots.
pub fn decide(request: &Request, rates: &SlotRates) -> Decision {
    let slots_per_second = rates.available(request.is_first_attempt);
    let max_wait = request.max_wait();
    let slot_wait_s = match request.limit {
        // The time to the first grant is known.
        Some(per_second) => request.ahead as f64 / per_second,
        None => (request.ahead + 1) as f64 / slots_per_second.max(f64::MIN_POSITIVE),
    };
    if request.reopens_in.as_secs_f64() + slot_wait_s > max_wait.as_secs_f64() {
        return Decision::Refuse;
    }
    Decision::Wait(max_wait)
}

/// Returns the delay after which a refused caller should retry. `point` in 0.0..1.0 spreads the delays, so that refused
/// callers do not return all at once.
///
/// # Arguments
/// `reopens_in` is the time until the first server is out of its backoff, if all are in one. Callers return after it as
/// far as they honor the delay.
pub fn retry_after(time_left: Duration, reopens_in: Option<Duration>, point: f64) -> Duration {
    let latest = time_left.mul_f64(MAX_RETRY_AFTER_SHARE);
    let soonest = match reopens_in {
        None => time_left.mul_f64(MIN_RETRY_AFTER_SHARE),
        Some(reopens_in) => {
            reopens_in.min(latest.saturating_sub(time_left.mul_f64(MIN_RETRY_SPREAD_SHARE)))
        }
    };
    let usual_spread = time_left.mul_f64(MAX_RETRY_AFTER_SHARE - MIN_RETRY_AFTER_SHARE);
    let spread = usual_spread.min(latest.saturating_sub(soonest));
    soonest + spread.mul_f64(point)
}
