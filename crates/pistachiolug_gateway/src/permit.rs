//! Guards for server slots and open requests, which are given back on drop.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use crate::{pool::Choice, state::State};

/// Slot of one request at a server; dropping it frees the slot and serves the queue.
#[derive(Debug)]
pub struct Permit {
    /// Server that holds the slot.
    pub choice: Choice,
    pub(crate) service: Arc<str>,
    /// Prompt tokens that the server has not read yet.
    pub(crate) unread_prompt_tokens: Cell<u32>,
    pub(crate) state: Rc<State>,
}

impl Permit {
    /// Records that the first event arrived `elapsed` after the request was sent.
    pub fn record_first_event(&self, elapsed: Duration) {
        let id = &self.choice.record.id;
        let elapsed_ms = elapsed.as_secs_f64() * 1000.0;
        self.state.with_pool(|pool| {
            pool.finish_prompt(id, self.unread_prompt_tokens.replace(0));
            pool.update_slowdown(id, self.choice.expected_wait_ms, elapsed_ms);
        });
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
        let id = &self.choice.record.id;
        let state = Rc::clone(&self.state);
        state.with_pool(|pool| pool.end_request(id, self.unread_prompt_tokens.get()));
        state.count_freed(&self.service);
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
