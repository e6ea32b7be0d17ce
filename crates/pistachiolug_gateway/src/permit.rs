//! Guards for server slots and open requests, which are given back on drop.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use crate::{
    config::Engine,
    fingerprint::Fingerprint,
    losses::Loss,
    pool::{Choice, Pool},
    prefix_cache::Expectation,
    state::{State, find_engine},
};

/// Slot of one request at a server; dropping it frees the slot and serves the queue.
#[derive(Debug)]
pub struct Permit {
    /// Server that holds the slot.
    pub choice: Choice,
    pub(crate) service: Arc<str>,
    /// Prompt tokens that the server has not read yet.
    pub(crate) unread_prompt_tokens: Cell<u32>,
    /// What was expected of a prefix that the server may hold; `None` once the first event has arrived.
    pub(crate) expectation: RefCell<Option<Expectation>>,
    /// Request that the server has; `None` before it was sent and once its outcome is known.
    pub(crate) sent: RefCell<Option<Sent>>,
    /// Whether the end of the server's answer can be told from the end of its connection.
    pub(crate) is_framed: Cell<bool>,
    /// When events of the request's stream last arrived; `None` before the first ones.
    pub(crate) last_events_at: Cell<Option<Duration>>,
    pub(crate) state: Rc<State>,
}

/// Request that a server has.
#[derive(Debug)]
pub(crate) struct Sent {
    fingerprint: Fingerprint,
    /// When the request was sent, or when data of its answer last arrived.
    heard_at: Duration,
}

/// Silence after which a request that is withdrawn, or whose caller disconnects, counts as lost. Callers leave servers that
/// are alive as well, but most of these have begun to answer by then.
const MIN_SILENCE: Duration = Duration::from_millis(500);

impl Permit {
    /// Records that a request is sent to the server, or that data of its answer has arrived.
    pub fn record_contact(&self, fingerprint: &Fingerprint) {
        let heard_at = self.state.now();
        let fingerprint = fingerprint.clone();
        self.sent.replace(Some(Sent {
            fingerprint,
            heard_at,
        }));
    }

    /// Records that data has arrived from the server.
    pub fn record_data(&self) {
        let id = &self.choice.record.id;
        self.state.with_pool(|pool| pool.record_data(id));
    }

    /// Records how long opening a connection to the server took.
    pub fn record_connect(&self, connect_time: Duration) {
        let (id, now) = (&self.choice.record.id, self.state.now());
        self.state
            .with_pool(|pool| pool.record_connect(id, connect_time, now));
    }

    /// Returns whether requests to the server may wait on its link.
    pub fn is_link_congested(&self) -> bool {
        let (id, now) = (&self.choice.record.id, self.state.now());
        self.state.with_pool(|pool| pool.is_link_congested(id, now))
    }

    /// Records whether the answer has a length or chunks. Another one ends with its connection, as it does if the server
    /// crashes.
    pub fn record_framing(&self, is_framed: bool) {
        self.is_framed.set(is_framed);
    }

    /// Records that the outcome of the request is known: the server has answered it or did not run it, or the request
    /// was withdrawn.
    pub fn record_outcome(&self) {
        self.sent.replace(None);
    }

    /// Records that the request is withdrawn because it is not needed. A server that has been silent is checked: it may
    /// have crashed.
    pub fn record_withdrawal(&self) {
        if self.is_silent() {
            self.record_loss();
        } else {
            self.record_outcome();
        }
    }

    fn is_silent(&self) -> bool {
        let heard_at = self.sent.borrow().as_ref().map(|sent| sent.heard_at);
        heard_at.is_some_and(|heard_at| self.state.now() >= heard_at + MIN_SILENCE)
    }

    /// Records that the server gave no complete answer to the request; it may have crashed.
    pub fn record_loss(&self) {
        self.lose(false);
    }

    /// Records that the server answered the request successfully. If only the end of the connection ended the answer,
    /// the server is checked first.
    pub fn record_success(&self) {
        if !self.is_framed.get() {
            self.lose(true);
        } else if let Some(sent) = self.sent.take() {
            self.state.record_success(&sent.fingerprint);
        }
    }

    fn lose(&self, is_answered: bool) {
        if let Some(sent) = self.sent.take() {
            let loss = Loss {
                fingerprint: sent.fingerprint,
                heard_at: sent.heard_at,
                lost_at: self.state.now(),
                is_answered,
            };
            self.state.record_loss(&self.choice.record, loss);
        }
    }

