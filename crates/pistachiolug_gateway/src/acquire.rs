//! Acquisition of a server slot for a request, if need be after a wait in the queue.

use std::{rc::Rc, sync::Arc, time::Duration};

use crate::{
    admission::{self, Decision, Request, SlotRates},
    call::Call,
    deadline,
    permit::Permit,
    pool::Requirements,
    queue::{Position, Rank},
    reply::Reason,
    state::{State, find_engine},
};

/// Longest wait for a slot at a server that resumes a stream.
pub const RESUME_WAIT: Duration = Duration::from_millis(600);

/// Queue rank of a request that another server has or had; it is served before those that none has had.
const RESUME_RANK: Rank = Rank {
    is_late: false,
    priority: 0,
};

/// Acquires a slot at a server. Waits in the queue of the service if a slot is expected to become free in time.
///
/// # Arguments
/// `tried` are the ids of the servers that were already sent the request.
///
/// # Errors
/// Returns the reason for the refusal if no slot is available in time.
pub async fn acquire_permit(
    state: &Rc<State>,
    call: &Call,
    tried: &[Arc<str>],
) -> Result<Permit, Reason> {
    if call.time_left().is_zero() {
        return Err(Reason::Overloaded);
    }
    check_stop(state, call)?;
    let requirements = call.requirements(state, tried);
    let rank = call.rank();
    if tried.is_empty() {
        state.record_arrival(&requirements);
    }
    let ahead = state.count_preceding(&requirements, rank);
    let permit = if state.is_next(&requirements, rank) {
        state.reserve(&requirements)
    } else {
        None
    };
    if let Some(permit) = permit {
        log_placed(call, &permit, &requirements, ahead);
        return Ok(permit);
    }
    let Admission {
        servable,
        is_placeable,
        reopens_in,
        limit,
        rates,
        decision,
    } = admit(state, call, &requirements, ahead);
    let (slots_left, below_floor) = (
        requirements.reserve.slots_left,
        state.is_below_floor(&requirements),
    );
    if servable && reopens_in.is_none() && limit.is_none() {
        state.record_shortage(&requirements);
    }
    let reopens_in_ms = reopens_in.map(|reopens_in| reopens_in.as_millis() as u64);
    let (places, fresh_places) = (rates.freed_per_second, rates.first_attempts_per_second);
    let Decision::Wait(max_wait) = decision else {
        log::info!(call = call.id.as_str(), service = &*call.service, ahead, places, fresh_places, fresh = call.is_first_attempt, servable, is_placeable, slots_left, below_floor, reopens_in_ms:?, limit:?; "no slot expected in time");
        return Err(refusal_reason(servable, reopens_in, limit));
    };
    let (position, receiver) = state.enqueue(requirements, rank);
    let latest_send = state.latest_send(call).unwrap_or(call.deadline);
    let until = latest_send.min(state.now() + max_wait);
    let guard = QueueGuard {
        state,
        service: &call.service,
        position,
    };
    let permit = deadline::run_until(state, until, receiver).await;
    drop(guard);
    let waited = call.arrived.elapsed();
    state.metrics.wait_seconds.observe(waited.as_secs_f64());
    // The process may have been told to stop meanwhile.
    check_stop(state, call)?;
    if let Ok(Ok(permit)) = permit {
        let requirements = call.requirements(state, tried);
        log_placed(call, &permit, &requirements, ahead);
        return Ok(permit);
    }
    let patience_ms = max_wait.as_millis() as u64;
    log::info!(call = call.id.as_str(), service = &*call.service, ahead, places, fresh_places, patience_ms, servable, slots_left, below_floor, reopens_in_ms:?, limit:?; "no slot became free in time");
    Err(refusal_reason(servable, reopens_in, limit))
}

/// Checks that a server could answer a request before this process ends.
fn check_stop(state: &State, call: &Call) -> Result<(), Reason> {
    let latest_send = state.latest_send(call);
    let Some(late) = latest_send.and_then(|latest| state.now().checked_sub(latest)) else {
        return Ok(());
    };
    let late_ms = late.as_millis() as u64;
    log::info!(call = call.id.as_str(), service = &*call.service, late_ms; "process ends before a server could answer");
    Err(Reason::Stopping)
}

/// Answer of admission control to a request that finds no free slot, and what it follows from.
#[derive(Debug)]
pub(crate) struct Admission {
    /// Whether any server could take the request if it had a free slot.
    pub(crate) servable: bool,
    /// Whether a listed server is in the zones that the request may use.
    pub(crate) is_placeable: bool,
    /// Time until the first server takes requests, if all are in backoffs or without a grant.
    pub(crate) reopens_in: Option<Duration>,
    /// Requests per second that all servers together take, if all have limits.
    pub(crate) limit: Option<f64>,
    pub(crate) rates: SlotRates,
    pub(crate) decision: Decision,
}

