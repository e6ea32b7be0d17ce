//! One attempt of a request at a server.

use std::{cell::Cell, pin::pin, rc::Rc, time::Duration};

use http::{Response, StatusCode};
use hyper::body::Incoming;
use pistachiolug_http::client::is_final;
use tokio::time::Instant;

use crate::{
    call::Call,
    deadline, headers,
    permit::Permit,
    server::Record,
    state::State,
    upstream::{self, Connection, Failure},
};

/// Outcome of one attempt.
#[derive(Debug)]
pub enum Outcome {
    /// The server gave a signed answer.
    Answer(Response<Incoming>, Connection),
    /// The server did not run the request.
    NotRun(StatusCode),
    /// Nothing was sent, because the server could not be reached.
    Unsent(String),
    /// Nothing was sent, because the server has asked for a backoff, or begun to drain, since it was chosen.
    Withheld,
    /// The request may have run, but there is no valid answer.
    Lost(String),
    /// The server did not answer within the given time.
    Silent,
    /// The request had not begun when the server's version became too old to begin it.
    Outdated,
}

/// Sends a request to the server of a permit and checks the head of its answer.
///
/// Records with the permit whether the request was lost. After an answer, the caller of this function does so.
///
/// # Arguments
/// `last_event` is the id of the last event that the caller has, if a stream is resumed. The attempt ends at `until`, a time
/// of [`State::now`].
pub async fn send(
    state: &State,
    call: &Call,
    permit: &Permit,
    last_event: Option<u64>,
    until: Duration,
) -> Outcome {
    permit.record_contact(&call.fingerprint);
    let outcome = exchange(state, call, permit, last_event, until).await;
    if let Outcome::Answer(response, _) = &outcome {
        permit.record_contact(&call.fingerprint);
        permit.record_framing(headers::is_framed(response));
    }
    outcome.record(permit);
    outcome
}

impl Outcome {
    /// Records with a permit whether the request was lost; records nothing for an answer.
    pub fn record(&self, permit: &Permit) {
        match self {
            Self::Answer(..) => {}
            Self::Lost(_) | Self::Silent => permit.record_loss(),
            Self::NotRun(_) | Self::Unsent(_) | Self::Withheld | Self::Outdated => {
                permit.record_outcome();
            }
        }
    }
}

async fn exchange(
    state: &State,
    call: &Call,
    permit: &Permit,
    last_event: Option<u64>,
    until: Duration,
) -> Outcome {
    // `None` until the request is sent.
    let sent_at = Rc::new(Cell::new(None));
    // Built once the connection is open: until then the time left, or the oldest version allowed, may change.
    let build = |connect_time| {
        permit.record_connect(connect_time);
        let may_send = permit.may_send()
            && !call.body.is_released()
            && has_allowed_version(state, call, permit)
            && state.zones(call).contains(&permit.choice.record.zone);
        sent_at.set(may_send.then(|| state.now()));
        may_send.then(|| call.build_request(state, permit, last_event))
    };
    let record = permit.choice.record.clone();
    let (address, id, owner) = (record.address, call.id.clone(), Rc::clone(&permit.state));
    let late_sent_at = Rc::clone(&sent_at);
    let on_late = move |response: &Response<Incoming>| {
        if is_own_answer(&owner, &id, response) {
            record_statement(&owner, &id, &record, response, late_sent_at.get());
        }
    };
    let asked_at = Instant::now();
    let exchange = upstream::exchange(address, build, on_late);
    let (response, connection) = match wait_to_begin(call, permit, until, exchange).await {
        Ok(Ok(exchange)) => exchange,
        // The library took the body, so the server may have it.
        Ok(Err(Failure::Unsent(reason))) if call.body.is_released() => {
            return Outcome::Lost(reason);
        }
        Ok(Err(Failure::Unsent(reason))) => {
            permit.record_connect(asked_at.elapsed());
            return Outcome::Unsent(reason);
        }
        Ok(Err(Failure::Withheld)) => return Outcome::Withheld,
        Ok(Err(Failure::Lost(reason))) => return Outcome::Lost(reason),
        Err(_) if sent_at.get().is_none() => return Outcome::Withheld,
        Err(Expired::Outdated) => return Outcome::Outdated,
        Err(Expired::Deadline) => return Outcome::Silent,
    };
    permit.record_data();
    let names = &state.options.names;
    let headers = response.headers();
    let status = response.status();
    let attempt_id = headers::text(headers, &names.attempt);
    if attempt_id.is_some_and(|attempt_id| attempt_id != call.id) {
        return Outcome::Lost("answer belongs to another request".to_owned());
    }
    if !is_final(status) {
        return Outcome::Lost(format!("status {status} ends no request"));
    }
    let is_not_run = headers.contains_key(&names.not_run);
    let is_signed = headers.contains_key(&names.signature);
    if is_own_answer(state, &call.id, &response)
        && record_statement(
            state,
            &call.id,
            &permit.choice.record,
            &response,
            sent_at.get(),
        )
    {
        permit.record_reopening();
    }
    if is_not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::NotRun(status);
    }
    if !is_signed {
        return Outcome::Lost(format!("answer with status {status} is not signed"));
    }
    if let Some(sent_at) = sent_at.get().filter(|_| status.is_success()) {
        permit.record_answer_time(state.now().saturating_sub(sent_at));
    }
    Outcome::Answer(response, connection)
}

