//! Handling of one request at an entry: received, assigned to a server, sent, answered.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{Stream, future::Either as Source};
use http::{Request, Response, StatusCode, header};
use http_body_util::{Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use rand::RngExt;
use tokio::time::Instant;

use crate::{
    acquire, admission,
    attempts::{Attempts, lost_or_late},
    call::Call,
    headers,
    hedge::{self, Arrival, Begun},
    metrics::ANSWERED,
    permit::Permit,
    receive::{self, Denied},
    relay,
    reply::{self, Broken, Reason},
    source::Step,
    state::{State, hex},
};

/// Answer to a caller: a whole body, or one that is relayed as it arrives.
type Answer<S> = Response<Either<Full<Bytes>, StreamBody<S>>>;

/// Handles one request of a caller and returns the answer.
pub async fn serve(
    state: Rc<State>,
    request: Request<Incoming>,
) -> Answer<impl Stream<Item = Result<Frame<Bytes>, Broken>>> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let id = headers::text(&head.headers, &state.options.names.attempt);
    let id = id.unwrap_or_default().to_owned();
    match receive::receive(&state, head, body, &id, arrived).await {
        Ok(call) => forward(state, Rc::new(call)).await,
        Err(denied) => {
            let age_ms = arrived.elapsed().as_millis() as u64;
            let version = state.config().map(|config| config.version());
            let Denied {
                reason,
                retry_after,
            } = denied;
            log::info!(call = id.as_str(), reason = reason.as_str(), configuration:? = version, age_ms; "request denied");
            state.metrics.outcomes.get(reason.as_str()).inc();
            reply::build(reason, retry_after)
        }
    }
}

async fn forward(
    state: Rc<State>,
    call: Rc<Call>,
) -> Answer<impl Stream<Item = Result<Frame<Bytes>, Broken>>> {
    let mut attempts = Attempts::new(Rc::clone(&state), Rc::clone(&call), |run| {
        hedge::advance(Rc::clone(&state), Rc::clone(&call), run)
    });
    let reason = loop {
        let (permit, arrival) = match attempts.next().await {
            Ok(next) => next,
            Err(reason) => break reason,
        };
        let (response, connection) = match arrival {
            Arrival::Answer(response, connection) => (response, connection),
            Arrival::Whole(response) => {
                let status = response.status();
                if status.is_success() {
                    state.record_work(&call, &permit);
                    permit.record_success();
                } else {
                    permit.record_outcome();
                }
                log_answer(&call, &permit, status, attempts.end().len());
                state.metrics.outcomes.get(ANSWERED).inc();
                return response.map(|body| Either::Left(Full::new(body)));
            }
            Arrival::Large(large) => {
                let sends = attempts.end().len();
                let answer = large.pass_on(Rc::clone(&state), Rc::clone(&call), permit, sends);
                return answer.map(|body| Either::Right(StreamBody::new(Source::Right(body))));
            }
            Arrival::Cut(reason) => match attempts.handle_cut(&permit, reason) {
                Some(reason) => break reason,
                None => continue,
            },
            Arrival::Head(stream) => {
                record_head(&state, &call, &permit, Some(true));
                attempts.wait_for_events(permit, stream);
                continue;
            }
            Arrival::Stream(stream, first) => {
                let tried = attempts.end();
                let answer =
                    relay_stream(Rc::clone(&state), Rc::clone(&call), stream, first, tried);
                return answer.map(|body| Either::Right(StreamBody::new(Source::Left(body))));
            }
            Arrival::Failure(outcome) => match attempts.handle_failure(&permit, outcome) {
                Some(reason) => break reason,
                None => continue,
            },
        };
        let status = response.status();
        let is_backoff = matches!(headers::retry_after(&response), Ok(Some(_)));
        let is_success = (!is_backoff).then_some(!status.is_server_error());
        record_head(&state, &call, &permit, is_success);
        if status.is_server_error() {
            // The server has not crashed.
            permit.record_outcome();
            if attempts.try_repeat(&permit, "failed", status.as_str()) {
                continue;
            }
        }
        attempts.read_body(permit, response, connection);
    };
    let may_have_run = attempts.may_have_run();
    refuse(&state, &call, reason, may_have_run, attempts.end().len())
}

/// Records the arrival of the head of a server's answer. A server that asks for a backoff has neither succeeded nor
/// failed.
fn record_head(state: &State, call: &Call, permit: &Permit, is_success: Option<bool>) {
    if let Some(is_success) = is_success {
        permit.record_answer(is_success);
    }
    call.release_body();
    let age = call.arrived.elapsed();
    state.metrics.head_seconds.observe(age.as_secs_f64());
}

fn relay_stream(
    state: Rc<State>,
    call: Rc<Call>,
    stream: Begun,
    first: Step,
    tried: Vec<Arc<str>>,
) -> Response<impl Stream<Item = Result<Frame<Bytes>, Broken>>> {
    let Begun { mut head, source } = stream;
    headers::remove_connection(&mut head);
    // The first server's length is not valid if the stream is resumed elsewhere.
    head.headers.remove(header::CONTENT_LENGTH);
    let content_type = headers::content_type(&head.headers);
    let stream = relay::stream(state, call, source, first, tried, content_type);
    Response::from_parts(head, stream)
}

/// Builds and logs the final answer to a request that no server answered.
fn refuse<S>(
    state: &State,
    call: &Call,
    reason: Reason,
    may_have_run: bool,
    sends: usize,
) -> Answer<S> {
    // These tell the caller that the request did not run, which must be true.
    let reason = match reason {
        Reason::Overloaded
        | Reason::Backoff
        | Reason::Limited
        | Reason::Unavailable
        | Reason::Stopping
        | Reason::CrashSuspect
            if may_have_run =>
        {
            lost_or_late(call)
        }
        reason => reason,
    };
    let retry_after = match reason {
        Reason::Overloaded | Reason::Backoff | Reason::Limited | Reason::Unavailable => {
            let point = rand::rng().random_range(0.0..1.0);
            let reopens_in = acquire::time_to_reopening(state, call, &[]);
            Some(admission::retry_after(call.time_left(), reopens_in, point))
        }
        // Another entry takes the request at once.
        Reason::Stopping => Some(Duration::ZERO),
        Reason::CrashSuspect => state.suspect_delay(&call.fingerprint),
        _ => None,
    };
    let come_back_ms = retry_after.map_or(0, |delay| delay.as_millis() as u64);
    let route = &call.authorized.route;
    let part = state.find_named_part(&call.fingerprint);
    let part_id = part.and_then(|part| call.prefix.ids().nth(part.position.into()));
    log::info!(
        call = call.id.as_str(),
        content:% = call.content.short(),
        parts:% = call.prefix,
        part:% = part.map_or_else(String::new, |part| hex(part.id)),
        part_id:% = part_id.unwrap_or_default(),
        route = &*route.name,
        reason = reason.as_str(),
        sends,
        fresh = call.is_first_attempt,
        come_back_ms,
        age_ms = call.age_ms();
        "request refused"
    );
    state.metrics.outcomes.get(reason.as_str()).inc();
    reply::build(reason, retry_after)
}

/// Logs a request that a server answered.
pub fn log_answer(call: &Call, permit: &Permit, status: StatusCode, sends: usize) {
    log::info!(
        call = call.id.as_str(),
        server = &*permit.choice.record.id,
        status = status.as_u16(),
        sends,
        age_ms = call.age_ms();
        "request answered"
    );
}
