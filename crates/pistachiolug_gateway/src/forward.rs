//! Life of one request at an entry: admitted, placed, sent, answered.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::Stream;
use http::{Request, Response, StatusCode, header, request};
use http_body_util::{BodyExt, Either, Full, LengthLimitError, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use rand::RngExt;
use tokio::time::{Instant, timeout_at};

use crate::{
    admission::{self, Applicant, Verdict},
    board::Need,
    catalog::{Admitted, Catalog, Denial, Kind},
    head::{self, Send, Tokens},
    line::Rank,
    metrics::ANSWERED,
    relay,
    reply::{self, Broken, Reason},
    state::{State, engine},
    ticket::{Open, Ticket},
    upstream::{self, Failure, Link},
};

/// Time before the deadline at which the entry answers by itself, so that the answer arrives in time.
const ANSWER_MARGIN: Duration = Duration::from_millis(25);

/// Largest number of servers that could not be reached for one request; nothing was sent to them.
const MOST_UNSENT: u32 = 4;

/// Multiple of the aim after which a server that stays silent on an idempotent request is given up.
const SILENCE_PER_AIM: f64 = 2.5;

/// Shortest silence before a stream's first event after which it is begun elsewhere.
const FIRST_EVENT_SILENCE: Duration = Duration::from_millis(1200);

/// Added to the priority of requests that are late already.
const LATE_PRIORITY: u8 = 4;

/// Largest priority that engines know.
const PRIORITY_MOST: u8 = 9;

/// One request of a caller.
#[derive(Debug)]
pub struct Call {
    /// Id of the caller's attempt.
    pub id: String,
    /// Head as the caller sent it.
    pub head: request::Parts,
    /// Whole body.
    pub body: Bytes,
    /// Route and workspace.
    pub admitted: Admitted,
    /// Service that was drawn for the request.
    pub service: Arc<str>,
    /// Model, for requests to engines.
    pub model: Option<Arc<str>>,
    /// Size, for requests to engines.
    pub tokens: Tokens,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the caller has to have an answer.
    pub deadline: Instant,
    /// Whether it can be on time still.
    pub fresh: bool,
    /// Counts the request while it lives.
    pub open: Open,
}

impl Call {
    /// Returns the time until the deadline.
    pub fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the milliseconds since the request arrived.
    pub fn age_ms(&self) -> u64 {
        self.arrived.elapsed().as_millis() as u64
    }

    /// Returns what the request needs of its server now.
    pub fn need(&self, state: &State, tried: &[Arc<str>]) -> Need {
        let model = self.model.clone();
        Need {
            service: Arc::clone(&self.service),
            newest: model
                .as_deref()
                .and_then(|model| state.newest_version(model)),
            oldest: model
                .as_deref()
                .and_then(|model| state.oldest_version(model)),
            model,
            prompt: self.tokens.prompt,
            tried: tried.to_vec(),
            freed: None,
        }
    }

    fn is_stream(&self) -> bool {
        self.admitted.route.kind == Kind::Stream
    }

    fn rank(&self) -> Rank {
        Rank {
            late: !self.fresh,
            priority: self.admitted.priority(),
        }
    }

    fn engine_priority(&self) -> Option<u8> {
        self.model.as_ref()?;
        let late = if self.fresh { 0 } else { LATE_PRIORITY };
        Some(
            self.admitted
                .priority()
                .saturating_add(late)
                .min(PRIORITY_MOST),
        )
    }

    /// Builds what is sent to a server.
    ///
    /// # Arguments
    /// `last_event` is the id of the last event that the caller has, when a stream goes on.
    pub fn outgoing(
        &self,
        state: &State,
        ticket: &Ticket,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let model = self.model.as_deref();
        let send = Send {
            admitted: &self.admitted,
            choice: &ticket.choice,
            left: self.left(),
            // Only under a bound: a list that lags would turn sound sends away.
            version: model
                .filter(|model| state.oldest_version(model).is_some())
                .and_then(|model| ticket.choice.record.version(model)),
            priority: self.engine_priority(),
            last_event,
        };
        let headers = head::outgoing(&self.head, &state.options.names, &send);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        // Servers are addressed by path; the host stands in its header.
        if let Some(path) = self.head.uri.path_and_query() {
            *request.uri_mut() = path.as_str().parse().unwrap_or_default();
        }
        *request.headers_mut() = headers;
        request
    }
}

/// What came of one send.
#[derive(Debug)]
pub enum Outcome {
    /// A server's signed answer.
    Answer(Response<Incoming>, Link),
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
    ticket: &Ticket,
    last_event: Option<u64>,
    until: Instant,
) -> Outcome {
    let request = call.outgoing(state, ticket, last_event);
    let exchange = upstream::exchange(ticket.choice.record.address, request);
    let outdated = outdated(state, call, ticket);
    let bound = outdated.map_or(until, |outdated| outdated.min(until));
    let (response, link) = match timeout_at(bound, exchange).await {
        Ok(Ok(exchange)) => exchange,
        Ok(Err(Failure::Unsent(reason))) => return Outcome::Unsent(reason),
        Ok(Err(Failure::Lost(reason))) => return Outcome::Lost(reason),
        Err(_) if bound < until => return Outcome::Outdated,
        Err(_) => return Outcome::Silent,
    };
    let names = &state.options.names;
    let headers = response.headers();
    let status = response.status();
    let echoed = head::text(headers, &names.attempt);
    if echoed.is_some_and(|echoed| echoed != call.id) {
        return Outcome::Lost("answer of another request".to_owned());
    }
    if headers.contains_key(&names.not_run) || status == StatusCode::MISDIRECTED_REQUEST {
        return Outcome::NotRun(status);
    }
    if !headers.contains_key(&names.signature) {
        return Outcome::Lost(format!("unsigned answer {status}"));
    }
    Outcome::Answer(response, link)
}

/// Returns when a request that has not begun at its server is taken back, because the server's version could begin it too
/// late.
pub fn outdated(state: &State, call: &Call, ticket: &Ticket) -> Option<Instant> {
    let model = call.model.as_deref()?;
    let held = ticket.choice.record.version(model)?;
    Some(Instant::now() + state.begin_within(model, held)?)
}

/// Body of a stream that is passed on.
type Answer<S> = Response<Either<Full<Bytes>, StreamBody<S>>>;

/// Answers one request.
pub async fn serve(
    state: Rc<State>,
    request: Request<Incoming>,
) -> Answer<impl Stream<Item = Result<Frame<Bytes>, Broken>>> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let id = head::text(&head.headers, &state.options.names.attempt);
    let id = id.unwrap_or_default().to_owned();
    match admit(&state, head, body, &id, arrived).await {
        Ok(call) => forward(state, Rc::new(call)).await,
        Err(denied) => {
            let age_ms = arrived.elapsed().as_millis() as u64;
            let version = state.catalog().map(|catalog| catalog.version());
            log::info!(call = id.as_str(), reason = denied.as_str(), configuration:? = version, age_ms; "request denied");
            state.metrics.outcomes.of(denied.as_str()).inc();
            let come_back = (denied == Reason::Starting).then_some(STARTING_RETURN);
            reply::own(denied, come_back)
        }
    }
}

