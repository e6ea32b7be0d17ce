//! Relays a stream's events as they arrive, and resumes the stream at another server when one breaks off.

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

/// Multiple of a route's target gap after which a silent server is given up, if the stream may be resumed.
const SILENCE_PER_GAP: f64 = 4.0;

/// Longest wait for a slot at a server that resumes a stream.
const RESUME_WAIT: Duration = Duration::from_millis(600);

/// Queue rank of a stream that is resumed; it is served before requests that have not begun.
const RESUME_RANK: Rank = Rank {
    is_late: false,
    priority: 0,
};

/// Stream of a caller that is relayed from one server after another.
struct Relay {
    state: Rc<State>,
    call: Rc<Call>,
    /// Server that the stream currently comes from; `None` while it is interrupted.
    source: Option<Source>,
    /// Ids of the servers that were sent the request.
    tried: Vec<Arc<str>>,
    splitter: Splitter,
    /// Time from the request's arrival to the first event.
    first_event_after: Option<Duration>,
    /// When events were last relayed; `longest_gap` is the longest time between two relays.
    last_event_at: Option<Instant>,
    longest_gap: Duration,
    is_ended: bool,
}

/// Server that the stream comes from.
struct Source {
    permit: Permit,
    body: Incoming,
    /// Closes the connection on drop.
    _connection: Connection,
    sent_at: Instant,
    /// When the request is withdrawn if it has not begun.
    begin_by: Option<Instant>,
    /// Number of events relayed before this source; `u64::MAX` once the source has sent its first event.
    events_before: u64,
    /// When data last arrived.
    last_data_at: Instant,
}

/// Result of one read from the source.
enum Step {
    Events(Bytes),
    Complete,
    Interrupted(String),
    /// The request's deadline has passed.
    DeadlinePassed,
}

/// Returns the events of a stream; only whole events are relayed.
pub fn stream(
    state: Rc<State>,
    call: Rc<Call>,
    permit: Permit,
    tried: Vec<Arc<str>>,
    body: Incoming,
    connection: Connection,
) -> impl Stream<Item = Result<Frame<Bytes>, Broken>> {
    let begin_by = send::begin_deadline(&state, &call, &permit);
    let relay = Relay {
        state,
        source: Some(Source::new(
            permit,
            body,
            connection,
            call.arrived,
            begin_by,
            0,
        )),
        call,
        tried,
        splitter: Splitter::default(),
        first_event_after: None,
        last_event_at: None,
        longest_gap: Duration::ZERO,
        is_ended: false,
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
        sent_at: Instant,
        begin_by: Option<Instant>,
        events_before: u64,
    ) -> Self {
        Self {
            begin_by,
            permit,
            body,
            _connection: connection,
            sent_at,
            events_before,
            last_data_at: Instant::now(),
        }
    }
}

