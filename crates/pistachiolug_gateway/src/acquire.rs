//! Wait of a request for its place at a server.

use std::{rc::Rc, sync::Arc};

use tokio::time::{Instant, timeout_at};

use crate::{
    admission::{self, Decision, Request},
    call::Call,
    permit::Permit,
    pool::Requirements,
    queue::Position,
    reply::Reason,
    state::State,
};

/// Finds a place at a server, waiting in line if that promises a place in time.
///
/// # Arguments
/// `tried` are the servers that were sent the request.
///
/// # Errors
/// The reason of a refusal when no place is to be had in time.
pub async fn acquire_permit(
    state: &Rc<State>,
    call: &Call,
    tried: &[Arc<str>],
) -> Result<Permit, Reason> {
    if call.time_left().is_zero() {
        return Err(Reason::Overloaded);
    }
    let requirements = call.requirements(state, tried);
    let rank = call.rank();
    let ahead = state.count_ahead(&call.service, rank);
    let permit = if ahead == 0 {
        state.reserve(&requirements)
    } else {
        None
    };
    if let Some(permit) = permit {
        log_placed(call, &permit, &requirements, ahead);
        return Ok(permit);
    }
    let servable = state.with_pool(|pool| pool.can_serve(&requirements, state.now()));
    let request = Request {
        target_latency: call
            .authorized
            .route
            .target_latency
            .saturating_sub(call.arrived.elapsed()),
        is_first_attempt: call.is_first_attempt,
        time_left: call.time_left(),
        ahead,
    };
    let rates = state.slot_rates(&call.service);
    let decision = if servable || tried.is_empty() {
        admission::decide(&request, &rates)
    } else {
        Decision::Refuse
    };
    let (places, fresh_places) = (rates.freed_per_second, rates.first_attempts_per_second);
    let Decision::Wait(patience) = decision else {
        log::info!(call = call.id.as_str(), service = &*call.service, ahead, places, fresh_places, fresh = call.is_first_attempt, servable; "no place in time");
        return Err(unplaced(servable));
    };
    let min_version = requirements.min_version;
    let (place, turn) = state.enqueue(requirements, rank);
    let until = call.deadline.min(Instant::now() + patience);
    let waiting = Waiting {
        state,
        service: &call.service,
        place,
    };
    let permit = timeout_at(until, turn).await;
    drop(waiting);
    let waited = call.arrived.elapsed();
    state.metrics.wait_seconds.observe(waited.as_secs_f64());
    if let Ok(Ok(permit)) = permit {
        let requirements = Requirements {
            min_version,
            ..Requirements::default()
        };
        log_placed(call, &permit, &requirements, ahead);
        return Ok(permit);
    }
    let patience_ms = patience.as_millis() as u64;
    log::info!(call = call.id.as_str(), service = &*call.service, ahead, places, fresh_places, patience_ms, servable; "no place came free");
    Err(unplaced(servable))
}

fn unplaced(servable: bool) -> Reason {
    if servable {
        Reason::Overloaded
    } else {
        Reason::Unavailable
    }
}

/// Leaves the line when the wait ends, also when the caller leaves.
struct Waiting<'a> {
    state: &'a State,
    service: &'a Arc<str>,
    place: Position,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.state.leave_queue(self.service, self.place);
    }
}

fn log_placed(call: &Call, permit: &Permit, requirements: &Requirements, ahead: usize) {
    let choice = &permit.choice;
    log::info!(
        call = call.id.as_str(),
        route = &*call.authorized.route.name,
        server = &*choice.record.id,
        left_ms = call.time_left().as_millis() as u64,
        fresh = call.is_first_attempt,
        expected_ms = choice.expected_wait_ms as u64,
        calls = choice.calls,
        ahead,
        oldest_version:? = requirements.min_version,
        age_ms = call.age_ms();
        "request placed"
    );
}
