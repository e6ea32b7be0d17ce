//! Wait of a request for its place at a server.

use std::{rc::Rc, sync::Arc};

use tokio::time::{Instant, timeout_at};

use crate::{
    admission::{self, Applicant, Verdict},
    board::Need,
    call::Call,
    line::Place,
    reply::Reason,
    state::State,
    ticket::Ticket,
};

/// Finds a place at a server, waiting in line if that promises a place in time.
///
/// # Arguments
/// `tried` are the servers that were sent the request.
///
/// # Errors
/// The reason of a refusal when no place is to be had in time.
pub async fn wait(state: &Rc<State>, call: &Call, tried: &[Arc<str>]) -> Result<Ticket, Reason> {
    if call.left().is_zero() {
        return Err(Reason::Overloaded);
    }
    let need = call.need(state, tried);
    let rank = call.rank();
    let ahead = state.ahead(&call.service, rank);
    let ticket = if ahead == 0 {
        state.reserve(&need)
    } else {
        None
    };
    if let Some(ticket) = ticket {
        log_placed(call, &ticket, &need, ahead);
        return Ok(ticket);
    }
    let servable = state.with_board(|board| board.serves(&need, state.now()));
    let applicant = Applicant {
        aim: call
            .admitted
            .route
            .aim
            .saturating_sub(call.arrived.elapsed()),
        fresh: call.fresh,
        left: call.left(),
        ahead,
    };
    let supply = state.supply(&call.service);
    let verdict = if servable || tried.is_empty() {
        admission::decide(&applicant, &supply)
    } else {
        Verdict::Refuse
    };
    let (places, fresh_places) = (supply.places, supply.fresh);
    let Verdict::Wait(patience) = verdict else {
        log::info!(call = call.id.as_str(), service = &*call.service, ahead, places, fresh_places, fresh = call.fresh, servable; "no place in time");
        return Err(unplaced(servable));
    };
    let oldest = need.oldest;
    let (place, turn) = state.join(need, rank);
    let until = call.deadline.min(Instant::now() + patience);
    let waiting = Waiting {
        state,
        service: &call.service,
        place,
    };
    let ticket = timeout_at(until, turn).await;
    drop(waiting);
    let waited = call.arrived.elapsed();
    state.metrics.waits.observe(waited.as_secs_f64());
    if let Ok(Ok(ticket)) = ticket {
        let need = Need {
            oldest,
            ..Need::default()
        };
        log_placed(call, &ticket, &need, ahead);
        return Ok(ticket);
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
    place: Place,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.state.leave(self.service, self.place);
    }
}

fn log_placed(call: &Call, ticket: &Ticket, need: &Need, ahead: usize) {
    let choice = &ticket.choice;
    log::info!(
        call = call.id.as_str(),
        route = &*call.admitted.route.name,
        server = &*choice.record.id,
        left_ms = call.left().as_millis() as u64,
        fresh = call.fresh,
        expected_ms = choice.wait_ms as u64,
        calls = choice.calls,
        ahead,
        oldest_version:? = need.oldest,
        age_ms = call.age_ms();
        "request placed"
    );
}
