//! Calls to the backend server: admission, scheduling, execution, answers and withdrawal.

mod access;
mod admit;
mod claim;
mod drive;
mod leave;
mod limits;
mod model;
mod plain;
mod reader;
pub mod run;
mod state;
mod suspect;
mod withdraw;

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{Response, StatusCode, header};
use pistachiolug_http::{body::Body as Stream, server::Reply};
use pistachiolug_kernel::{
    clock::{Clock, System},
    timer::Timer,
};
use pistachiolug_ledger::claim::Claims;
use pistachiolug_lists::active::ActiveLists;
use pistachiolug_membership::view::View;
use pistachiolug_platform::{engine::Engine, plain::Service};
use pistachiolug_routing::{schedule::Capacity, table::Stage};
use pistachiolug_wire::{
    call::{Body, Open, Work},
    codec,
    load::Load,
    revoke::{Cancel, Revoke, Verdict},
};
use serde_json::{Value, json};
use tokio::{sync::mpsc, time::sleep};

use crate::{
    crash::Reporter, incarnation::Incarnation, metrics::Metrics, monitor::Monitor, peers::Peers,
};
use reader::Reader;
use run::Run;
use state::State;

/// Time that a run without readers waits for an entry to rejoin before its call is cancelled.
const REJOIN_TIMEOUT: Duration = Duration::from_secs(4);

/// Interval between two checks of the queued calls; each check also removes expired state.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Divisor of a call's age that gives the margin for clock drift between two machines: 1% of the age.
const AGE_MARGIN_DIVISOR: u32 = 100;

/// Constant margin, added to the one for clock drift when a call's age is compared with the age of this process.
const MIN_AGE_MARGIN: Duration = Duration::from_millis(200);

/// Identity and capacity of an agent.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the instance.
    pub instance: String,
    /// Service of the backend server.
    pub service: String,
    /// Slots and speed of the backend server, and the bounds of the queue.
    pub capacity: Capacity,
    /// Interval between two heartbeats on an open event stream.
    pub heartbeat: Duration,
}

/// Clients and shared state that calls use.
#[derive(Debug, Clone)]
pub struct Dependencies<E, S, C> {
    /// Client of the model engine.
    pub engine: E,
    /// Observes which versions the engine serves and whether it answers.
    pub monitor: Monitor<E>,
    /// Client of the plain service.
    pub service: S,
    /// Ledger that grants each idempotency key to one call.
    pub claims: C,
    /// Active lists of customers, plans, models and services.
    pub active_lists: ActiveLists,
    /// Current instance list.
    pub view: View,
    /// Client for requests to entries and other agents.
    pub peers: Peers,
    /// Reports crashes of the backend server to the other agents.
    pub crash_reporter: Reporter,
    /// Fencing token of this process.
    pub incarnation: Incarnation,
    /// Metrics of calls.
    pub metrics: Metrics,
}

/// Admits and runs the calls of one backend server; clones share its state.
#[derive(Debug)]
pub struct Calls<E, S, C> {
    inner: Arc<Inner<E, S, C>>,
}

impl<E, S, C> Clone for Calls<E, S, C> {
    fn clone(&self) -> Self {
        Self {
            inner: Arc::clone(&self.inner),
        }
    }
}

#[derive(Debug)]
struct Inner<E, S, C> {
    options: Options,
    dependencies: Dependencies<E, S, C>,
    clock: System,
    state: Mutex<State>,
}

/// Reason why the driver of a run stopped.
enum Stop {
    /// The call ends with this last event.
    Ended(Body),
    /// The run releases its slot and waits to be resumed.
    Paused,
    /// The run releases its slot and waits until it can run alone.
    Isolated,
}

