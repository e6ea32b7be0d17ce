//! Places at servers and open requests, given back when dropped.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use crate::{pool::Choice, state::State};

/// Place of one request at a server; dropping it frees the place.
#[derive(Debug)]
pub struct Permit {
    /// Chosen server.
    pub choice: Choice,
    pub(crate) service: Arc<str>,
    /// Prompt tokens that the server has not read yet.
    pub(crate) prompt: Cell<u32>,
    pub(crate) state: Rc<State>,
}

impl Permit {
    /// Notes the first event after `taken`.
    pub fn record_first_event(&self, taken: Duration) {
        let id = &self.choice.record.id;
        let taken_ms = taken.as_secs_f64() * 1000.0;
        self.state.with_pool(|pool| {
            pool.finish_prompt(id, self.prompt.replace(0));
            pool.update_slowdown(id, self.choice.expected_wait_ms, taken_ms);
        });
    }

    /// Notes that the server could not be reached or broke off.
    pub fn record_failure(&self) {
        let now = self.state.now();
        let id = &self.choice.record.id;
        self.state.with_pool(|pool| pool.record_failure(id, now));
    }

    /// Notes that the server had no room.
    pub fn record_full(&self) {
        let now = self.state.now();
        let id = &self.choice.record.id;
        self.state.with_pool(|pool| pool.record_full(id, now));
    }

    /// Notes that the server is not the one, or does not hold the version, that was believed.
    pub fn record_mismatch(&self) {
        let now = self.state.now();
        let id = &self.choice.record.id;
        self.state.with_pool(|pool| pool.record_mismatch(id, now));
    }

    /// Notes how the server answered.
    pub fn record_answer(&self, well: bool) {
        let id = &self.choice.record.id;
        self.state.with_pool(|pool| pool.record_answer(id, well));
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let id = &self.choice.record.id;
        let state = Rc::clone(&self.state);
        state.with_pool(|pool| pool.end_request(id, self.prompt.get()));
        state.count_freed(&self.service);
        state.serve_queue(&self.service, Some(id));
    }
}

/// Counts an open request until it is dropped.
#[derive(Debug)]
pub struct OpenRequest {
    pub(crate) state: Rc<State>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.state.close_request();
    }
}
