//! Agent beside an engine that follows a script.

#![allow(clippy::unwrap_used, dead_code, unreachable_pub)]

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    net::SocketAddr,
    ops::Range,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use pistachiolug_http::client::Client;
use pistachiolug_kernel::{
    clock::{Clock, System},
    timer::Timer,
};
use pistachiolug_loader::{
    discovery::Discovery,
    engine::{Engine, Error, Layers, LoadResponse, Origin, Report},
    exchange::Exchange,
    load::Loader,
    manifest::Manifest,
    metrics::Metrics,
    pacing::Paced,
    row::{Decoder, Row},
    state::{Options, State},
    transfer::Transfer,
};
use pistachiolug_platform::kv::memory::Memory;
use pistachiolug_weights::roster::Member;
use pistachiolug_wire::{
    datagram::{self, Change, Datagram},
    weights::{Model, Place, View},
};
use sha2::{Digest, Sha256};
use tokio::{
    net::UdpSocket,
    task::{LocalSet, spawn_local},
    time::{sleep, timeout},
};

pub const MODEL: &str = "ravioli";
pub const PIECES: usize = 24;
pub const LAYERS: usize = 8;
pub const PIECE_BYTES: usize = 2000;

/// Time that the origin takes for a piece.
pub const READ_TIME: Duration = Duration::from_millis(5);

/// Time before the acceptance of an order in which a staged piece may turn corrupt, by the users' rules.
pub const CORRUPTION_ALLOWANCE: Duration = Duration::from_secs(3);

/// Time in which an engine may deal with an order; 10 s were seen.
pub const MAX_DELAY: Duration = Duration::from_secs(15);

pub fn piece(version: u64, index: usize) -> Bytes {
    let byte = (version as usize * 31 + index) as u8;
    Bytes::from(vec![byte; PIECE_BYTES])
}

pub fn unanswered() -> Error {
    Error::Failed {
        reason: "no answer".to_owned(),
    }
}

/// Call of an agent to its engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    Read(usize),
    Write(u64, usize),
    Load(u64),
    Unload(u64),
}

/// Weights of an agent's model, and what its engine holds when the agent starts.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    pub pieces: usize,
    pub layers: usize,
    /// Version that the engine holds and has staged; `None` if it is empty.
    pub held: Option<u64>,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            pieces: PIECES,
            layers: LAYERS,
            held: Some(1),
        }
    }
}

/// How an engine deals with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    Normal,
    /// The call is not answered, and carried out when the script says so.
    Unanswered,
    /// The call is carried out and answered after a time.
    Slow(Duration),
    /// An order is answered with a conflict.
    Conflict,
    /// An order is answered as already in effect, and does not count.
    InEffect,
}

/// Decides what happens to a call, and may change the engine before it.
pub type Script = Box<dyn FnMut(&mut EngineState, Call) -> Fate>;

#[derive(Debug, Clone)]
pub struct Piece {
    pub bytes: Bytes,
    pub corrupt_since: Option<Duration>,
}

pub struct EngineState {
    pub clock: System,
    pub staged: BTreeMap<usize, Piece>,
    pub setup: Setup,
    pub held: Option<u64>,
    /// Whether the engine holds all layers but the first.
    pub is_partial: bool,
    /// Whether the weights were whole when they were taken.
    pub is_whole: bool,
    pub orders: u64,
    pub started_ms: u64,
    /// Versions whose loads took incomplete weights; loads with which the engine can't serve don't count.
    pub incomplete_loads: Vec<u64>,
    /// Orders without an answer, with the number of accepted orders that they named, and when they are dropped.
    pub late_orders: Vec<(u64, Layers, u64, Duration)>,
    /// Writes without an answer.
    pub late_writes: Vec<(usize, Bytes)>,
    /// Time that a load takes; the engine reports no version meanwhile.
    pub load_time: Duration,
    /// When the last load ends.
    pub busy_until: Duration,
    /// Whether the engine answers nothing.
    pub is_silent: bool,
    /// Number of reports that were asked for.
    pub reports: usize,
    /// Requests per second to which the engine limits all instances together.
    pub limit: Option<f64>,
    /// Times of all calls.
    pub calls: Vec<Duration>,
    /// Time that the engine takes to give a staged piece.
    pub read_time: Duration,
    /// Pieces that turn corrupt, and when.
    pub corruptions: Vec<(usize, Duration)>,
    /// Whether the engine serves, by the time since which it does or does not.
    pub serving: Vec<(Duration, bool)>,
}