/// When callers come back to an entry that knows no configuration yet.
const STARTING_RETURN: Duration = Duration::from_millis(300);

async fn admit(
    state: &Rc<State>,
    head: request::Parts,
    body: Incoming,
    id: &str,
    arrived: Instant,
) -> Result<Call, Reason> {
    let open = state.open();
    let catalog = state.catalog().ok_or(Reason::Starting)?;
    let admitted = look_up(&catalog, state, &head)?;
    let names = &state.options.names;
    let route = &admitted.route;
    let limit = head::deadline(&head.headers, names).unwrap_or(route.timeout);
    let deadline = arrived + limit.min(route.timeout).saturating_sub(ANSWER_MARGIN);
    let body = read_body(body, catalog.limits().body_bytes, deadline).await?;
    let fresh = state.is_fresh(&route.name, limit);
    let service = Arc::clone(route.draw(&mut rand::rng()));
    let model = engine(&catalog, &service)
        .and_then(|_| head::text(&head.headers, &names.model))
        .map(Arc::from);
    let tokens = head::tokens(&head.headers, names);
    state.earn(&service);
    Ok(Call {
        id: id.to_owned(),
        head,
        body,
        admitted,
        service,
        model,
        tokens,
        arrived,
        deadline,
        fresh,
        open,
    })
}

fn look_up(catalog: &Catalog, state: &State, head: &request::Parts) -> Result<Admitted, Reason> {
    let host = head::text(&head.headers, &header::HOST).or(head.uri.host());
    let key = head::text(&head.headers, &state.options.names.key);
    let admitted = catalog.admit(host.unwrap_or_default(), head.uri.path(), key);
    admitted.map_err(|denial| match denial {
        Denial::NoRoute => Reason::NoRoute,
        Denial::BadKey => Reason::BadKey,
    })
}

