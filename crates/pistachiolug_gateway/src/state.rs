//! State of an entry, shared by its requests and background tasks on one thread.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use pistachiolug_http::memory::Budget;
use pistachiolug_kernel::clock::{Clock, System};
use pistachiolug_replica::rows::Rows;
use pistachiolug_routing::{attribution::Attribution, retry::WindowBudget, suspect::Suspects};
use pistachiolug_wire::{
    datagram::{Beacon, Demand, Grant, Notice},
    digest::Digest,
    weights,
};
use rustc_hash::FxHashMap;
use tokio::sync::{Notify, futures::Notified, oneshot};

mod cold_servers;
mod dump;
mod limits;
mod parts;
mod placement;
mod prefixes;
mod reservation;
mod retries;
mod slots;
mod statements;
mod stop;
mod suspects;
mod targets;

pub use limits::Outgoing;
pub(crate) use parts::hex;
pub use suspects::SUSPECT_RETENTION;

use crate::{
    capacity::Capacity,
    cold,
    config::{Config, Engine, Service},
    coordination::Allocations,
    intake::Intake,
    losses::Losses,
    metrics::Metrics,
    names::Names,
    peers::Peers,
    permit::{OpenRequest, Permit},
    placement::Evacuations,
    pool::{Location, Pool, Requirements, Server},
    queue::Queue,
    reachability::Reachability,
    reservation::{Ledger, Unmet},
    stop::Work,
    unknown_headers::UnknownHeaders,
    versions::{self, Versions},
};

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the entry; unique in the deployment.
    pub name: String,
    /// Location of the entry.
    pub location: Location,
    /// Address for other entries and agents, over TCP and UDP.
    pub internal: SocketAddr,
    /// Names of the system's headers.
    pub names: Names,
    /// Retries of all entries that are allowed per request of a caller to a service.
    pub retry_share: f64,
    /// Retries of all entries that are allowed beyond that share.
    pub retry_slack: f64,
    /// Sliding window over which requests and retries are counted.
    pub retry_window: Duration,
    /// Time between the setting of a model's target version and the moment from which no older version may begin a
    /// request.
    pub version_grace: Duration,
    /// Time after the process's start from which target versions that were set before it are enforced.
    pub startup_grace: Duration,
    /// Bound on the requests of cold servers; `None` if they have no limit.
    pub cold_bound: Option<cold::Bound>,
    /// What the entry may hold for its callers.
    pub capacity: Capacity,
}

/// Waiting request and the channel for its permit.
type Waiter = (Requirements, oneshot::Sender<Permit>);

/// State of an entry.
#[derive(Debug)]
pub struct State {
    /// Settings of the entry.
    pub options: Options,
    /// Metrics of the entry.
    pub metrics: Metrics,
    /// Memory for what the entry holds for others.
    pub memory: Budget,
    /// Bodies of requests that are being received.
    pub intake: Intake,
    clock: System,
    rows: RefCell<Rows>,
    config: RefCell<Option<Arc<Config>>>,
    pool: RefCell<Pool>,
    versions: RefCell<Versions>,
    evacuations: RefCell<Evacuations>,
    /// Wakes requests whose deadlines have come closer: a target version was set, or the machine was suspended.
    deadlines_moved: Notify,
    queues: RefCell<FxHashMap<Arc<str>, Queue<Waiter>>>,
    /// Slot rates by service.
    rates: RefCell<FxHashMap<Arc<str>, slots::Rates>>,
    /// Counts of competing requests by service.
    ledgers: RefCell<FxHashMap<Arc<str>, Ledger>>,
    /// Requests of other entries that are short of slots, by hashed service.
    peer_shortages: RefCell<FxHashMap<u32, Unmet>>,
    budgets: RefCell<FxHashMap<Arc<str>, WindowBudget>>,
    has_read_rows: Cell<bool>,
    /// Era of the rows; `None` before the first read.
    era: Cell<Option<u64>>,
    /// Time from which the slack of the retry budget may be used.
    slack_from: Cell<Duration>,
    peers: RefCell<Peers>,
    /// Longest time limit that callers of a route have sent.
    longest_limits: RefCell<FxHashMap<Arc<str>, Duration>>,
    reachability: RefCell<Reachability>,
    losses: RefCell<Losses>,
    /// Wakes the task that checks servers at which requests were lost.
    loss_recorded: Notify,
    suspects: RefCell<Suspects>,
    /// When the rows of refused suspects are compared with what this entry knows; `None` if that is not needed.
    suspects_missing_at: Cell<Option<Duration>>,
    /// Suspects whose row in the key-value service is missing or outdated.
    unsaved_suspects: RefCell<BTreeSet<Digest>>,
    attribution: RefCell<Attribution>,
    /// Reruns of the named parts whose rows are in the key-value service, as their rows say.
    saved_reruns: RefCell<FxHashMap<u64, u8>>,
    unknown_headers: RefCell<UnknownHeaders>,
    /// Allocations of limited servers that this entry coordinates.
    allocations: RefCell<Allocations>,
    /// Demands and grants that are not sent yet, with the entries that get them.
    outgoing_demands: RefCell<Vec<(SocketAddr, Demand)>>,
    outgoing_grants: RefCell<Vec<(SocketAddr, Grant)>>,
    /// Wakes the task that sends demands and grants.
    demand_recorded: Notify,
    open_count: Cell<usize>,
    /// When the process ends at the latest; `None` until it is told to stop.
    stop_end: Cell<Option<Duration>>,
    /// How long servers work on requests, by route.
    work: RefCell<FxHashMap<Arc<str>, Work>>,
}

