//! One send of a request to a server.

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

/// What came of one send.
#[derive(Debug)]
pub enum Outcome {
    /// A server's signed answer.
    Answer(Response<Incoming>, Connection),
    /// The server did not run the request.
    NotRun(StatusCode),
    /// Nothing was sent.
    Unsent(String),
    /// The request may have run and there is no answer to pass on.
    Lost(String),
    /// The server stayed silent for as long as it was given.
    Silent,
    /// The request had not begun when its server's version could no longer begin it.
    Outdated,
}

/// Sends a request to the server of a ticket and judges the head of its answer.
pub async fn send(
    state: &State,
    call: &Call,
    permit: &Permit,
    last_event: Option<u64>,
    until: Instant,
) -> Outcome {
    let request = call.build_request(state, permit, last_event);
    let exchange = upstream::exchange(permit.choice.record.address, request);
    let outdated = begin_deadline(state, call, permit);
    let bound = outdated.map_or(until, |outdated| outdated.min(until));
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
    let echoed = headers::text(headers, &names.attempt);
    if echoed.is_some_and(|echoed| echoed != call.id) {
        return Outcome::Lost("answer of another request".to_owned());
    }
    if headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::NotRun(status);
    }
    if !headers.contains_key(&names.signature) {
        return Outcome::Lost(format!("unsigned answer {status}"));
    }
    Outcome::Answer(response, connection)
}

/// Returns when a request that has not begun at its server is taken back, because the server's version could begin it too
/// late.
pub fn begin_deadline(state: &State, call: &Call, permit: &Permit) -> Option<Instant> {
    let model = call.model.as_deref()?;
    let held = permit.choice.record.version(model)?;
    Some(Instant::now() + state.time_to_begin(model, held)?)
}