impl EngineState {
    pub fn stage(&mut self, index: usize, bytes: Bytes) {
        let piece = Piece {
            bytes,
            corrupt_since: None,
        };
        self.staged.insert(index, piece);
    }

    pub fn corrupt(&mut self, index: usize) {
        let piece = self.staged.get_mut(&index).unwrap();
        piece.corrupt_since = Some(self.clock.now());
    }

    pub fn is_staged_whole(&self, version: u64) -> bool {
        self.are_staged_whole(version, 0..self.setup.pieces)
    }

    fn are_staged_whole(&self, version: u64, pieces: Range<usize>) -> bool {
        let now = self.clock.now();
        pieces.into_iter().all(|index| {
            self.staged.get(&index).is_some_and(|staged| {
                let corrupt_for = staged.corrupt_since.map(|since| now.saturating_sub(since));
                staged.bytes == piece(version, index)
                    && corrupt_for.is_none_or(|time| time <= CORRUPTION_ALLOWANCE)
            })
        })
    }

    pub fn accept(&mut self, version: u64, layers: Layers, orders: u64) -> LoadResponse {
        self.carry_out_corruptions();
        if self.orders != orders || self.clock.now() < self.busy_until {
            return LoadResponse::Conflict;
        }
        if self.held == Some(version) && !(self.is_partial && layers == Layers::All) {
            return LoadResponse::InEffect;
        }
        self.orders += 1;
        let (pieces, count) = (self.setup.pieces, self.setup.layers.max(1));
        let is_added = self.held == Some(version) && self.is_partial;
        let taken = match layers {
            Layers::AllButFirst { .. } => pieces / count..pieces,
            Layers::All if is_added => 0..pieces.div_ceil(count),
            Layers::All => 0..pieces,
        };
        self.is_whole = self.are_staged_whole(version, taken) && (self.is_whole || !is_added);
        self.is_partial = layers != Layers::All;
        if !self.is_whole && !self.is_partial {
            self.incomplete_loads.push(version);
        }
        self.held = Some(version);
        self.busy_until = self.clock.now() + self.load_time;
        self.record_serving(!self.is_partial);
        LoadResponse::Accepted
    }

    fn record_serving(&mut self, is_serving: bool) {
        if self
            .serving
            .last()
            .is_none_or(|(_, before)| *before != is_serving)
        {
            self.serving.push((self.clock.now(), is_serving));
        }
    }

    fn carry_out_corruptions(&mut self) {
        let now = self.clock.now();
        let (due, later) = std::mem::take(&mut self.corruptions)
            .into_iter()
            .partition(|(_, at)| *at <= now);
        self.corruptions = later;
        let due: Vec<_> = due;
        for (index, at) in due {
            let staged = self.staged.get_mut(&index);
            if let Some(piece) = staged.filter(|piece| piece.corrupt_since.is_none()) {
                piece.corrupt_since = Some(at);
            }
        }
    }

    pub fn carry_out_late_orders(&mut self) {
        for (version, layers, orders, until) in std::mem::take(&mut self.late_orders) {
            if self.clock.now() < until {
                self.accept(version, layers, orders);
            }
        }
    }

    pub fn carry_out_late_writes(&mut self) {
        for (index, bytes) in std::mem::take(&mut self.late_writes) {
            self.stage(index, bytes);
        }
    }

    /// Restarts the engine, which keeps what is staged.
    pub fn restart(&mut self) {
        self.held = None;
        self.is_partial = false;
        self.orders = 0;
        self.started_ms += 1;
        self.busy_until = self.clock.now();
        self.late_orders.clear();
        self.late_writes.clear();
    }

