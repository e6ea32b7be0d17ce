//! Passes a stream's events on as they arrive and lets it go on at another server when one breaks off.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{Stream, stream::unfold};
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use tokio::time::{Instant, timeout_at};

use crate::{
    call::Call,
    event::Splitter,
    metrics::{ANSWERED, BROKEN, CALLER_LEFT},
    permit::Permit,
    queue::Rank,
    reply::Broken,
    send::{self, Outcome},
    state::State,
    upstream::Connection,
};

/// Multiple of a route's longest pause after which a silent server is left, if another may go on.
const SILENCE_PER_PAUSE: f64 = 4.0;

/// Longest wait for a place at the server at which a stream goes on.
const RESUME_WAIT: Duration = Duration::from_millis(600);

/// Rank of a stream that goes on: it goes before requests that have not begun.
const RESUME_RANK: Rank = Rank {
    is_late: false,
    priority: 0,
};

struct Relay {
    state: Rc<State>,
    call: Rc<Call>,
    /// Present while a server works on the stream.
    source: Option<Source>,
    /// Servers that were sent the request.
    tried: Vec<Arc<str>>,
    splitter: Splitter,
    /// Time to the first event.
    first: Option<Duration>,
    /// When the last events were passed on, and the longest pause between any two.
    last: Option<Instant>,
    longest_pause: Duration,
    ended: bool,
}

/// Server that the stream comes from.
struct Source {
    permit: Permit,
    body: Incoming,
    /// Closes the connection when dropped.
    _connection: Connection,
    sent: Instant,
    /// When the request is taken back if it has not begun.
    outdated: Option<Instant>,
    /// Events seen before this source.
    before: u64,
    heard: Instant,
}

/// What a source gave.
enum Step {
    Events(Bytes),
    Whole,
    Broke(String),
    /// The deadline has passed.
    Late,
}

/// Returns the events of a stream, whole ones only.
pub fn stream(
    state: Rc<State>,
    call: Rc<Call>,
    permit: Permit,
    tried: Vec<Arc<str>>,
    body: Incoming,
    connection: Connection,
) -> impl Stream<Item = Result<Frame<Bytes>, Broken>> {
    let outdated = send::begin_deadline(&state, &call, &permit);
    let relay = Relay {
        state,
        source: Some(Source::new(
            permit,
            body,
            connection,
            call.arrived,
            outdated,
            0,
        )),
        call,
        tried,
        splitter: Splitter::default(),
        first: None,
        last: None,
        longest_pause: Duration::ZERO,
        ended: false,
    };
    unfold(relay, |mut relay| async move {
        let item = relay.next().await?;
        Some((item.map(Frame::data), relay))
    })
}

impl Source {
    fn new(
        permit: Permit,
        body: Incoming,
        connection: Connection,
        sent: Instant,
        outdated: Option<Instant>,
        before: u64,
    ) -> Self {
        Self {
            outdated,
            permit,
            body,
            _connection: connection,
            sent,
            before,
            heard: Instant::now(),
        }
    }
}

