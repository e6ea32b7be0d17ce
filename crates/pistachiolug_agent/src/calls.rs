//! Calls at the backend server: admission, shares, start, answer, withdrawal.

mod access;
mod admit;
mod claim;
mod desk;
mod drive;
mod leave;
mod limits;
mod model;
mod plain;
mod reader;
pub mod run;
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
    crash::Reporter, incarnation::Incarnation, metrics::Metrics, peers::Peers, serving::Serving,
};
use desk::Desk;
use reader::Reader;
use run::Run;

/// Time for which a run that nobody reads waits for its entry to come back.
const REJOIN_TIME: Duration = Duration::from_secs(4);

/// Interval at which waiting calls are judged again and old rows are forgotten.
const TICK: Duration = Duration::from_millis(250);

/// Drift between two machines' clocks that is allowed for when ages are compared, as a part of the age.
const AGE_MARGIN_PART: u32 = 100;

/// Least margin when ages are compared.
const AGE_MARGIN: Duration = Duration::from_millis(200);

/// What an agent knows of itself.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the instance.
    pub instance: String,
    /// Service of the backend server.
    pub service: String,
    /// Size of the backend server and the queue.
    pub capacity: Capacity,
    /// Heartbeat interval inside open streams.
    pub heartbeat: Duration,
}

/// Services that calls use.
#[derive(Debug, Clone)]
pub struct Parts<E, S, C> {
    /// Model engine.
    pub engine: E,
    /// View of the engine.
    pub serving: Serving<E>,
    /// Plain service.
    pub service: S,
    /// Ledger of claims.
    pub claims: C,
    /// Lists in force.
    pub force: ActiveLists,
    /// Instances.
    pub view: View,
    /// Way to other processes.
    pub peers: Peers,
    /// Way to report crashes.
    pub crashes: Reporter,
    /// Fencing number of this process.
    pub incarnation: Incarnation,
    /// Metrics.
    pub metrics: Metrics,
}

/// Runs calls; clones share the backend server.
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
    parts: Parts<E, S, C>,
    clock: System,
    desk: Mutex<Desk>,
}

/// How a driver stops.
enum Stop {
    /// The answer has ended.
    Ended(Body),
    /// The run gave its slot back and waits to be resumed.
    Paused,
    /// The run gave its slot back and waits until nothing else runs.
    Isolated,
}

impl<E: Engine, S: Service, C: Claims> Calls<E, S, C> {
    /// Creates the service for one backend server.
    pub fn new(options: Options, parts: Parts<E, S, C>) -> Self {
        let desk = Mutex::new(Desk::new(options.capacity));
        let inner = Inner {
            options,
            parts,
            clock: System::default(),
            desk,
        };
        Self {
            inner: Arc::new(inner),
        }
    }

    /// Opens or joins a call and answers with its stream of events.
    pub fn open(&self, body: &[u8]) -> Reply {
        let Ok(open) = codec::decode::<Open>(body) else {
            return refuse(StatusCode::BAD_REQUEST);
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

    /// Withdraws a call unless it has started.
    pub fn revoke(&self, body: &[u8]) -> Reply {
        let Ok(revoke) = codec::decode::<Revoke>(body) else {
            return refuse(StatusCode::BAD_REQUEST);
        };
        let known = self.desk().table.find(revoke.call).is_some();
        let verdict = match self.withdraw(revoke.call) {
            Verdict::Withdrawn if !known && !self.witnessed(revoke.age_ms) => Verdict::Unknown,
            verdict => verdict,
        };
        Response::new(codec::encode(&verdict).into())
    }

    /// Ends a call whose caller is gone.
    pub fn cancel(&self, body: &[u8]) -> Reply {
        let Ok(cancel) = codec::decode::<Cancel>(body) else {
            return refuse(StatusCode::BAD_REQUEST);
        };
        let verdict = self.abandon(cancel.call);
        Response::new(codec::encode(&verdict).into())
    }

    /// Judges waiting calls and forgets old rows until the process stops.
    pub async fn run(self, timer: Timer) {
        let mut ticks = timer.subscribe(TICK, Duration::ZERO);
        loop {
            ticks.next().await;
            self.tick();
        }
    }

    /// Returns the load as entries are told it.
    pub fn load(&self) -> Load {
        self.desk().load()
    }

    /// Renders the state for the dump; it holds no caller's content.
    pub fn dump(&self) -> Value {
        let now = self.now();
        let desk = self.desk();
        json!({
            "incarnation": self.inner.parts.incarnation.get(),
            "leaving": desk.leaving,
            "load": desk.load(),
            "rate": desk.schedule.rate(),
            "queued": desk.table.count(Stage::Queued),
            "started": desk.table.count(Stage::Started),
            "finished": desk.table.count(Stage::Finished),
            "withdrawn": desk.table.count(Stage::Withdrawn),
            "answer_bytes": desk.table.bytes(),
            "claims_open": desk.claims,
            "limited_customers": desk.limits.len(),
            "suspects": desk.suspects(now),
        })
    }

    fn desk(&self) -> MutexGuard<'_, Desk> {
        self.inner
            .desk
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.inner.clock.now()
    }

    /// Serves one connection of an entry.
    async fn serve(&self, open: Open, sender: mpsc::Sender<bytes::Bytes>) {
        let reader = Reader {
            call: open.id,
            next: reached(&open),
            started: false,
            sender,
        };
        match self.arrive(open).await {
            Ok(run) => self.follow(reader, run).await,
            Err(fault) => reader.end(Body::Failed(fault)).await,
        }
    }

    async fn follow(&self, reader: Reader, run: Arc<Run>) {
        run.enter();
        let heartbeat = self.inner.options.heartbeat;
        reader
            .follow(Arc::clone(&run), heartbeat, || self.load())
            .await;
        if !run.leave() || run.ended() {
            return;
        }
        sleep(REJOIN_TIME).await;
        if run.unread() && !run.ended() {
            self.abandon(run.open.id);
        }
    }

    /// Tells whether this process was already there when a call of that age was first sent.
    fn witnessed(&self, age_ms: u64) -> bool {
        let age = Duration::from_millis(age_ms);
        self.now() > age + age / AGE_MARGIN_PART + AGE_MARGIN
    }

    fn tick(&self) {
        let now = self.now();
        let given_up = {
            let mut desk = self.desk();
            desk.table.trim(now);
            desk.limits.trim(now);
            desk.trim_entries(now);
            self.inner.parts.metrics.load(&desk.load());
            desk.schedule.given_up(now)
        };
        for (id, refusal) in given_up {
            self.drop_queued(id, admit::overloaded(&refusal, rand::random()));
        }
        self.pump();
    }
}

/// Index of the first token that the entry wants.
fn reached(open: &Open) -> u32 {
    match &open.work {
        Work::Model(generation) => generation.reached,
        Work::Plain(_) => 0,
    }
}

fn refuse(status: StatusCode) -> Reply {
    let mut reply = Response::new(Stream::from(status.as_str().to_owned()));
    *reply.status_mut() = status;
    reply
}