impl<E: Engine, S: Service, C: Claims> Calls<E, S, C> {
    /// Creates the call handler of one backend server, without any calls.
    pub fn new(options: Options, dependencies: Dependencies<E, S, C>) -> Self {
        let state = Mutex::new(State::new(options.capacity));
        let inner = Inner {
            options,
            dependencies,
            clock: System::default(),
            state,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Handles a request to open or join a call; the reply streams the events of the call.
    pub fn open(&self, body: &[u8]) -> Reply {
        let Ok(open) = codec::decode::<Open>(body) else {
            return error_reply(StatusCode::BAD_REQUEST);
        };
        let (sender, stream) = Stream::channel();
        let calls = self.clone();
        tokio::spawn(async move { calls.serve(open, sender).await });
        let mut reply = Response::new(stream);
        reply.headers_mut().insert(
            header::CONTENT_TYPE,
            header::HeaderValue::from_static("application/octet-stream"),
        );
        reply
    }

    /// Handles a request to withdraw a call that has not started; the reply holds the verdict.
    ///
    /// The verdict is [`Verdict::Unknown`] for an unknown call that an earlier process may have received.
    pub fn revoke(&self, body: &[u8]) -> Reply {
        let Ok(revoke) = codec::decode::<Revoke>(body) else {
            return error_reply(StatusCode::BAD_REQUEST);
        };
        let known = self.lock().table.get(revoke.call).is_some();
        let verdict = match self.withdraw(revoke.call) {
            Verdict::Withdrawn if !known && !self.is_older_than(revoke.age_ms) => Verdict::Unknown,
            verdict => verdict,
        };
        Response::new(codec::encode(&verdict).into())
    }

    /// Handles a request to cancel a call whose caller has disconnected; the reply holds the verdict.
    pub fn cancel(&self, body: &[u8]) -> Reply {
        let Ok(cancel) = codec::decode::<Cancel>(body) else {
            return error_reply(StatusCode::BAD_REQUEST);
        };
        let verdict = self.cancel_call(cancel.call);
        Response::new(codec::encode(&verdict).into())
    }

    /// Refuses queued calls that can't start in time and removes expired state, until the process stops.
    pub async fn run(self, timer: Timer) {
        let mut ticks = timer.subscribe(TICK_INTERVAL, Duration::ZERO);
        loop {
            ticks.next().await;
            self.tick();
        }
    }

    /// Returns the load that is reported to entries.
    pub fn load(&self) -> Load {
        self.lock().load()
    }

    /// Renders the state for the state dump, without any caller's content.
    pub fn dump(&self) -> Value {
        let now = self.now();
        let state = self.lock();
        json!({
            "incarnation": self.inner.dependencies.incarnation.get(),
            "leaving": state.is_leaving,
            "load": state.load(),
            "rate": state.schedule.rate(),
            "queued": state.table.count(Stage::Queued),
            "started": state.table.count(Stage::Started),
            "finished": state.table.count(Stage::Finished),
            "withdrawn": state.table.count(Stage::Withdrawn),
            "answer_bytes": state.table.answer_bytes(),
            "claims_open": state.pending_claim_writes,
            "limited_customers": state.limits.owned_customers(),
            "suspects": state.render_suspects(now),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.inner.clock.now()
    }

    /// Admits a call and sends its events to one connection of an entry.
    async fn serve(&self, open: Open, sender: mpsc::Sender<bytes::Bytes>) {
        let reader = Reader {
            call: open.id,
            next_token: next_token_index(&open),
            has_sent_start: false,
            sender,
        };
        match self.accept(open).await {
            Ok(run) => self.stream_answer(reader, run).await,
            Err(fault) => reader.send_last(Body::Failed(fault)).await,
        }
    }

    /// Sends the events of a run to an entry; cancels the call if all entries disconnect and none rejoins in time.
    async fn stream_answer(&self, reader: Reader, run: Arc<Run>) {
        run.add_reader();
        let heartbeat = self.inner.options.heartbeat;
        reader
            .send_events(Arc::clone(&run), heartbeat, || self.load())
            .await;
        if !run.remove_reader() || run.has_ended() {
            return;
        }
        sleep(REJOIN_TIMEOUT).await;
        if run.has_no_readers() && !run.has_ended() {
            self.cancel_call(run.open.id);
        }
    }

    /// Returns whether this process was already running when a call of this age was first sent.
    fn is_older_than(&self, age_ms: u64) -> bool {
        let age = Duration::from_millis(age_ms);
        self.now() > age + age / AGE_MARGIN_DIVISOR + MIN_AGE_MARGIN
    }

    fn tick(&self) {
        let now = self.now();
        let given_up = {
            let mut state = self.lock();
            state.table.trim(now);
            state.limits.trim(now);
            state.remove_old_entries(now);
            self.inner.dependencies.metrics.set_load(&state.load());
            state.schedule.calls_to_shed(now)
        };
        for (id, refusal) in given_up {
            self.drop_queued(id, admit::overload_fault(&refusal, rand::random()));
        }
        self.apply_schedule();
    }
}

/// Returns the index of the next token that the entry needs.
fn next_token_index(open: &Open) -> u32 {
    match &open.work {
        Work::Model(generation) => generation.reached,
        Work::Plain(_) => 0,
    }
}

fn error_reply(status: StatusCode) -> Reply {
    let mut reply = Response::new(Stream::from(status.as_str().to_owned()));
    *reply.status_mut() = status;
    reply
}
