//! Handling of one request at an entry: received, assigned to a server, sent, answered.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::Stream;
use http::{Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Either, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use rand::RngExt;
use tokio::time::{Instant, timeout_at};

use crate::{
    acquire, admission,
    call::Call,
    headers,
    metrics::ANSWERED,
    permit::Permit,
    receive, relay,
    reply::{self, Broken, Reason},
    send::{Outcome, send},
    state::{State, hex},
    upstream::Connection,
};

/// Largest number of servers that could not be reached for one request. Nothing was sent to them, so they don't count
/// as attempts.
const MAX_UNSENT: u32 = 4;

/// Multiple of the target latency after which a server that does not answer an idempotent request is given up.
const SILENCE_PER_TARGET: f64 = 2.5;

/// Time without a stream's first event after which the stream is started at another server.
const FIRST_EVENT_SILENCE: Duration = Duration::from_millis(1200);

/// Answer to a caller: a whole body or a relayed stream.
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
            log::info!(call = id.as_str(), reason = denied.as_str(), configuration:? = version, age_ms; "request denied");
            state.metrics.outcomes.get(denied.as_str()).inc();
            let retry_after = (denied == Reason::Starting).then_some(STARTING_RETRY_AFTER);
            reply::build(denied, retry_after)
        }
    }
}

/// Retry delay for callers of an entry that has no configuration yet.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Progress of a request over its attempts.
#[derive(Debug, Default)]
struct Progress {
    /// Ids of the servers that were sent the request.
    tried: Vec<Arc<str>>,
    /// Number of servers that could not be reached.
    unsent: u32,
    /// Whether a server may have run the request.
    may_have_run: bool,
}

async fn forward(
    state: Rc<State>,
    call: Rc<Call>,
) -> Answer<impl Stream<Item = Result<Frame<Bytes>, Broken>>> {
    let mut progress = Progress::default();
    let reason = loop {
        if state.suspect_delay(&call.fingerprint).is_some() {
            break Reason::CrashSuspect;
        }
        let permit = match acquire::acquire_permit(&state, &call, &progress.tried).await {
            Ok(permit) => permit,
            Err(reason) => break reason,
        };
        // Another request with the content may have crashed a server while this one waited.
        if !state.try_run(&call.fingerprint) {
            break Reason::CrashSuspect;
        }
        let until = silence_deadline(&call, &progress);
        let outcome = send(&state, &call, &permit, None, until).await;
        let (response, connection) = match outcome {
            Outcome::Answer(response, connection) => (response, connection),
            outcome => match handle_failure(&state, &call, &permit, &mut progress, outcome) {
                Some(reason) => break reason,
                None => continue,
            },
        };
        let status = response.status();
        progress.tried.push(Arc::clone(&permit.choice.record.id));
        progress.may_have_run = true;
        permit.record_answer(!status.is_server_error());
        state
            .metrics
            .head_seconds
            .observe(call.arrived.elapsed().as_secs_f64());
        if status.is_server_error() {
            // The server has not crashed.
            permit.record_outcome();
        }
        if status.is_server_error() && try_take_retry(&state, &call, &progress) {
            log_failed_attempt(&call, &permit, "failed", status.as_str());
            state.metrics.retries.get("failed").inc();
            continue;
        }
        if call.is_stream() && status.is_success() {
            return relay_stream(state, call, permit, progress.tried, response, connection);
        }
        match read_whole(&call, response).await {
            Ok(response) => {
                if status.is_success() {
                    permit.record_success();
                } else {
                    permit.record_outcome();
                }
                log_answer(&call, &permit, status, progress.tried.len());
                state.metrics.outcomes.get(ANSWERED).inc();
                return response.map(|body| Either::Left(Full::new(body)));
            }
            Err(error) => {
                permit.record_failure();
                permit.record_loss();
                log_failed_attempt(&call, &permit, "lost", &error);
                if !try_take_retry(&state, &call, &progress) {
                    break lost_or_late(&call);
                }
                state.metrics.retries.get("lost").inc();
            }
        }
    };
    refuse(&state, &call, reason, &progress)
}

fn relay_stream(
    state: Rc<State>,
    call: Rc<Call>,
    permit: Permit,
    tried: Vec<Arc<str>>,
    response: Response<Incoming>,
    connection: Connection,
) -> Answer<impl Stream<Item = Result<Frame<Bytes>, Broken>>> {
    let (mut head, body) = response.into_parts();
    headers::remove_hop_by_hop(&mut head.headers);
    // The first server's length is not valid if the stream is resumed elsewhere.
    head.headers.remove(header::CONTENT_LENGTH);
    let stream = relay::stream(state, call, permit, tried, body, connection);
    Response::from_parts(head, Either::Right(StreamBody::new(stream)))
}

