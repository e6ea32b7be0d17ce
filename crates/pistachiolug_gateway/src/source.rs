//! Server that a stream comes from: its connection, and the events that it has sent.

use std::{rc::Rc, sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Response, response};
use http_body_util::BodyExt;
use hyper::body::{Frame, Incoming};
use pistachiolug_http::memory::Share;
use tokio::time::{Instant, timeout_at};

use crate::{
    call::Call,
    event::{Cursor, Splitter},
    headers,
    permit::Permit,
    send::{self, Expired},
    silence::{Progress, Silence},
    upstream::Connection,
};

/// Multiple of a route's target gap after which another server is asked beside a silent one.
const SILENCE_PER_GAP: f64 = 4.0;

/// Server that a stream comes from. Dropping it closes the connection.
#[derive(Debug)]
pub struct Source {
    /// Slot at the server.
    pub permit: Rc<Permit>,
    /// Silence since data last arrived.
    pub silence: Silence,
    body: Incoming,
    _connection: Connection,
    splitter: Splitter,
    /// Memory of the bytes that form no whole event yet.
    share: Share,
    started_at: Instant,
    is_framed: bool,
}

/// Result of reading from a server.
#[derive(Debug)]
pub enum Step {
    /// Whole events, or what follows the last one.
    Events(Bytes),
    /// End of the stream after a whole event.
    Complete,
    /// The connection broke, or the stream ended inside an event.
    Interrupted(String),
    /// The request had not begun when the server's version became too old to begin it.
    Outdated,
    /// Another server should be asked beside this one.
    Silent,
    /// The request's deadline has passed.
    DeadlinePassed,
}

impl Source {
    /// Returns the head of a server's answer, and the server as the source of its body.
    ///
    /// # Arguments
    /// `started_at` is when the wait for the first event began. `cursor` is the event after which the stream goes on, `None` for
    /// one that begins.
    pub fn new(
        call: &Call,
        permit: Rc<Permit>,
        response: Response<Incoming>,
        connection: Connection,
        started_at: Instant,
        cursor: Option<Cursor>,
    ) -> (response::Parts, Self) {
        let is_framed = headers::is_framed(&response);
        let (head, body) = response.into_parts();
        let share = permit.state.memory.share();
        let source = Self {
            permit,
            silence: Silence::new(silence_bound(call), Instant::now()),
            body,
            _connection: connection,
            splitter: Splitter::resuming(cursor),
            share,
            started_at,
            is_framed,
        };
        (head, source)
    }

    /// Returns the id of the server.
    pub fn server(&self) -> &Arc<str> {
        &self.permit.choice.record.id
    }

    /// Returns the number of whole events that the server has sent.
    pub fn events(&self) -> u64 {
        self.splitter.events()
    }

    /// Returns the last whole event with an id that the server has sent, or after which it goes on.
    pub fn cursor(&self) -> Option<Cursor> {
        self.splitter.cursor()
    }

    /// Reads until events are whole or the stream ends. Nothing is lost if the returned future is dropped.
    pub async fn read(&mut self, call: &Call) -> Step {
        loop {
            if let Some(step) = self.read_data(call).await {
                return step;
            }
        }
    }

    /// Reads as [`Source::read`] does, until another server should be asked.
    pub async fn read_until_silent(&mut self, call: &Call) -> Step {
        loop {
            let Some(until) = self.silence.ask_at() else {
                return self.read(call).await;
            };
            match timeout_at(until, self.read_data(call)).await {
                Ok(Some(step)) => return step,
                Ok(None) => {}
                Err(_) => return Step::Silent,
            }
        }
    }

    /// Reads data once; returns `None` if it completes no event.
    async fn read_data(&mut self, call: &Call) -> Option<Step> {
        let frame = match self.read_frame(call).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(error))) => return Some(Step::Interrupted(error.to_string())),
            Ok(None) if self.splitter.has_partial() => {
                let reason = "stream ended inside an event".to_owned();
                return Some(Step::Interrupted(reason));
            }
            Ok(None) => {
                // Without an event, blank lines and comments would look like progress.
                let rest = self.splitter.take_rest().filter(|_| self.events() > 0);
                return Some(rest.map_or(Step::Complete, Step::Events));
            }
            Err(Expired::Outdated) => return Some(Step::Outdated),
            Err(Expired::Deadline) => return Some(Step::DeadlinePassed),
        };
        let data = frame.into_data().ok()?;
        self.permit.record_contact(&call.fingerprint);
        self.permit.record_data();
        let former_events = self.events();
        let has_begun = former_events > 0;
        match self.splitter.push(&data) {
            Ok(events) => {
                if self
                    .share
                    .try_resize(self.splitter.buffered_bytes())
                    .is_err()
                {
                    let reason = "no memory for an unfinished event".to_owned();
                    return Some(Step::Interrupted(reason));
                }
                if events.is_some() || self.splitter.is_in_event() {
                    self.silence.record_data(Instant::now());
                }
                if events.is_some() && !has_begun {
                    self.permit.record_first_event(self.started_at.elapsed());
                }
                let passes = self.events() - former_events;
                if passes > 0 {
                    self.permit.record_events(passes);
                }
                events.map(Step::Events)
            }
            Err(flaw) => Some(Step::Interrupted(flaw.to_string())),
        }
    }

    async fn read_frame(
        &mut self,
        call: &Call,
    ) -> Result<Option<Result<Frame<Bytes>, hyper::Error>>, Expired> {
        let has_begun = self.events() > 0;
        let frame = self.body.frame();
        if !has_begun {
            return send::wait_to_begin(call, &self.permit, call.deadline, frame).await;
        }
        let frame = call.run_until_deadline(frame).await;
        frame.map_err(|_| Expired::Deadline)
    }

    /// Records that the server failed; it may have crashed.
    pub fn record_loss(&self) {
        self.permit.record_failure();
        self.permit.record_answer(false);
        self.permit.record_loss();
    }

    /// Returns what a step of this server says about its progress; `None` if it says nothing.
    pub fn progress(&self, step: &Step) -> Option<Progress> {
        match step {
            Step::Events(_) => Some(Progress::Events),
            Step::Complete if self.is_framed => Some(Progress::MarkedEnd),
            Step::Complete => Some(Progress::UnmarkedEnd),
            Step::Interrupted(_) | Step::Outdated => Some(Progress::Failed),
            Step::Silent | Step::DeadlinePassed => None,
        }
    }
}

/// Returns the silence after which another server is asked beside one that has sent the head of a stream.
fn silence_bound(call: &Call) -> Duration {
    call.authorized.route.target_gap.mul_f64(SILENCE_PER_GAP)
}