/// Decides whether a request that finds no free slot may wait for one.
///
/// # Arguments
/// `ahead` is the number of waiting requests that are served before it.
pub(crate) fn admit(
    state: &State,
    call: &Call,
    requirements: &Requirements,
    ahead: usize,
) -> Admission {
    let servable = state.with_pool(|pool| pool.can_serve(requirements, state.now()));
    let reopens_in = state.with_pool(|pool| pool.time_to_reopening(requirements, state.now()));
    let limit = state.with_pool(|pool| pool.total_limit(requirements, state.now()));
    let request = admission_request(state, call, ahead, reopens_in, limit);
    let rates = state.slot_rates(requirements);
    let is_placeable =
        !requirements.zones.is_limited() || state.with_pool(|pool| pool.is_placeable(requirements));
    let decision = if !is_placeable {
        Decision::Refuse
    } else if servable || reopens_in.is_some() || requirements.tried.is_empty() {
        admission::decide(&request, &rates)
    } else {
        Decision::Refuse
    };
    Admission {
        servable,
        is_placeable,
        reopens_in,
        limit,
        rates,
        decision,
    }
}

/// Acquires a slot at a server that may resume a stream or is asked beside a silent one; `None` if none becomes free in
/// time.
pub async fn acquire_resuming_permit(
    state: &Rc<State>,
    call: &Call,
    tried: &[Arc<str>],
    max_wait: Duration,
) -> Option<Permit> {
    let mut requirements = call.requirements(state, tried);
    requirements.is_exempt = true;
    state.update_reservation(&mut requirements);
    if let Some(permit) = state.reserve(&requirements) {
        return Some(permit);
    }
    let service = Arc::clone(&requirements.service);
    let (position, receiver) = state.enqueue(requirements, RESUME_RANK);
    let _guard = QueueGuard {
        state,
        service: &service,
        position,
    };
    let until = call.deadline.min(state.now() + max_wait);
    let permit = deadline::run_until(state, until, receiver).await;
    permit.ok()?.ok()
}

/// Returns whether a server that was not tried could take the request, though maybe only once a slot is free.
pub fn has_other_server(state: &State, call: &Call, tried: &[Arc<str>]) -> bool {
    let requirements = call.requirements(state, tried);
    state.with_pool(|pool| pool.can_serve(&requirements, state.now()))
}

/// Returns the time until the first server that was not tried is out of its backoff, if all that could take the request
/// are in one.
pub fn time_to_reopening(state: &State, call: &Call, tried: &[Arc<str>]) -> Option<Duration> {
    let requirements = call.requirements(state, tried);
    state.with_pool(|pool| pool.time_to_reopening(&requirements, state.now()))
}

/// Returns whether all servers that could take the request are in backoffs that last longer than it may wait.
pub fn is_backoff_too_long(state: &State, call: &Call, tried: &[Arc<str>]) -> bool {
    let reopens_in = time_to_reopening(state, call, tried);
    let max_wait = admission_request(state, call, 0, reopens_in, None).max_wait();
    reopens_in.is_some_and(|reopens_in| reopens_in > max_wait)
}

/// Returns the reason for which no server takes the request, if all that could are in a backoff or have limits.
pub fn closed_reason(state: &State, call: &Call, tried: &[Arc<str>]) -> Reason {
    let requirements = call.requirements(state, tried);
    match state.with_pool(|pool| pool.total_limit(&requirements, state.now())) {
        Some(_) => Reason::Limited,
        None => Reason::Backoff,
    }
}

fn admission_request(
    state: &State,
    call: &Call,
    ahead: usize,
    reopens_in: Option<Duration>,
    limit: Option<f64>,
) -> Request {
    let competes = call.model.is_some() && state.has_less_urgent(&call.service, call.rank());
    let config = state.config().filter(|_| competes);
    let engine = config
        .as_ref()
        .and_then(|config| find_engine(config, &call.service));
    Request {
        target_latency: call
            .authorized
            .route
            .target_latency
            .saturating_sub(call.arrived.elapsed()),
        is_first_attempt: call.is_first_attempt,
        time_left: call.time_left(),
        ahead,
        reopens_in: reopens_in.unwrap_or_default(),
        limit,
        first_event: engine.map(|engine| admission::first_event(call.tokens.prompt, engine)),
    }
}

/// Returns the reason of a refusal; `servable` tells whether a usable server exists, `reopens_in` whether all are in a
/// backoff, `limit` whether all have limits.
fn refusal_reason(servable: bool, reopens_in: Option<Duration>, limit: Option<f64>) -> Reason {
    if limit.is_some() {
        Reason::Limited
    } else if reopens_in.is_some() {
        Reason::Backoff
    } else if servable {
        Reason::Overloaded
    } else {
        Reason::Unavailable
    }
}

/// Queue position that is given up on drop: when the wait ends, or when the caller disconnects.
struct QueueGuard<'a> {
    state: &'a State,
    service: &'a Arc<str>,
    position: Position,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        self.state.leave_queue(self.service, self.position);
    }
}

fn log_placed(call: &Call, permit: &Permit, requirements: &Requirements, ahead: usize) {
    let choice = &permit.choice;
    let model = call.model.as_deref();
    let held_version = model.and_then(|model| choice.record.version(model));
    log::info!(
        call = call.id.as_str(),
        content:% = call.content.short(),
        parts:% = call.prefix,
        route = &*call.authorized.route.name,
        server = &*choice.record.id,
        left_ms = call.time_left().as_millis() as u64,
        fresh = call.is_first_attempt,
        expected_ms = choice.expected_wait_ms as u64,
        calls = choice.calls,
        pace = choice.pace,
        ahead,
        held_version:?,
        oldest_version:? = requirements.min_version,
        age_ms = call.age_ms();
        "request assigned to server"
    );
}