/// Reads the whole body of an answer.
async fn read_whole(call: &Call, response: Response<Incoming>) -> Result<Response<Bytes>, String> {
    let (mut head, body) = response.into_parts();
    let body = timeout_at(call.deadline, body.collect()).await;
    let body = body.map_err(|_| "answer incomplete at the deadline".to_owned())?;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    headers::remove_hop_by_hop(&mut head.headers);
    Ok(Response::from_parts(head, body))
}

/// Returns until when a server may stay silent: until the deadline if the request can't be sent again.
fn silence_deadline(call: &Call, progress: &Progress) -> Instant {
    let route = &call.authorized.route;
    let is_last = progress.tried.len() as u32 + 1 >= route.attempts;
    if !route.is_repeatable() || is_last {
        return call.deadline;
    }
    let silence = if call.is_stream() {
        FIRST_EVENT_SILENCE
    } else {
        route.target_latency.mul_f64(SILENCE_PER_TARGET)
    };
    call.deadline.min(Instant::now() + silence)
}

/// Takes a retry from the budget if the request may be sent again although it may have run.
fn try_take_retry(state: &State, call: &Call, progress: &Progress) -> bool {
    let route = &call.authorized.route;
    route.is_repeatable()
        && (progress.tried.len() as u32) < route.attempts
        && !call.time_left().is_zero()
        && state.take_retry(&call.service)
}

/// Handles an attempt without an answer. Returns `None` if the request is sent again, or the reason of the final
/// answer.
fn handle_failure(
    state: &State,
    call: &Call,
    permit: &Permit,
    progress: &mut Progress,
    outcome: Outcome,
) -> Option<Reason> {
    let server = Arc::clone(&permit.choice.record.id);
    let (cause, detail) = match outcome {
        Outcome::Answer(..) => return None,
        Outcome::Unsent(reason) => {
            permit.record_failure();
            progress.unsent += 1;
            log_failed_attempt(call, permit, "unsent", &reason);
            state.metrics.retries.get("unsent").inc();
            return (progress.unsent >= MAX_UNSENT).then_some(Reason::Unavailable);
        }
        Outcome::NotRun(status) => {
            if status == StatusCode::MISDIRECTED_REQUEST {
                permit.record_mismatch();
            } else {
                permit.record_full();
            }
            progress.tried.push(server);
            log_failed_attempt(call, permit, "not-run", status.as_str());
            let may_retry = (progress.tried.len() as u32) < call.authorized.route.attempts
                && !call.time_left().is_zero()
                && state.take_retry(&call.service);
            state
                .metrics
                .retries
                .get("not-run")
                .inc_by(may_retry.into());
            return (!may_retry).then_some(Reason::Overloaded);
        }
        Outcome::Lost(reason) => ("lost", reason),
        Outcome::Silent => ("silent", String::new()),
        Outcome::Outdated => ("outdated", String::new()),
    };
    if cause != "outdated" {
        permit.record_failure();
        permit.record_answer(false);
    }
    progress.tried.push(server);
    progress.may_have_run = true;
    log_failed_attempt(call, permit, cause, &detail);
    if try_take_retry(state, call, progress) {
        state.metrics.retries.get(cause).inc();
        return None;
    }
    Some(lost_or_late(call))
}

/// Returns the reason for a request that may have run: late once its deadline has passed, otherwise lost.
fn lost_or_late(call: &Call) -> Reason {
    if call.time_left().is_zero() {
        Reason::Late
    } else {
        Reason::Lost
    }
}

/// Builds and logs the final answer to a request that no server answered.
fn refuse<S>(state: &State, call: &Call, reason: Reason, progress: &Progress) -> Answer<S> {
    // These tell the caller that the request did not run, which must be true.
    let reason = match reason {
        Reason::Overloaded | Reason::Unavailable | Reason::CrashSuspect
            if progress.may_have_run =>
        {
            lost_or_late(call)
        }
        reason => reason,
    };
    let retry_after = match reason {
        Reason::Overloaded | Reason::Unavailable => {
            let point = rand::rng().random_range(0.0..1.0);
            Some(admission::retry_after(call.time_left(), point))
        }
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
        sends = progress.tried.len(),
        fresh = call.is_first_attempt,
        come_back_ms,
        age_ms = call.age_ms();
        "request refused"
    );
    state.metrics.outcomes.get(reason.as_str()).inc();
    reply::build(reason, retry_after)
}

fn log_failed_attempt(call: &Call, permit: &Permit, cause: &'static str, detail: &str) {
    log::info!(
        call = call.id.as_str(),
        content:% = call.content.short(),
        parts:% = call.prefix,
        server = &*permit.choice.record.id,
        cause,
        detail,
        age_ms = call.age_ms();
        "attempt without answer"
    );
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