    /// Replaces the engine by one that has nothing staged, at the same address.
    pub fn replace(&mut self) {
        self.staged.clear();
        self.held = None;
        self.is_partial = false;
        self.orders = 0;
        self.started_ms += 1;
    }
}

/// Engine that follows a script.
#[derive(Clone)]
pub struct ScriptedEngine {
    pub inner: Rc<RefCell<EngineState>>,
    pub script: Rc<RefCell<Script>>,
}

impl ScriptedEngine {
    pub fn begin(&self, call: Call) -> Fate {
        let mut inner = self.inner.borrow_mut();
        let now = inner.clock.now();
        inner.calls.push(now);
        inner.carry_out_corruptions();
        (self.script.borrow_mut())(&mut inner, call)
    }
}

impl Engine for ScriptedEngine {
    fn limit(&self) -> Option<f64> {
        self.inner.borrow().limit
    }

    async fn report(&self) -> Result<Report, Error> {
        let mut inner = self.inner.borrow_mut();
        inner.reports += 1;
        let now = inner.clock.now();
        inner.calls.push(now);
        if inner.is_silent {
            return Err(unanswered());
        }
        let busy = inner.clock.now() < inner.busy_until;
        let held = inner.held.filter(|_| !busy);
        let held = held.map(|version| (MODEL.to_owned(), version));
        Ok(Report {
            models: held.into_iter().collect(),
            is_partial: inner.is_partial,
            busy,
            accepted_orders: inner.orders,
            started_ms: inner.started_ms,
        })
    }

    async fn stage(&self, _: &str, index: usize, bytes: Bytes) -> Result<(), Error> {
        let version = (1..100).find(|version| piece(*version, index) == bytes);
        match self.begin(Call::Write(version.unwrap(), index)) {
            Fate::Normal | Fate::Conflict | Fate::InEffect => {}
            Fate::Slow(time) => {
                // The engine goes on if its caller doesn't wait for the answer.
                let inner = Rc::clone(&self.inner);
                let write = spawn_local(async move {
                    sleep(time).await;
                    inner.borrow_mut().stage(index, bytes);
                });
                return write.await.map_err(|_| unanswered());
            }
            Fate::Unanswered => {
                self.inner.borrow_mut().late_writes.push((index, bytes));
                sleep(READ_TIME).await;
                return Err(unanswered());
            }
        }
        self.inner.borrow_mut().stage(index, bytes);
        Ok(())
    }

    async fn read_staged(&self, _: &str, index: usize) -> Result<Option<Bytes>, Error> {
        self.begin(Call::Read(index));
        let read_time = self.inner.borrow().read_time;
        if !read_time.is_zero() {
            sleep(read_time).await;
        }
        let inner = self.inner.borrow();
        Ok(inner.staged.get(&index).map(|staged| {
            if staged.corrupt_since.is_some() {
                Bytes::from_static(b"corrupt")
            } else {
                staged.bytes.clone()
            }
        }))
    }

    async fn load(
        &self,
        _: &str,
        version: u64,
        layers: Layers,
        orders: u64,
    ) -> Result<LoadResponse, Error> {
        let fate = self.begin(Call::Load(version));
        let mut inner = self.inner.borrow_mut();
        if fate == Fate::Unanswered {
            let until = inner.clock.now() + MAX_DELAY;
            inner.late_orders.push((version, layers, orders, until));
            return Err(unanswered());
        }
        if fate == Fate::Conflict || inner.clock.now() < inner.busy_until {
            return Ok(LoadResponse::Conflict);
        }
        Ok(inner.accept(version, layers, orders))
    }

    async fn unload(&self, _: &str, version: u64, orders: u64) -> Result<LoadResponse, Error> {
        let fate = self.begin(Call::Unload(version));
        let mut inner = self.inner.borrow_mut();
        if fate == Fate::Unanswered {
            return Err(unanswered());
        }
        if fate == Fate::InEffect {
            return Ok(LoadResponse::InEffect);
        }
        let is_busy = inner.clock.now() < inner.busy_until;
        if fate == Fate::Conflict || is_busy || inner.orders != orders {
            return Ok(LoadResponse::Conflict);
        }
        inner.orders += 1;
        inner.held = None;
        inner.is_partial = false;
        inner.record_serving(false);
        Ok(LoadResponse::Accepted)
    }
}