    /// Records that the first event arrived `elapsed` after the request was sent.
    pub fn record_first_event(&self, elapsed: Duration) {
        let id = &self.choice.record.id;
        let elapsed_ms = elapsed.as_secs_f64() * 1000.0;
        let expectation = self.expectation.take();
        let saving_ms = expectation.as_ref().map_or(0.0, |known| known.saving_ms);
        let expected_ms = self.choice.expected_wait_ms - saving_ms;
        self.state.with_pool(|pool| {
            pool.finish_prompt(id, self.unread_prompt_tokens.replace(0));
            pool.update_slowdown(id, expected_ms, elapsed_ms);
        });
        if let Some(expectation) = expectation {
            let service = &self.service;
            self.state
                .record_prefix_time(service, &self.choice, &expectation, elapsed_ms);
        }
    }

    /// Records events of the request's stream, which the server sent in `passes` passes.
    pub fn record_events(&self, passes: u64) {
        let now = self.state.now();
        let previous = self.last_events_at.replace(Some(now));
        let id = &self.choice.record.id;
        let gap = previous.map(|previous| now.saturating_sub(previous));
        self.with_engine(|pool, engine| {
            if let Some(engine) = engine {
                pool.record_events(id, engine, gap, passes, now);
            }
        });
    }

    /// Records that the head of an answer arrived `taken` after the request was sent; only those of plain services count.
    pub fn record_answer_time(&self, taken: Duration) {
        let now = self.state.now();
        self.with_engine(|pool, engine| {
            if engine.is_none() {
                pool.record_answer_time(&self.choice, taken, now);
            }
        });
    }

    /// Calls `action` with the pool and the engine of the service; `None` for plain services.
    fn with_engine(&self, action: impl FnOnce(&mut Pool, Option<&Engine>)) {
        if let Some(config) = self.state.config() {
            let engine = find_engine(&config, &self.service);
            self.state.with_pool(|pool| action(pool, engine));
        }
    }

    /// Records that the server could not be reached or gave no complete answer.
    pub fn record_failure(&self) {
        let now = self.state.now();
        let id = &self.choice.record.id;
        self.state.with_pool(|pool| pool.record_failure(id, now));
    }

    /// Records that the server refused the request because it was full.
    pub fn record_full(&self) {
        let now = self.state.now();
        let id = &self.choice.record.id;
        self.state.with_pool(|pool| pool.record_full(id, now));
    }

    /// Records that the server has answered the request, so that more may be sent after a backoff.
    pub fn record_reopening(&self) {
        let choice = &self.choice;
        self.state.with_pool(|pool| pool.record_reopening(choice));
    }

    /// Returns whether the request may still be sent to the server. It may have asked for a backoff, begun to drain, or
    /// stated a limit, since it was chosen.
    pub fn may_send(&self) -> bool {
        let now = self.state.now();
        let choice = &self.choice;
        self.state.with_pool(|pool| {
            pool.may_send(&choice.record, now) && pool.is_within_limit(choice, now)
        })
    }

    /// Returns whether the server takes another request once this one has ended.
    fn is_reusable(&self) -> bool {
        let now = self.state.now();
        let record = &self.choice.record;
        !self.state.is_evacuated(&record.zone)
            && self
                .state
                .with_pool(|pool| pool.may_send(record, now) && pool.is_open(record, now))
    }

    /// Records that the server is not the expected one, or does not hold the expected version.
    pub fn record_mismatch(&self) {
        let now = self.state.now();
        let id = &self.choice.record.id;
        self.state.with_pool(|pool| pool.record_mismatch(id, now));
    }

    /// Records whether the server answered successfully.
    pub fn record_answer(&self, is_success: bool) {
        let id = &self.choice.record.id;
        self.state
            .with_pool(|pool| pool.record_answer(id, is_success));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.record_withdrawal();
        let id = &self.choice.record.id;
        let state = Rc::clone(&self.state);
        state.with_pool(|pool| {
            pool.end_request(id, self.unread_prompt_tokens.get());
            if self.last_events_at.get().is_some() {
                pool.end_stream(id);
            }
        });
        // Slots of a server that takes no requests are not free; those of a limited one are when it may get a request.
        if self.is_reusable() {
            state.count_freed_at(&self.service, id);
        }
        state.serve_queue(&self.service, Some(id));
    }
}

/// Open request of a caller; counted until it is dropped.
#[derive(Debug)]
pub struct OpenRequest {
    pub(crate) state: Rc<State>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.state.close_request();
    }
}