impl Relay {
    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        if self.ended {
            return None;
        }
        loop {
            let reason = match self.step().await {
                Step::Events(events) => return Some(Ok(events)),
                Step::Whole => {
                    self.finish(ANSWERED);
                    return None;
                }
                Step::Late => {
                    self.finish(BROKEN);
                    return Some(Err(Broken));
                }
                Step::Broke(reason) => reason,
            };
            if !self.resume(&reason).await {
                self.finish(BROKEN);
                return Some(Err(Broken));
            }
        }
    }

    async fn step(&mut self) -> Step {
        let until = self.patience();
        let Some(source) = self.source.as_mut() else {
            return Step::Broke("no server".to_owned());
        };
        loop {
            let frame = match timeout_at(until, source.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Step::Broke(error.to_string()),
                Ok(None) if self.splitter.has_partial() => {
                    return Step::Broke("ended inside an event".to_owned());
                }
                Ok(None) => return Step::Whole,
                Err(_) if Instant::now() >= self.call.deadline => return Step::Late,
                Err(_) => return Step::Broke("silent".to_owned()),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            source.heard = Instant::now();
            match self.splitter.push(&data) {
                Ok(Some(events)) => {
                    self.note_events();
                    return Step::Events(events);
                }
                Ok(None) => {}
                Err(_) => return Step::Broke("event too large".to_owned()),
            }
        }
    }

    /// Notes the times of events, and the first one of a source.
    fn note_events(&mut self) {
        let now = Instant::now();
        if let Some(last) = self.last.replace(now) {
            self.longest_pause = self.longest_pause.max(now - last);
        }
        let age = self.call.arrived.elapsed();
        self.first.get_or_insert(age);
        let Some(source) = self.source.as_mut() else {
            return;
        };
        if source.before == u64::MAX {
            return;
        }
        source.permit.record_first_event(source.sent.elapsed());
        if source.before == 0 {
            self.state
                .metrics
                .first_event_seconds
                .observe(age.as_secs_f64());
        }
        source.before = u64::MAX;
    }

    fn patience(&self) -> Instant {
        let deadline = self.call.deadline;
        let Some(source) = &self.source else {
            return deadline;
        };
        let begun = source.before == u64::MAX;
        let bound = source.outdated.filter(|_| !begun);
        let bound = bound.map_or(deadline, |outdated| outdated.min(deadline));
        if !self.may_resume() {
            return bound;
        }
        let target_gap = self.call.authorized.route.target_gap;
        bound.min(source.heard + target_gap.mul_f64(SILENCE_PER_PAUSE))
    }

    fn may_resume(&self) -> bool {
        let route = &self.call.authorized.route;
        route.resumable && (self.tried.len() as u32) < route.attempts
    }

    /// Lets the stream go on at another server; `false` if it can't.
    async fn resume(&mut self, reason: &str) -> bool {
        if let Some(source) = self.source.take() {
            source.permit.record_failure();
            source.permit.record_answer(false);
        }
        self.splitter.discard_partial();
        let call = &self.call;
        let events = self.splitter.events();
        let allowed = self.may_resume() && self.state.take_retry(&call.service);
        log::info!(call = call.id.as_str(), reason, events, last_event:? = self.splitter.last_event_id(), allowed, age_ms = call.age_ms(); "stream broke");
        if !allowed {
            return false;
        }
        self.state.metrics.retries.of("lost").inc();
        let Some(permit) = self.place().await else {
            log::info!(call = call.id.as_str(), age_ms = call.age_ms(); "no place to go on");
            return false;
        };
        let server = Arc::clone(&permit.choice.record.id);
        self.tried.push(Arc::clone(&server));
        let sent = Instant::now();
        let last = self.splitter.last_event_id();
        let outcome = send::send(&self.state, call, &permit, last, call.deadline).await;
        match outcome {
            Outcome::Answer(response, connection) if response.status() == StatusCode::OK => {
                log::info!(call = call.id.as_str(), server = &*server, last_event:? = last, age_ms = call.age_ms(); "stream goes on");
                let body = response.into_body();
                let outdated = send::begin_deadline(&self.state, call, &permit);
                let source = Source::new(permit, body, connection, sent, outdated, events);
                self.source = Some(source);
                true
            }
            outcome => {
                log::info!(call = call.id.as_str(), server = &*server, outcome:?; "stream not resumed");
                false
            }
        }
    }

    async fn place(&self) -> Option<Permit> {
        let requirements = self.call.requirements(&self.state, &self.tried);
        if let Some(permit) = self.state.reserve(&requirements) {
            return Some(permit);
        }
        let service = Arc::clone(&requirements.service);
        let (place, turn) = self.state.enqueue(requirements, RESUME_RANK);
        let until = self.call.deadline.min(Instant::now() + RESUME_WAIT);
        let permit = timeout_at(until, turn).await;
        self.state.leave_queue(&service, place);
        permit.ok()?.ok()
    }

    fn finish(&mut self, outcome: &'static str) {
        self.ended = true;
        let call = &self.call;
        let server = self.source.as_ref().map(|source| &source.permit);
        if let Some(permit) = server.filter(|_| outcome == ANSWERED) {
            permit.record_answer(true);
        }
        log::info!(
            call = call.id.as_str(),
            server = server.map_or("", |permit| &*permit.choice.record.id),
            outcome,
            events = self.splitter.events(),
            first_ms = self.first.map_or(0, |first| first.as_millis() as u64),
            longest_pause_ms = self.longest_pause.as_millis() as u64,
            fresh = call.is_first_attempt,
            sends = self.tried.len(),
            age_ms = call.age_ms();
            "stream ended"
        );
        self.state.metrics.outcomes.of(outcome).inc();
        self.source = None;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.ended {
            self.finish(CALLER_LEFT);
        }
    }
}