/// Time that the origin takes for digests: agents know pieces of a newer version before those of an older one.
pub fn manifest_time(version: u64) -> Duration {
    match version {
        2 => 10 * READ_TIME,
        _ => READ_TIME,
    }
}

/// Origin that gives sound pieces of the newest version and the one before; clones share it.
#[derive(Clone)]
pub struct SoundOrigin {
    pub pieces: usize,
    /// Newest version; `None` if all versions can be read.
    pub newest: Rc<Cell<Option<u64>>>,
    /// Time that the origin takes for a piece.
    pub piece_time: Rc<Cell<Duration>>,
    /// Whether the origin answers.
    pub is_away: Rc<Cell<bool>>,
}

impl SoundOrigin {
    pub fn new(pieces: usize) -> Self {
        Self {
            pieces,
            newest: Rc::default(),
            piece_time: Rc::new(Cell::new(READ_TIME)),
            is_away: Rc::default(),
        }
    }

    fn find(&self, version: u64) -> Result<(), Error> {
        if self.is_away.get() {
            return Err(unanswered());
        }
        match self.newest.get() {
            Some(newest) if version > newest => Err(unanswered()),
            Some(newest) if version + 2 <= newest => Err(Error::Gone),
            _ => Ok(()),
        }
    }
}

impl Origin for SoundOrigin {
    async fn read_manifest(&self, _: SocketAddr, _: &str, version: u64) -> Result<Manifest, Error> {
        sleep(manifest_time(version)).await;
        self.find(version)?;
        let digests = (0..self.pieces).map(|index| Sha256::digest(piece(version, index)).into());
        Ok(Manifest {
            digests: digests.collect(),
        })
    }

    async fn read_piece(
        &self,
        _: SocketAddr,
        _: &str,
        version: u64,
        index: usize,
    ) -> Result<Bytes, Error> {
        sleep(self.piece_time.get()).await;
        self.find(version)?;
        Ok(piece(version, index))
    }
}

/// Decoder of no rows; the tests announce versions themselves.
#[derive(Clone)]
pub struct NoRows;

impl Decoder for NoRows {
    fn decode(&self, _: &str, _: &[u8]) -> Row {
        Row::Other
    }

    fn versions_prefix(&self) -> &'static str {
        "version/"
    }

    fn entries_prefix(&self) -> &'static str {
        "entry/"
    }

    fn configuration_key(&self) -> &'static str {
        "configuration"
    }
}

/// Agent beside an engine that holds version 1.
pub struct Agent {
    pub state: Rc<State>,
    pub engine: ScriptedEngine,
    pub origin: SoundOrigin,
    pub loader: tokio::task::JoinHandle<()>,
}

impl Agent {
    pub async fn start(script: impl FnMut(&mut EngineState, Call) -> Fate + 'static) -> Self {
        Self::start_with(Setup::default(), script).await
    }

    pub async fn start_with(
        setup: Setup,
        script: impl FnMut(&mut EngineState, Call) -> Fate + 'static,
    ) -> Self {
        let address: SocketAddr = "127.0.0.1:1".parse().unwrap();
        let place = Place {
            address,
            region: "inland".to_owned(),
        };
        let state = State::new(options(&place), metrics());
        state.apply_view(view(place, setup));
        let staged = (0..setup.pieces).filter(|_| setup.held.is_some());
        let staged = staged.map(|index| {
            let piece = Piece {
                bytes: piece(1, index),
                corrupt_since: None,
            };
            (index, piece)
        });
        let engine = ScriptedEngine {
            inner: Rc::new(RefCell::new(EngineState {
                clock: state.clock(),
                staged: staged.collect(),
                setup,
                held: setup.held,
                is_partial: false,
                is_whole: true,
                orders: 0,
                started_ms: 1,
                incomplete_loads: Vec::new(),
                late_orders: Vec::new(),
                late_writes: Vec::new(),
                load_time: Duration::ZERO,
                busy_until: Duration::ZERO,
                is_silent: false,
                reports: 0,
                limit: None,
                calls: Vec::new(),
                read_time: Duration::ZERO,
                corruptions: Vec::new(),
                serving: vec![(Duration::ZERO, setup.held.is_some())],
            })),
            script: Rc::new(RefCell::new(Box::new(script))),
        };
        Self::run(state, engine, SoundOrigin::new(setup.pieces)).await
    }