impl State {
    /// Creates the state of an entry that has no rows and knows no servers yet.
    pub fn new(options: Options, metrics: Metrics) -> Rc<Self> {
        let versions = Versions::new(options.version_grace, options.startup_grace);
        let location = &options.location;
        let region = location
            .regions
            .get(&*location.zone)
            .map_or("", String::as_str);
        let peers = Peers::new(&options.name, region);
        let memory = Budget::new(options.capacity.held_bytes);
        let intake = Intake::new(memory.clone(), options.capacity.answer_bytes);
        Rc::new(Self {
            options,
            metrics,
            memory,
            intake,
            clock: System::default(),
            rows: RefCell::default(),
            config: RefCell::default(),
            pool: RefCell::default(),
            versions: RefCell::new(versions),
            evacuations: RefCell::default(),
            deadlines_moved: Notify::new(),
            queues: RefCell::default(),
            rates: RefCell::default(),
            ledgers: RefCell::default(),
            peer_shortages: RefCell::default(),
            budgets: RefCell::default(),
            has_read_rows: Cell::default(),
            era: Cell::default(),
            slack_from: Cell::default(),
            peers: RefCell::new(peers),
            longest_limits: RefCell::default(),
            reachability: RefCell::default(),
            losses: RefCell::default(),
            loss_recorded: Notify::new(),
            suspects: RefCell::new(Suspects::with_limit(suspects::LIMIT)),
            suspects_missing_at: Cell::default(),
            unsaved_suspects: RefCell::default(),
            attribution: RefCell::new(Attribution::new(parts::LIMIT)),
            saved_reruns: RefCell::default(),
            unknown_headers: RefCell::default(),
            allocations: RefCell::default(),
            outgoing_demands: RefCell::default(),
            outgoing_grants: RefCell::default(),
            demand_recorded: Notify::new(),
            open_count: Cell::new(0),
            stop_end: Cell::default(),
            work: RefCell::default(),
        })
    }

    /// Returns the time since the process's start, including the time for which the machine was suspended.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the process's clock.
    pub fn clock(&self) -> System {
        self.clock.clone()
    }

    /// Counts a request as open until the returned guard is dropped.
    pub fn open_request(self: &Rc<Self>) -> OpenRequest {
        self.open_count.set(self.open_count.get() + 1);
        OpenRequest {
            state: Rc::clone(self),
        }
    }

    /// Counts a request as ended.
    pub(crate) fn close_request(&self) {
        self.open_count.set(self.open_count.get() - 1);
    }

    /// Returns the number of open requests.
    pub fn count_open_requests(&self) -> usize {
        self.open_count.get()
    }