/// Returns whether the server's version may begin the request when it arrives.
fn has_allowed_version(state: &State, call: &Call, permit: &Permit) -> bool {
    let Some(model) = call.model.as_deref() else {
        return true;
    };
    let minimum = if permit.is_link_congested() {
        state.min_version_behind_congestion(model)
    } else {
        state.min_version(model)
    };
    permit.choice.record.version(model) >= minimum
}

/// Returns whether an answer is that of the server to the attempt `id`; anything else may come from something that is not
/// the server.
fn is_own_answer<T>(state: &State, id: &str, response: &Response<T>) -> bool {
    let (names, headers) = (&state.options.names, response.headers());
    if !is_final(response.status()) {
        return false;
    }
    match headers::text(headers, &names.attempt) {
        Some(attempt_id) => attempt_id == id,
        None => headers.contains_key(&names.signature) || headers.contains_key(&names.not_run),
    }
}

/// Records what a server says of itself in its answer to the attempt `id`; returns whether it takes requests.
///
/// # Arguments
/// `sent_at` is when the request was sent.
fn record_statement<T>(
    state: &State,
    id: &str,
    record: &Record,
    response: &Response<T>,
    sent_at: Option<Duration>,
) -> bool {
    let (status, headers) = (response.status(), response.headers());
    // A misdirected request may have reached another server at the address.
    if status != StatusCode::MISDIRECTED_REQUEST {
        if headers::is_draining(headers, &state.options.names) {
            state.record_draining(record, status);
        }
        state.record_limit(record, headers, sent_at.unwrap_or_default());
        state.record_headers(record, headers);
    }
    match headers::retry_after(response) {
        Ok(Some(retry_after)) => {
            state.record_backoff(record, status, retry_after);
            false
        }
        Ok(None) => status != StatusCode::SERVICE_UNAVAILABLE,
        Err(value) => {
            log::warn!(call = id, server = &*record.id, value:?; "retry delay of a server is not a number of seconds");
            false
        }
    }
}

/// Why the wait for a server ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expired {
    /// The time has passed.
    Deadline,
    /// The server's version became too old to begin the request.
    Outdated,
}

/// Waits for what comes from a server that has not begun a request.
///
/// # Errors
/// [`Expired`] at `until`, or when the request has to be withdrawn because of a newer target version; that may also be
/// set during the wait.
pub async fn wait_to_begin<T>(
    call: &Call,
    permit: &Permit,
    until: Duration,
    arrival: impl Future<Output = T>,
) -> Result<T, Expired> {
    let state = &permit.state;
    let mut arrival = pin!(arrival);
    loop {
        // Created first, so that no change is missed after the deadline was read.
        let deadlines_moved = state.wait_for_moved_deadlines();
        let begin_by = begin_deadline(state, call, permit);
        let bound = begin_by.map_or(until, |begin_by| begin_by.min(until));
        tokio::select! {
            biased;
            arrived = &mut arrival => return Ok(arrived),
            () = deadline::sleep_until(state, bound) => {
                return Err(if bound < until { Expired::Outdated } else { Expired::Deadline });
            }
            () = deadlines_moved => {}
        }
    }
}

/// Returns when a request is withdrawn from its server if it has not begun, because the server's version will be too
/// old to begin it. Returns `None` if no newer version is known.
fn begin_deadline(state: &State, call: &Call, permit: &Permit) -> Option<Duration> {
    let model = call.model.as_deref()?;
    let held = permit.choice.record.version(model)?;
    Some(state.now() + state.time_to_begin(model, held)?)
}