    pub async fn run(state: Rc<State>, engine: ScriptedEngine, origin: SoundOrigin) -> Self {
        let socket = || UdpSocket::bind("127.0.0.1:0");
        let loader = Loader {
            transfer: Transfer {
                state: Rc::clone(&state),
                engine: Paced::new(engine.clone(), state.clock()),
                origin: origin.clone(),
                client: Client::new(0),
                exchange: Exchange::new(socket().await.unwrap(), Rc::clone(&state)),
            },
            discovery: Discovery {
                store: Memory::new(1),
                decoder: NoRows,
                client: Client::new(0),
            },
            socket: socket().await.unwrap(),
        };
        let timer: Timer = Timer::default();
        let ticks = timer.subscribe(Duration::from_millis(20), Duration::ZERO);
        spawn_local(timer.run());
        let loader = spawn_local(loader.run(ticks));
        Self {
            state,
            engine,
            origin,
            loader,
        }
    }

    /// Starts an agent in place of this one, which is killed. It knows nothing of the orders before.
    pub async fn restart(self) -> Self {
        self.kill();
        self.start_again().await
    }

    pub fn kill(&self) {
        self.loader.abort();
    }

    /// Starts an agent in place of this one, which was killed.
    pub async fn start_again(self) -> Self {
        let address = self.state.options.server_address;
        let place = Place {
            address,
            region: "inland".to_owned(),
        };
        let state = State::new(options(&place), metrics());
        let setup = self.engine.inner.borrow().setup;
        state.apply_view(view(place, setup));
        Self::run(state, self.engine, self.origin).await
    }

    pub fn announce(&self, version: u64) {
        announce(&self.state, version);
    }

    /// Waits until the agent says that its engine serves a version, and returns whether its weights are whole.
    pub async fn serve(&self, version: u64) -> bool {
        let serving = async {
            while !self.state.is_serving(version) {
                sleep(Duration::from_millis(1)).await;
            }
        };
        let held = timeout(Duration::from_secs(20), serving).await;
        let inner = self.engine.inner.borrow();
        assert!(held.is_ok(), "held {:?}", inner.held);
        inner.is_whole
    }

    pub fn incomplete_loads(&self) -> Vec<u64> {
        self.engine.inner.borrow().incomplete_loads.clone()
    }
}

/// Returns the change that the next datagram to an entry tells of; `None` if it is of another kind.
pub async fn receive_change(entry: &UdpSocket) -> Option<Change> {
    let mut buffer = [0; 2048];
    let received = timeout(Duration::from_secs(20), entry.recv(&mut buffer)).await;
    let length = received.unwrap().unwrap();
    match datagram::decode(&buffer[..length]) {
        Ok(Datagram::Notice(notice)) => Some(notice.change),
        _ => None,
    }
}

pub fn announce(state: &State, version: u64) {
    state.record_version(MODEL, version, Some(state.now()), "test");
}

pub fn options(place: &Place) -> Options {
    Options {
        name: "agent".to_owned(),
        service: "desk".to_owned(),
        member: Member {
            name: place.address.to_string(),
            address: place.address,
            region: place.region.clone(),
        },
        server_address: place.address,
        link_bytes_per_second: 100_000_000,
        version_grace: Duration::from_secs(20),
    }
}

pub fn view(place: Place, setup: Setup) -> View {
    View {
        models: vec![Model {
            name: MODEL.to_owned(),
            pieces: setup.pieces,
            piece_bytes: PIECE_BYTES,
            layers: setup.layers,
            version: 1,
        }],
        origin: Some(place.clone()),
        agents: vec![place],
        entries: Vec::new(),
    }
}

pub fn metrics() -> Metrics {
    Metrics::register(&prometheus::Registry::new()).unwrap()
}

pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}
