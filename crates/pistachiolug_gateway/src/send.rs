//! One attempt of a request at a server.

use http::{Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::{
    call::Call,
    headers,
    permit::Permit,
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
/// `last_event` is the id of the last event that the caller has, if a stream is resumed. The attempt ends at `until`.
pub async fn send(
    state: &State,
    call: &Call,
    permit: &Permit,
    last_event: Option<u64>,
    until: Instant,
) -> Outcome {
    permit.record_contact(&call.fingerprint);
    let outcome = exchange(state, call, permit, last_event, until).await;
    match &outcome {
        Outcome::Answer(response, _) => {
            permit.record_contact(&call.fingerprint);
            permit.record_framing(headers::is_framed(response));
        }
        Outcome::Lost(_) | Outcome::Silent => permit.record_loss(),
        Outcome::NotRun(_) | Outcome::Unsent(_) | Outcome::Outdated => permit.record_outcome(),
    }
    outcome
}

async fn exchange(
    state: &State,
    call: &Call,
    permit: &Permit,
    last_event: Option<u64>,
    until: Instant,
) -> Outcome {
    let request = call.build_request(state, permit, last_event);
    let exchange = upstream::exchange(permit.choice.record.address, request);
    let begin_by = begin_deadline(state, call, permit);
    let bound = begin_by.map_or(until, |begin_by| begin_by.min(until));
    let (response, connection) = match timeout_at(bound, exchange).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(Failure::Unsent(reason))) => return Outcome::Unsent(reason),
        Ok(Err(Failure::Lost(reason))) => return Outcome::Lost(reason),
        Err(_) if bound < until => return Outcome::Outdated,
        Err(_) => return Outcome::Silent,
    };
    let names = &state.options.names;
    let headers = response.headers();
    let status = response.status();
    let attempt_id = headers::text(headers, &names.attempt);
    if attempt_id.is_some_and(|attempt_id| attempt_id != call.id) {
        return Outcome::Lost("answer belongs to another request".to_owned());
    }
    if headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::NotRun(status);
    }
    if !headers.contains_key(&names.signature) {
        return Outcome::Lost(format!("answer with status {status} is not signed"));
    }
    Outcome::Answer(response, connection)
}

/// Returns when a request is withdrawn from its server if it has not begun, because the server's version will be too
/// old to begin it. Returns `None` if no newer version is known.
pub fn begin_deadline(state: &State, call: &Call, permit: &Permit) -> Option<Instant> {
    let model = call.model.as_deref()?;
    let held = permit.choice.record.version(model)?;
    Some(Instant::now() + state.time_to_begin(model, held)?)
}
