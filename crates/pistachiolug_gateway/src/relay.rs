//! Relays a stream's events as they arrive.
//!
//! Beside a server that falls silent another one is asked to resume the stream. The server that sends the next whole
//! event first goes on alone. A server that breaks off is replaced.

mod resume;

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::{Stream, stream::unfold};
use hyper::body::Frame;
use tokio::time::Instant;

use crate::{
    call::Call,
    event::Cursor,
    metrics::{ANSWERED, BROKEN, CALLER_LEFT},
    reply::Broken,
    source::{Source, Step},
    state::State,
};

/// Stream of a caller that is relayed from one server after another.
struct Relay {
    state: Rc<State>,
    call: Rc<Call>,
    /// Server that the stream currently comes from; `None` while it is interrupted.
    source: Option<Source>,
    /// Ids of the servers that were sent the request.
    tried: Vec<Arc<str>>,
    /// Number of retries taken from the budget for which nothing was sent yet.
    unused_retries: u32,
    /// Content type of the answer whose head the caller has got.
    content_type: Option<String>,
    /// Last event with an id that was relayed.
    last_event: Option<Cursor>,
    /// Number of events relayed from former servers.
    former_events: u64,
    /// Time from the request's arrival to the first event.
    first_event_after: Option<Duration>,
    /// When events were last relayed; `longest_gap` is the longest time between two relays.
    last_event_at: Option<Instant>,
    longest_gap: Duration,
    is_ended: bool,
}

/// Returns the events of a stream; only whole events are relayed.
///
/// # Arguments
/// `first` is what has come from the source: its first events, or its end. `content_type` is that of its answer.
pub fn stream(
    state: Rc<State>,
    call: Rc<Call>,
    source: Source,
    first: Step,
    tried: Vec<Arc<str>>,
    content_type: Option<String>,
) -> impl Stream<Item = Result<Frame<Bytes>, Broken>> {
    let relay = Relay {
        state,
        call,
        source: Some(source),
        tried,
        unused_retries: 0,
        content_type,
        last_event: None,
        former_events: 0,
        first_event_after: None,
        last_event_at: None,
        longest_gap: Duration::ZERO,
        is_ended: false,
    };
    unfold((relay, Some(first)), |(mut relay, first)| async move {
        let step = match first {
            Some(first) => first,
            None if relay.is_ended => return None,
            None => relay.next_step().await,
        };
        let item = relay.relay(step)?;
        Some((item.map(Frame::data), (relay, None)))
    })
}

impl Relay {
    /// Waits for the next events or the end of the stream.
    async fn next_step(&mut self) -> Step {
        let call = Rc::clone(&self.call);
        loop {
            let may_resume = self.may_resume();
            let Some(source) = &mut self.source else {
                return Step::Interrupted("no server".to_owned());
            };
            let step = if may_resume {
                source.read_until_silent(&call).await
            } else {
                source.read(&call).await
            };
            let server = Arc::clone(source.server());
            match step {
                Step::Silent => {}
                Step::Interrupted(_) | Step::Outdated => self.end_source(Some(&step)),
                step => return step,
            }
            if let Some(step) = self.ask(server, step).await {
                return step;
            }
        }
    }

    fn may_resume(&self) -> bool {
        let route = &self.call.authorized.route;
        route.resumable && self.last_event.is_some() && (self.tried.len() as u32) < route.attempts
    }

    fn last_event_id(&self) -> Option<u64> {
        self.last_event.map(|event| event.id)
    }

    fn events(&self) -> u64 {
        self.former_events + self.source.as_ref().map_or(0, Source::events)
    }

    /// Records what has come from the source, and returns what the caller gets; `None` after the end.
    fn relay(&mut self, step: Step) -> Option<Result<Bytes, Broken>> {
        match step {
            Step::Events(events) => {
                self.record_events();
                Some(Ok(events))
            }
            Step::Complete => {
                self.finish(ANSWERED);
                None
            }
            Step::Interrupted(_) | Step::Outdated | Step::Silent | Step::DeadlinePassed => {
                self.finish(BROKEN);
                Some(Err(Broken))
            }
        }
    }

    /// Records the times of events and the id of the last one.
    fn record_events(&mut self) {
        let now = Instant::now();
        if let Some(last) = self.last_event_at.replace(now) {
            self.longest_gap = self.longest_gap.max(now - last);
        }
        if self.first_event_after.is_none() {
            let age = self.call.arrived.elapsed();
            self.first_event_after = Some(age);
            let metrics = &self.state.metrics;
            metrics.first_event_seconds.observe(age.as_secs_f64());
        }
        let last_event = self.source.as_ref().and_then(Source::cursor);
        self.last_event = last_event.or(self.last_event);
    }

    /// Logs and counts the end of the stream and closes its connection.
    fn finish(&mut self, outcome: &'static str) {
        self.is_ended = true;
        let call = &self.call;
        let server = self.source.as_ref().map(|source| &source.permit);
        if let Some(permit) = server.filter(|_| outcome == ANSWERED) {
            permit.record_answer(true);
            self.state.record_work(call, permit);
            permit.record_success();
        }
        log::info!(
            call = call.id.as_str(),
            server = server.map_or("", |permit| &*permit.choice.record.id),
            outcome,
            events = self.events(),
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