impl Relay {
    /// Returns the next events, or [`Broken`] if the stream can't be completed; `None` after its end.
    async fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        if self.is_ended {
            return None;
        }
        loop {
            let reason = match self.read_events().await {
                Step::Events(events) => return Some(Ok(events)),
                Step::Complete => {
                    self.finish(ANSWERED);
                    return None;
                }
                Step::DeadlinePassed => {
                    self.finish(BROKEN);
                    return Some(Err(Broken));
                }
                Step::Interrupted(reason) => reason,
            };
            if !self.resume(&reason).await {
                self.finish(BROKEN);
                return Some(Err(Broken));
            }
        }
    }

    /// Reads from the source until events are whole or the stream ends.
    async fn read_events(&mut self) -> Step {
        let until = self.read_deadline();
        let Some(source) = self.source.as_mut() else {
            return Step::Interrupted("no server".to_owned());
        };
        loop {
            let frame = match timeout_at(until, source.body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(Some(Err(error))) => return Step::Interrupted(error.to_string()),
                Ok(None) if self.splitter.has_partial() => {
                    return Step::Interrupted("stream ended inside an event".to_owned());
                }
                Ok(None) => return Step::Complete,
                Err(_) if Instant::now() >= self.call.deadline => return Step::DeadlinePassed,
                Err(_) => return Step::Interrupted("silent".to_owned()),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            source.last_data_at = Instant::now();
            source.permit.record_contact(&self.call.fingerprint);
            match self.splitter.push(&data) {
                Ok(Some(events)) => {
                    self.record_events();
                    return Step::Events(events);
                }
                Ok(None) => {}
                Err(_) => return Step::Interrupted("event too large".to_owned()),
            }
        }
    }

    /// Records the times of events, and of the first one of a source.
    fn record_events(&mut self) {
        let now = Instant::now();
        if let Some(last) = self.last_event_at.replace(now) {
            self.longest_gap = self.longest_gap.max(now - last);
        }
        let age = self.call.arrived.elapsed();
        self.first_event_after.get_or_insert(age);
        let Some(source) = self.source.as_mut() else {
            return;
        };
        if source.events_before == u64::MAX {
            return;
        }
        source.permit.record_first_event(source.sent_at.elapsed());
        if source.events_before == 0 {
            self.state
                .metrics
                .first_event_seconds
                .observe(age.as_secs_f64());
        }
        source.events_before = u64::MAX;
    }

    /// Returns until when to wait for data of the source.
    fn read_deadline(&self) -> Instant {
        let deadline = self.call.deadline;
        let Some(source) = &self.source else {
            return deadline;
        };
        let has_begun = source.events_before == u64::MAX;
        let bound = source.begin_by.filter(|_| !has_begun);
        let bound = bound.map_or(deadline, |begin_by| begin_by.min(deadline));
        if !self.may_resume() {
            return bound;
        }
        let target_gap = self.call.authorized.route.target_gap;
        bound.min(source.last_data_at + target_gap.mul_f64(SILENCE_PER_GAP))
    }

    fn may_resume(&self) -> bool {
        let route = &self.call.authorized.route;
        route.resumable && (self.tried.len() as u32) < route.attempts
    }

    /// Resumes the stream at another server; returns `false` if that is not possible.
    async fn resume(&mut self, reason: &str) -> bool {
        let source = self.source.take();
        if let Some(source) = &source {
            source.permit.record_failure();
            source.permit.record_answer(false);
            source.permit.record_loss();
        }
        let server = source.map(|source| Arc::clone(&source.permit.choice.record.id));
        let server = server.as_deref().unwrap_or_default();
        self.splitter.discard_partial();
        let call = &self.call;
        let events = self.splitter.events();
        let is_suspect = self.state.suspect_delay(&call.fingerprint).is_some();
        let allowed = self.may_resume() && !is_suspect && self.state.take_retry(&call.service);
        log::info!(call = call.id.as_str(), content:% = call.content.short(), parts:% = call.prefix, server, reason, events, last_event:? = self.splitter.last_event_id(), is_suspect, allowed, age_ms = call.age_ms(); "stream interrupted");
        if !allowed {
            return false;
        }
        self.state.metrics.retries.get("lost").inc();
        let Some(permit) = self.acquire_permit().await else {
            log::info!(call = call.id.as_str(), age_ms = call.age_ms(); "no slot to resume the stream");
            return false;
        };
        if !self.state.try_run(&call.fingerprint) {
            log::info!(call = call.id.as_str(), content:% = call.content.short(), parts:% = call.prefix, age_ms = call.age_ms(); "stream not resumed because servers crash under it");
            return false;
        }
        let server = Arc::clone(&permit.choice.record.id);
        self.tried.push(Arc::clone(&server));
        let sent_at = Instant::now();
        let last_event = self.splitter.last_event_id();
        let outcome = send::send(&self.state, call, &permit, last_event, call.deadline).await;
        match outcome {
            Outcome::Answer(response, connection) if response.status() == StatusCode::OK => {
                log::info!(call = call.id.as_str(), server = &*server, last_event:? = last_event, age_ms = call.age_ms(); "stream resumed");
                let body = response.into_body();
                let begin_by = send::begin_deadline(&self.state, call, &permit);
                let source = Source::new(permit, body, connection, sent_at, begin_by, events);
                self.source = Some(source);
                true
            }
            outcome => {
                log::info!(call = call.id.as_str(), server = &*server, outcome:?; "resuming the stream failed");
                false
            }
        }
    }

    /// Acquires a slot at a server that may resume the stream; `None` if none becomes free in time.
    async fn acquire_permit(&self) -> Option<Permit> {
        let requirements = self.call.requirements(&self.state, &self.tried);
        if let Some(permit) = self.state.reserve(&requirements) {
            return Some(permit);
        }
        let service = Arc::clone(&requirements.service);
        let (position, receiver) = self.state.enqueue(requirements, RESUME_RANK);
        let until = self.call.deadline.min(Instant::now() + RESUME_WAIT);
        let permit = timeout_at(until, receiver).await;
        self.state.leave_queue(&service, position);
        permit.ok()?.ok()
    }

    /// Logs and counts the end of the stream and closes its connection.
    fn finish(&mut self, outcome: &'static str) {
        self.is_ended = true;
        let call = &self.call;
        let server = self.source.as_ref().map(|source| &source.permit);
        if let Some(permit) = server.filter(|_| outcome == ANSWERED) {
            permit.record_answer(true);
            permit.record_success();
        }
        log::info!(
            call = call.id.as_str(),
            server = server.map_or("", |permit| &*permit.choice.record.id),
            outcome,
            events = self.splitter.events(),
            first_ms = self.first_event_after.map_or(0, |first| first.as_millis() as u64),
            longest_pause_ms = self.longest_gap.as_millis() as u64,
            fresh = call.is_first_attempt,
            sends = self.tried.len(),
            age_ms = call.age_ms();
            "stream ended"
        );
        self.state.metrics.outcomes.get(outcome).inc();
        self.source = None;
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.is_ended {
            self.finish(CALLER_LEFT);
        }
    }
}
