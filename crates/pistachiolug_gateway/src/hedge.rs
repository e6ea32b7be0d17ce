//! Hedged requests: several servers have one request at the same time, because the former one is silent. The first whole
//! answer, or the first stream to begin, is used, and the request is withdrawn from the other servers.

use std::rc::Rc;

use bytes::Bytes;
use futures_util::{StreamExt, stream::FuturesUnordered};
use http::{Response, response};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::{
    answer::{self, Large},
    call::Call,
    permit::Permit,
    send::{self, Outcome},
    source::{Source, Step},
    state::State,
    upstream::Connection,
};

/// Servers that have one request, each with its run.
#[derive(Debug)]
pub struct Hedge<F, A> {
    runs: FuturesUnordered<F>,
    /// Slots at the servers of `runs`, in any order.
    permits: Vec<Rc<Permit>>,
    /// Starts the next stage of a run.
    advance: A,
}

/// Request at one server.
#[derive(Debug)]
pub struct Run {
    /// Slot at the server.
    pub permit: Rc<Permit>,
    /// When the request arrived at the entry, for its first server; when it was sent, for others.
    pub started_at: Instant,
    /// What is to be done next.
    pub stage: Stage,
}

/// Stage of a request at a server.
#[derive(Debug)]
pub enum Stage {
    /// The request is to be sent.
    Send,
    /// The first events of a stream are to be read.
    Stream(Begun),
    /// The body of an answer that is no stream is to be read.
    Answer(Response<Incoming>, Connection),
}

/// Stream whose head has arrived.
#[derive(Debug)]
pub struct Begun {
    /// Head of the server's answer.
    pub head: response::Parts,
    /// Server.
    pub source: Source,
}

/// What came from a server.
#[derive(Debug)]
pub enum Arrival {
    /// Signed head of an answer that is no stream.
    Answer(Response<Incoming>, Connection),
    /// Whole answer that is no stream.
    Whole(Response<Bytes>),
    /// Answer that is no stream and too large to be kept until it is whole.
    Large(Box<Large>),
    /// The body of an answer broke off, for this reason.
    Cut(String),
    /// Signed head of a stream.
    Head(Begun),
    /// First events of a stream, or its end without events.
    Stream(Begun, Step),
    /// The attempt ended without an answer.
    Failure(Outcome),
}

impl<F: Future<Output = (Rc<Permit>, Arrival)>, A: Fn(Run) -> F> Hedge<F, A> {
    /// Creates a hedge without servers; `advance` is [`advance`] for the request.
    pub fn new(advance: A) -> Self {
        Self {
            runs: FuturesUnordered::new(),
            permits: Vec::new(),
            advance,
        }
    }

    /// Sends the request to a server, or waits further for one from which only a head has come.
    pub fn add(&mut self, run: Run) {
        self.permits.push(Rc::clone(&run.permit));
        self.runs.push((self.advance)(run));
    }

    /// Returns the slots at the servers that have the request.
    pub fn permits(&self) -> &[Rc<Permit>] {
        &self.permits
    }

    /// Waits for what comes next from any server, and removes the server; `None` if no server has the request.
    pub async fn next(&mut self) -> Option<(Rc<Permit>, Arrival)> {
        let (permit, arrival) = self.runs.next().await?;
        self.permits.retain(|other| !Rc::ptr_eq(other, &permit));
        Some((permit, arrival))
    }

    /// Withdraws the request from all servers that have it.
    pub fn withdraw(&mut self, call: &Call) {
        self.runs.clear();
        for permit in self.permits.drain(..) {
            withdraw(call, &permit, "another server went on", 0);
        }
    }
}

/// Waits for the head of a server's answer, or for what follows a head that has arrived.
pub async fn advance(state: Rc<State>, call: Rc<Call>, run: Run) -> (Rc<Permit>, Arrival) {
    let permit = run.permit;
    match run.stage {
        Stage::Send => {}
        Stage::Stream(stream) => {
            let arrival = read_first(&call, &permit, stream).await;
            return (permit, arrival);
        }
        Stage::Answer(response, connection) => {
            let arrival = match answer::read(&state.memory, &call, response, connection).await {
                Ok(answer::Read::Whole(response)) => Arrival::Whole(response),
                Ok(answer::Read::Large(large)) => Arrival::Large(large),
                Err(reason) => {
                    permit.record_loss();
                    Arrival::Cut(reason)
                }
            };
            return (permit, arrival);
        }
    }
    let outcome = send::send(&state, &call, &permit, None, call.deadline).await;
    let arrival = match outcome {
        Outcome::Answer(response, connection) if is_stream(&call, &response) => {
            let permit = Rc::clone(&permit);
            let started_at = run.started_at;
            let (head, source) = Source::new(&call, permit, response, connection, started_at, None);
            Arrival::Head(Begun { head, source })
        }
        Outcome::Answer(response, connection) => Arrival::Answer(response, connection),
        outcome => Arrival::Failure(outcome),
    };
    (permit, arrival)
}

fn is_stream(call: &Call, response: &Response<Incoming>) -> bool {
    call.is_stream() && response.status().is_success()
}

async fn read_first(call: &Call, permit: &Permit, mut stream: Begun) -> Arrival {
    let outcome = match stream.source.read(call).await {
        Step::Interrupted(reason) => Outcome::Lost(reason),
        Step::Outdated => Outcome::Outdated,
        Step::Silent | Step::DeadlinePassed => Outcome::Silent,
        step => return Arrival::Stream(stream, step),
    };
    outcome.record(permit);
    Arrival::Failure(outcome)
}

/// Withdraws a request from a server and logs the reason.
pub fn withdraw(call: &Call, permit: &Permit, reason: &'static str, events: u64) {
    permit.record_withdrawal();
    log::info!(
        call = call.id.as_str(),
        server = &*permit.choice.record.id,
        reason,
        events,
        age_ms = call.age_ms();
        "request withdrawn from server"
    );
}

/// Logs that a server is asked beside a silent one.
pub fn log_asked_beside(call: &Call, silent: &Permit, permit: &Permit, events: u64) {
    log::info!(
        call = call.id.as_str(),
        silent = &*silent.choice.record.id,
        server = &*permit.choice.record.id,
        events,
        age_ms = call.age_ms();
        "server asked beside a silent one"
    );
}