    /// Calls `action` with the rows of the key-value service.
    pub fn with_rows<T>(&self, action: impl FnOnce(&mut Rows) -> T) -> T {
        action(&mut self.rows.borrow_mut())
    }

    /// Returns the configuration in force; `None` before the first one is known.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.borrow().clone()
    }

    /// Puts a configuration in force unless a newer one already is.
    pub fn set_config(&self, config: Config) {
        let mut current = self.config.borrow_mut();
        let known = current.as_ref().map_or(0, |known| known.version());
        let version = config.version();
        if current.is_some() && version < known {
            log::warn!(version, known; "older configuration ignored");
            return;
        }
        log::info!(version, before = known; "configuration in force");
        let config = Arc::new(config);
        *current = Some(Arc::clone(&config));
        drop(current);
        self.apply_cold_limits(&config);
        let services = config.services().map(|service| Arc::clone(&service.name));
        let now = self.now();
        self.with_pool(|pool| pool.set_services(services, now));
    }

    /// Calls `action` with the server pool.
    pub fn with_pool<T>(&self, action: impl FnOnce(&mut Pool) -> T) -> T {
        action(&mut self.pool.borrow_mut())
    }

    /// Records another entry's beacon, which arrived after `arrived_after`. If that entry has the same rows, they are as
    /// complete as it knows.
    pub fn record_beacon(&self, beacon: Beacon, arrived_after: Duration) {
        if let Some(age_ms) = beacon.rows_age_ms {
            let complete_at = arrived_after.checked_sub(Duration::from_millis(age_ms.into()));
            if let Some(complete_at) = complete_at {
                self.with_rows(|rows| rows.confirm_by_peer(beacon.position, complete_at));
                self.with_reachability(|store| store.record_answer_to_other(complete_at));
            }
        }
        let now = self.now();
        let reaches_service = beacon.in_touch;
        self.with_peers(|peers| peers.record_beacon(beacon, now));
        // An entry that makes no calls would not notice the end of an outage.
        if reaches_service && !self.is_active() {
            self.with_reachability(|store| store.record_contact_of_other(now));
        }
    }

    /// Makes requests compute again how long they wait; called when timers that were set before are too late.
    pub fn move_deadlines(&self) {
        self.deadlines_moved.notify_waiters();
    }

    /// Waits until deadlines come closer after this call.
    pub(crate) fn wait_for_moved_deadlines(&self) -> Notified<'_> {
        self.deadlines_moved.notified()
    }

    /// Applies the notice of a server's agent.
    pub fn apply_notice(self: &Rc<Self>, notice: &Notice) {
        let now = self.now();
        let known = self.with_pool(|pool| pool.apply_notice(notice, now));
        log::info!(server:% = notice.server, model = notice.model.as_str(), change:? = notice.change, known; "agent notice received");
        self.serve_queues();
    }

    /// Records the era of rows that were read, and returns whether the key-value service has come back from an earlier
    /// copy since the last ones.
    pub fn record_era(&self, era: u64) -> bool {
        let previous = self.era.replace(Some(era));
        let is_restored = previous.is_some_and(|previous| previous != era);
        if is_restored {
            let now = self.now();
            self.with_reachability(|store| store.record_restore(now));
            self.schedule_suspect_rows();
        }
        is_restored
    }

    /// Calls `action` with the reachability of the key-value service.
    pub fn with_reachability<T>(&self, action: impl FnOnce(&mut Reachability) -> T) -> T {
        action(&mut self.reachability.borrow_mut())
    }

    /// Calls `action` with the other entries.
    pub fn with_peers<T>(&self, action: impl FnOnce(&mut Peers) -> T) -> T {
        action(&mut self.peers.borrow_mut())
    }

    /// Returns the beacon of a round and the addresses to send it to.
    pub fn build_beacon(&self, round: u32) -> (Beacon, Vec<SocketAddr>) {
        let peers = self.peers.borrow();
        let rows = self.rows.borrow();
        let rows_age = rows.answered_at().map(|at| self.now().saturating_sub(at));
        let beacon = Beacon {
            name: self.options.name.clone(),
            address: self.options.internal,
            region: peers.region().to_owned(),
            in_touch: self.reachability.borrow().is_reachable(),
            position: rows.position(),
            rows_age_ms: rows_age.map(versions::millis),
            work: self.pool.borrow().own_work(),
            shortages: self.shortages(),
            paces: self.pool.borrow().own_paces(self.now()),
        };
        (beacon, peers.beacon_targets(round).collect())
    }

    /// Updates the open requests of the other entries, removes servers whose scheduled time has come, and serves the
    /// queues.
    pub fn refresh(self: &Rc<Self>) {
        let now = self.now();
        let peers = self.peers.borrow();
        let (count, work) = (peers.count() as u32 - 1, peers.work(now));
        let registered = peers.count_registered(now) as u32;
        self.peer_shortages.replace(peers.shortages(now));
        let paces = peers.paces(now);
        drop(peers);
        self.record_service(now);
        self.end_missing_evacuations();
        let removed = self.with_pool(|pool| {
            cold_servers::record_round(pool, now);
            pool.set_registered(registered);
            pool.set_peer_work(count, &work);
            pool.set_peer_paces(&paces);
            let slow = i64::try_from(pool.count_slow(now));
            self.metrics.slow_servers.set(slow.unwrap_or(i64::MAX));
            pool.put_confirmed(now);
            pool.settle_silent(now);
            pool.remove_expired(now)
        });
        for server in removed {
            log::info!(server = &*server; "server removed");
        }
        self.count_cold_servers(now);
        self.renew_grants();
        self.serve_queues();
    }

    /// Returns the internal addresses of the agents of servers that hold a model.
    ///
    /// Agents use the same internal port as entries.
    pub fn agent_addresses(&self, model: &str) -> Vec<SocketAddr> {
        let port = self.options.internal.port();
        let pool = self.pool.borrow();
        let engines = pool.servers().map(Server::record);
        let engines = engines.filter(|record| record.version(model).is_some());
        engines
            .map(|record| SocketAddr::new(record.address.ip(), port))
            .collect()
    }

    /// Returns the address of a live entry with newer rows, preferably of the own region; `None` if there is none.
    pub fn newer_peer(&self) -> Option<SocketAddr> {
        let position = self.rows.borrow().position();
        let peers = self.peers.borrow();
        peers.newer_peer(position, self.now())
    }

    /// Returns whether this entry reads the key-value service itself: before its first rows, or as a follower of its
    /// region.
    pub fn is_active(&self) -> bool {
        !self.rows.borrow().is_read() || self.peers.borrow().is_follower(self.now())
    }

    /// Returns what the agents of a service need to know of its weights and of each other; `None` for services without
    /// engines.
    pub fn weights_view(&self, service: &str) -> Option<weights::View> {
        let config = self.config()?;
        let engine = find_engine(&config, service)?;
        let regions = &self.options.location.regions;
        let region = |zone: &str| regions.get(zone).cloned().unwrap_or_default();
        let models = engine.models.iter().map(|held| weights::Model {
            name: held.model.clone(),
            pieces: held.pieces,
            piece_bytes: held.piece_bytes,
            layers: held.layers,
            version: self.target_version(&held.model).unwrap_or(1),
        });
        let port = self.options.internal.port();
        let pool = self.pool.borrow();
        let records = pool.servers().map(Server::record);
        let engines = records.filter(|record| &*record.service == service);
        let agents = engines.map(|record| weights::Place {
            address: SocketAddr::new(record.address.ip(), port),
            region: region(&record.zone),
        });
        let peers = self.peers.borrow();
        Some(weights::View {
            models: models.collect(),
            origin: config.origin().map(|origin| weights::Place {
                address: origin.address,
                region: region(&origin.zone),
            }),
            agents: agents.collect(),
            entries: peers.addresses().chain([self.options.internal]).collect(),
        })
    }
}

/// Returns the engine of a service; `None` for plain or unknown services.
pub fn find_engine<'a>(config: &'a Config, service: &str) -> Option<&'a Engine> {
    let service: &Service = config.service(service)?;
    service.engine.as_ref()
}