async fn read_body(body: Incoming, most: usize, deadline: Instant) -> Result<Bytes, Reason> {
    match timeout_at(deadline, Limited::new(body, most).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Reason::TooLarge),
        Ok(Err(_)) | Err(_) => Err(Reason::BadBody),
    }
}

/// Progress of a request over its sends.
#[derive(Debug, Default)]
struct Progress {
    /// Servers that were sent the request.
    tried: Vec<Arc<str>>,
    /// Servers that could not be reached.
    unsent: u32,
    /// Whether a server may have run it.
    may_have_run: bool,
}

async fn forward(
    state: Rc<State>,
    call: Rc<Call>,
) -> Answer<impl Stream<Item = Result<Frame<Bytes>, Broken>>> {
    let mut progress = Progress::default();
    let reason = loop {
        let ticket = match place(&state, &call, &progress).await {
            Ok(ticket) => ticket,
            Err(reason) => break reason,
        };
        let until = patience(&call, &progress);
        let outcome = send(&state, &call, &ticket, None, until).await;
        let (response, link) = match outcome {
            Outcome::Answer(response, link) => (response, link),
            outcome => match after(&state, &call, &ticket, &mut progress, outcome) {
                Some(reason) => break reason,
                None => continue,
            },
        };
        let status = response.status();
        progress.tried.push(Arc::clone(&ticket.choice.record.id));
        progress.may_have_run = true;
        ticket.answered(!status.is_server_error());
        state
            .metrics
            .heads
            .observe(call.arrived.elapsed().as_secs_f64());
        if status.is_server_error() && may_repeat(&state, &call, &progress) {
            log_retry(&call, &ticket, "failed", status.as_str());
            state.metrics.retries.of("failed").inc();
            continue;
        }
        if call.is_stream() && status.is_success() {
            return stream(state, call, ticket, progress.tried, response, link);
        }
        match whole(&call, response).await {
            Ok(response) => {
                log_answer(&call, &ticket, status, progress.tried.len());
                state.metrics.outcomes.of(ANSWERED).inc();
                return response.map(|body| Either::Left(Full::new(body)));
            }
            Err(error) => {
                ticket.strike();
                log_retry(&call, &ticket, "lost", &error);
                if !may_repeat(&state, &call, &progress) {
                    break lost_or_late(&call);
                }
                state.metrics.retries.of("lost").inc();
            }
        }
    };
    refuse(&state, &call, reason, &progress)
}

fn stream(
    state: Rc<State>,
    call: Rc<Call>,
    ticket: Ticket,
    tried: Vec<Arc<str>>,
    response: Response<Incoming>,
    link: Link,
) -> Answer<impl Stream<Item = Result<Frame<Bytes>, Broken>>> {
    let (mut head, body) = response.into_parts();
    head::strip(&mut head.headers);
    // The length of what follows is not the first server's to say once the stream may go on elsewhere.
    head.headers.remove(header::CONTENT_LENGTH);
    let stream = relay::stream(state, call, ticket, tried, body, link);
    Response::from_parts(head, Either::Right(StreamBody::new(stream)))
}

/// Reads a whole answer.
async fn whole(call: &Call, response: Response<Incoming>) -> Result<Response<Bytes>, String> {
    let (mut head, body) = response.into_parts();
    let body = timeout_at(call.deadline, body.collect()).await;
    let body = body.map_err(|_| "answer not whole in time".to_owned())?;
    let body = body.map_err(|error| error.to_string())?.to_bytes();
    head::strip(&mut head.headers);
    Ok(Response::from_parts(head, body))
}

/// Returns until when a server may stay silent.
fn patience(call: &Call, progress: &Progress) -> Instant {
    let route = &call.admitted.route;
    let last = progress.tried.len() as u32 + 1 >= route.attempts;
    if !route.repeatable() || last {
        return call.deadline;
    }
    let silence = if call.is_stream() {
        FIRST_EVENT_SILENCE
    } else {
        route.aim.mul_f64(SILENCE_PER_AIM)
    };
    call.deadline.min(Instant::now() + silence)
}

fn may_repeat(state: &State, call: &Call, progress: &Progress) -> bool {
    let route = &call.admitted.route;
    route.repeatable()
        && (progress.tried.len() as u32) < route.attempts
        && !call.left().is_zero()
        && state.spend(&call.service)
}

