//! Places at servers and open requests, given back when dropped.

use std::{cell::Cell, rc::Rc, sync::Arc, time::Duration};

use crate::{board::Choice, state::State};

/// Place of one request at a server; dropping it frees the place.
#[derive(Debug)]
pub struct Ticket {
    /// Chosen server.
    pub choice: Choice,
    pub(crate) service: Arc<str>,
    /// Prompt tokens that the server has not read yet.
    pub(crate) prompt: Cell<u32>,
    pub(crate) state: Rc<State>,
}

impl Ticket {
    /// Notes the first event after `taken`.
    pub fn first_event(&self, taken: Duration) {
        let id = &self.choice.record.id;
        let taken_ms = taken.as_secs_f64() * 1000.0;
        self.state.with_board(|board| {
            board.read(id, self.prompt.replace(0));
            board.pace(id, self.choice.wait_ms, taken_ms);
        });
    }

    /// Notes that the server could not be reached or broke off.
    pub fn strike(&self) {
        let now = self.state.now();
        let id = &self.choice.record.id;
        self.state.with_board(|board| board.strike(id, now));
    }

    /// Notes that the server had no room.
    pub fn full(&self) {
        let now = self.state.now();
        let id = &self.choice.record.id;
        self.state.with_board(|board| board.full(id, now));
    }

    /// Notes that the server is not the one, or does not hold the version, that was believed.
    pub fn mistaken(&self) {
        let now = self.state.now();
        let id = &self.choice.record.id;
        self.state.with_board(|board| board.mistaken(id, now));
    }

    /// Notes how the server answered.
    pub fn answered(&self, well: bool) {
        let id = &self.choice.record.id;
        self.state.with_board(|board| board.answered(id, well));
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let id = &self.choice.record.id;
        let state = Rc::clone(&self.state);
        state.with_board(|board| board.end(id, self.prompt.get()));
        state.count_freed(&self.service);
        state.serve_line(&self.service, Some(id));
    }
}

/// Counts an open request until it is dropped.
#[derive(Debug)]
pub struct Open {
    pub(crate) state: Rc<State>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.state.close();
    }
}
