//! Bodies of requests that are being received, and the choice of those that are dropped for others.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use pistachiolug_http::memory::{Budget, Buffer};
use tokio::sync::Notify;

/// Time without progress after which a body may be dropped for another one: several times the delay between regions.
pub const STALL_TIME: Duration = Duration::from_millis(500);

/// Bytes that count as progress of a body. Fewer don't, so that a body which trickles stays among those that are dropped.
pub const PROGRESS_BYTES: u64 = 4 << 10;

/// Body that is being received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// Memory in bytes that the body takes from the budget.
    pub held_bytes: usize,
    /// Time since the body last made progress.
    pub stalled: Duration,
}

/// Returns the index of the body that is dropped so that another one has room; `None` if there is none, so that the
/// other one is refused.
///
/// Answers the load of bodies that stop short of their end and stay open. The largest body without progress is
/// dropped, of equal ones the one that made none for longest. Requests that servers may have are not among the
/// candidates, and bodies that go on are kept: they end soon, and each dropped one would have to be sent again.
pub fn choose(candidates: &[Candidate]) -> Option<usize> {
    let stalled = candidates
        .iter()
        .enumerate()
        .filter(|(_, candidate)| candidate.held_bytes > 0 && candidate.stalled >= STALL_TIME);
    let chosen = stalled.max_by_key(|(_, candidate)| (candidate.held_bytes, candidate.stalled));
    chosen.map(|(index, _)| index)
}

/// Reason why a body can't be received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// It is larger than allowed.
    TooLarge,
    /// Other bodies leave no memory for it, or it was dropped for another one.
    NoMemory,
}

/// Bodies that are being received.
#[derive(Debug)]
pub struct Intake {
    budget: Budget,
    /// Bytes of the budget that bodies leave free.
    reserve: usize,
    bodies: RefCell<BTreeMap<u64, Rc<Partial>>>,
    next: Cell<u64>,
}

/// Body that is being received.
#[derive(Debug)]
struct Partial {
    /// `None` once the body was dropped for another one.
    buffer: RefCell<Option<Buffer>>,
    /// Time of the last progress, and the bytes received since.
    progressed_at: Cell<Duration>,
    received: Cell<u64>,
    dropped: Notify,
}

impl Intake {
    /// Creates an intake without bodies, which leaves `reserve` bytes of the budget free.
    pub fn new(budget: Budget, reserve: usize) -> Self {
        Self {
            budget,
            reserve,
            bodies: RefCell::default(),
            next: Cell::default(),
        }
    }

    /// Begins to receive a body of at most `max_bytes` bytes.
    ///
    /// # Arguments
    /// `now` is any time that does not go back.
    pub fn begin(&self, max_bytes: usize, now: Duration) -> Reception<'_> {
        let id = self.next.get();
        self.next.set(id + 1);
        let buffer = Buffer::leaving(&self.budget, max_bytes, self.reserve);
        let body = Rc::new(Partial {
            buffer: RefCell::new(Some(buffer)),
            progressed_at: Cell::new(now),
            received: Cell::default(),
            dropped: Notify::new(),
        });
        self.bodies.borrow_mut().insert(id, Rc::clone(&body));
        Reception {
            intake: self,
            id,
            body,
            max_bytes,
        }
    }

    /// Drops a body for the one with this id; returns whether there was one to drop.
    fn make_room(&self, id: u64, now: Duration) -> bool {
        let bodies = self.bodies.borrow();
        let others: Vec<&Rc<Partial>> = bodies
            .iter()
            .filter_map(|(other, body)| (*other != id).then_some(body))
            .collect();
        let candidates: Vec<Candidate> = others.iter().map(|body| body.candidate(now)).collect();
        let Some(chosen) = choose(&candidates) else {
            return false;
        };
        let candidate = candidates[chosen];
        log::info!(
            bytes = candidate.held_bytes,
            stalled_ms = candidate.stalled.as_millis() as u64,
            receiving = bodies.len();
            "unfinished body dropped"
        );
        others[chosen].buffer.take();
        others[chosen].dropped.notify_one();
        true
    }
}

impl Partial {
    fn candidate(&self, now: Duration) -> Candidate {
        let buffer = self.buffer.borrow();
        Candidate {
            held_bytes: buffer.as_ref().map_or(0, Buffer::held_bytes),
            stalled: now.saturating_sub(self.progressed_at.get()),
        }
    }
}

/// Reception of one body, which ends when it is dropped.
#[derive(Debug)]
pub struct Reception<'a> {
    intake: &'a Intake,
    id: u64,
    body: Rc<Partial>,
    max_bytes: usize,
}

impl Reception<'_> {
    /// Takes the memory for a body of a stated length.
    ///
    /// # Errors
    /// [`Refusal`] if the body can't be received.
    pub fn reserve(&self, length: usize, now: Duration) -> Result<(), Refusal> {
        self.grow(length, now, |buffer| buffer.reserve(length).is_ok())
    }

    /// Appends bytes.
    ///
    /// # Errors
    /// [`Refusal`] if the body can't be received further.
    pub fn push(&self, bytes: &[u8], now: Duration) -> Result<(), Refusal> {
        let body = &self.body;
        let received = body.received.get() + bytes.len() as u64;
        let is_progress = received >= PROGRESS_BYTES;
        body.received.set(if is_progress { 0 } else { received });
        if is_progress {
            body.progressed_at.set(now);
        }
        let len = body.buffer.borrow().as_ref().map_or(0, Buffer::len);
        self.grow(len + bytes.len(), now, |buffer| buffer.push(bytes).is_ok())
    }

    fn grow(
        &self,
        length: usize,
        now: Duration,
        mut try_grow: impl FnMut(&mut Buffer) -> bool,
    ) -> Result<(), Refusal> {
        if length > self.max_bytes {
            return Err(Refusal::TooLarge);
        }
        loop {
            let mut buffer = self.body.buffer.borrow_mut();
            let buffer = buffer.as_mut().ok_or(Refusal::NoMemory)?;
            if try_grow(buffer) {
                return Ok(());
            }
            if !self.intake.make_room(self.id, now) {
                return Err(Refusal::NoMemory);
            }
        }
    }

    /// Waits until the body is dropped for another one.
    pub async fn wait_dropped(&self) {
        self.body.dropped.notified().await;
    }

    /// Returns the whole body, whose memory is taken until the last reference to it is dropped.
    ///
    /// # Errors
    /// [`Refusal::NoMemory`] if it was dropped for another one.
    pub fn finish(self) -> Result<Bytes, Refusal> {
        let buffer = self.body.buffer.take().ok_or(Refusal::NoMemory)?;
        Ok(buffer.freeze())
    }
}

impl Drop for Reception<'_> {
    fn drop(&mut self) {
        self.intake.bodies.borrow_mut().remove(&self.id);
    }
}