/// Decides after a send without an answer to pass on: `None` to send again, or the reason of the final answer.
fn after(
    state: &State,
    call: &Call,
    ticket: &Ticket,
    progress: &mut Progress,
    outcome: Outcome,
) -> Option<Reason> {
    let server = Arc::clone(&ticket.choice.record.id);
    let (cause, detail) = match outcome {
        Outcome::Answer(..) => return None,
        Outcome::Unsent(reason) => {
            ticket.strike();
            progress.unsent += 1;
            log_retry(call, ticket, "unsent", &reason);
            state.metrics.retries.of("unsent").inc();
            return (progress.unsent >= MOST_UNSENT).then_some(Reason::Unavailable);
        }
        Outcome::NotRun(status) => {
            ticket.full();
            progress.tried.push(server);
            log_retry(call, ticket, "not-run", status.as_str());
            let again = (progress.tried.len() as u32) < call.admitted.route.attempts
                && !call.left().is_zero()
                && state.spend(&call.service);
            state.metrics.retries.of("not-run").inc_by(again.into());
            return (!again).then_some(Reason::Overloaded);
        }
        Outcome::Lost(reason) => ("lost", reason),
        Outcome::Silent => ("silent", String::new()),
        Outcome::Outdated => ("outdated", String::new()),
    };
    if cause != "outdated" {
        ticket.strike();
        ticket.answered(false);
    }
    progress.tried.push(server);
    progress.may_have_run = true;
    log_retry(call, ticket, cause, &detail);
    if may_repeat(state, call, progress) {
        state.metrics.retries.of(cause).inc();
        return None;
    }
    Some(lost_or_late(call))
}

fn lost_or_late(call: &Call) -> Reason {
    if call.left().is_zero() {
        Reason::Late
    } else {
        Reason::Lost
    }
}

/// Finds a place at a server, waiting in line if that promises a place in time.
async fn place(state: &Rc<State>, call: &Call, progress: &Progress) -> Result<Ticket, Reason> {
    if call.left().is_zero() {
        return Err(Reason::Overloaded);
    }
    let need = call.need(state, &progress.tried);
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
    let places = state.places(&call.service);
    let verdict = if servable || progress.tried.is_empty() {
        admission::decide(&applicant, places)
    } else {
        Verdict::Refuse
    };
    let Verdict::Wait(patience) = verdict else {
        log::info!(call = call.id.as_str(), service = &*call.service, ahead, places, fresh = call.fresh, servable; "no place in time");
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
    log::info!(call = call.id.as_str(), service = &*call.service, ahead, places, patience_ms, servable; "no place came free");
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
    place: crate::line::Place,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.state.leave(self.service, self.place);
    }
}

fn refuse<S>(state: &State, call: &Call, reason: Reason, progress: &Progress) -> Answer<S> {
    // A promise that the request did not run must be true.
    let reason = match reason {
        Reason::Overloaded | Reason::Unavailable if progress.may_have_run => lost_or_late(call),
        reason => reason,
    };
    let come_back = match reason {
        Reason::Overloaded | Reason::Unavailable => {
            let point = rand::rng().random_range(0.0..1.0);
            Some(admission::come_back(call.left(), point))
        }
        _ => None,
    };
    let come_back_ms = come_back.map_or(0, |after| after.as_millis() as u64);
    let route = &call.admitted.route;
    log::info!(
        call = call.id.as_str(),
        route = &*route.name,
        reason = reason.as_str(),
        sends = progress.tried.len(),
        fresh = call.fresh,
        come_back_ms,
        age_ms = call.age_ms();
        "request refused"
    );
    state.metrics.outcomes.of(reason.as_str()).inc();
    reply::own(reason, come_back)
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

fn log_retry(call: &Call, ticket: &Ticket, cause: &'static str, detail: &str) {
    log::info!(
        call = call.id.as_str(),
        server = &*ticket.choice.record.id,
        cause,
        detail,
        age_ms = call.age_ms();
        "send without answer"
    );
}

/// Writes the line of a request that a server answered.
pub fn log_answer(call: &Call, ticket: &Ticket, status: StatusCode, sends: usize) {
    log::info!(
        call = call.id.as_str(),
        server = &*ticket.choice.record.id,
        status = status.as_u16(),
        sends,
        age_ms = call.age_ms();
        "request answered"
    );
}
