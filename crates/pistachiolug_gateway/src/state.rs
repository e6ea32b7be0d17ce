//! State of an entry, shared by its requests and its background tasks on one thread.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use pistachiolug_kernel::clock::{Clock, System};
use pistachiolug_replica::rows::Rows;
use pistachiolug_routing::retry::Window;
use pistachiolug_wire::{
    datagram::{Beacon, Notice},
    weights,
};
use rustc_hash::FxHashMap;
use tokio::sync::oneshot;

use crate::{
    admission::SlotRates,
    config::{Config, Engine, Service},
    metrics::Metrics,
    names::Names,
    peers::Peers,
    permit::{OpenRequest, Permit},
    pool::{Location, Pool, Requirements, Server},
    queue::{Position, Queue, Rank},
    rate::{self, Rate},
    reachability::Reachability,
    server::Version,
    versions::Versions,
};

/// Part of the retry allowance that is used; the rest covers what entries learn late of each other.
const BUDGET_USED: f64 = 0.88;

/// Share of the longest time limit seen on a route from which an attempt counts as the first: callers' own limits
/// differ by up to 15 in 100, and an attempt that comes back after a refusal has lost more.
const FIRST_ATTEMPT_SHARE: f64 = 0.84;

/// Settings of an entry.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name.
    pub name: String,
    /// Place.
    pub location: Location,
    /// Internal address.
    pub internal: SocketAddr,
    /// Header names.
    pub names: Names,
    /// Retries over all entries as a share of the requests to a service.
    pub retry_share: f64,
    /// Retries over all entries beyond that share.
    pub retry_slack: f64,
    /// Time over which both are counted.
    pub retry_window: Duration,
    /// Time after the naming of a version from which no older one may begin a request.
    pub version_grace: Duration,
    /// Time after its start from which a process is held to such times.
    pub startup_grace: Duration,
}

type Waiter = (Requirements, oneshot::Sender<Permit>);

/// Rates of one service.
#[derive(Debug)]
struct Rates {
    freed: Rate,
    fresh: Rate,
}

impl Rates {
    fn new(now: Duration) -> Self {
        Self {
            freed: Rate::new(now, rate::INITIAL_PER_SECOND),
            fresh: Rate::new(now, 0.0),
        }
    }
}

type Called = (Permit, oneshot::Sender<Permit>);

/// Entry's state.
#[derive(Debug)]
pub struct State {
    /// Settings.
    pub options: Options,
    /// Counters.
    pub metrics: Metrics,
    clock: System,
    rows: RefCell<Rows>,
    config: RefCell<Option<Arc<Config>>>,
    pool: RefCell<Pool>,
    versions: RefCell<Versions>,
    queues: RefCell<FxHashMap<Arc<str>, Queue<Waiter>>>,
    /// By service: places that come free, and those that requests get which can be on time.
    rates: RefCell<FxHashMap<Arc<str>, Rates>>,
    budgets: RefCell<FxHashMap<Arc<str>, Window>>,
    peers: RefCell<Peers>,
    /// Longest time that callers of a route have named as theirs.
    longest: RefCell<FxHashMap<Arc<str>, Duration>>,
    reachability: RefCell<Reachability>,
    open: Cell<usize>,
}

impl State {
    /// Creates the state of an entry that knows nothing yet.
    pub fn new(options: Options, metrics: Metrics) -> Rc<Self> {
        let versions = Versions::new(options.version_grace, options.startup_grace);
        let location = &options.location;
        let region = location
            .regions
            .get(&*location.zone)
            .map_or("", String::as_str);
        let peers = Peers::new(&options.name, region);
        Rc::new(Self {
            options,
            metrics,
            clock: System::default(),
            rows: RefCell::default(),
            config: RefCell::default(),
            pool: RefCell::default(),
            versions: RefCell::new(versions),
            queues: RefCell::default(),
            rates: RefCell::default(),
            budgets: RefCell::default(),
            peers: RefCell::new(peers),
            longest: RefCell::default(),
            reachability: RefCell::default(),
            open: Cell::new(0),
        })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Counts an open request.
    pub fn open_request(self: &Rc<Self>) -> OpenRequest {
        self.open.set(self.open.get() + 1);
        OpenRequest {
            state: Rc::clone(self),
        }
    }

    /// Counts the end of an open request.
    pub(crate) fn close_request(&self) {
        self.open.set(self.open.get() - 1);
    }

    /// Returns the number of open requests.
    pub fn count_open_requests(&self) -> usize {
        self.open.get()
    }

    /// Gives access to the rows.
    pub fn with_rows<T>(&self, act: impl FnOnce(&mut Rows) -> T) -> T {
        act(&mut self.rows.borrow_mut())
    }

    /// Returns the configuration in force; `None` before the first one.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.config.borrow().clone()
    }

    /// Puts a configuration in force unless a newer one is.
    pub fn set_config(&self, config: Config) {
        let mut current = self.config.borrow_mut();
        let known = current.as_ref().map_or(0, |known| known.version());
        let version = config.version();
        if current.is_some() && version < known {
            log::warn!(version, known; "older configuration ignored");
            return;
        }
        log::info!(version, before = known; "configuration in force");
        *current = Some(Arc::new(config));
    }

    /// Gives access to the board.
    pub fn with_pool<T>(&self, act: impl FnOnce(&mut Pool) -> T) -> T {
        act(&mut self.pool.borrow_mut())
    }

    /// Notes the version that a model's servers should hold; `false` if it is known or older than a known one.
    ///
    /// # Arguments
    /// `fresh` tells that the naming was seen as it happened.
    pub fn set_target_version(&self, model: &str, version: Version, fresh: bool) -> bool {
        let now = self.now();
        let mut versions = self.versions.borrow_mut();
        versions.record_target(model, version, fresh, now)
    }

    /// Returns the newest version of a model that was named; `None` if none was.
    pub fn target_version(&self, model: &str) -> Option<Version> {
        self.versions.borrow().target(model)
    }

    /// Returns the oldest version of a model that may begin a request now, if there is a bound.
    pub fn min_version(&self, model: &str) -> Option<Version> {
        self.versions.borrow().minimum(model, self.now())
    }

    /// Returns the time until a request that has not begun on a version of a model may not begin on it any more.
    pub fn time_to_begin(&self, model: &str, held: Version) -> Option<Duration> {
        let versions = self.versions.borrow();
        versions.time_to_begin(model, held, self.now())
    }

    /// Takes what an agent says of its server.
    pub fn apply_notice(self: &Rc<Self>, notice: &Notice) {
        let now = self.now();
        let known = self.with_pool(|pool| pool.apply_notice(notice, now));
        log::info!(server:% = notice.server, model = notice.model.as_str(), change:? = notice.change, known; "notice of an agent");
        self.serve_queues();
    }

    /// Notes a caller's time limit and tells whether it is a first attempt, which names the longest of its route.
    pub fn is_first_attempt(&self, route: &Arc<str>, limit: Duration) -> bool {
        let mut longest = self.longest.borrow_mut();
        let longest = longest.entry(Arc::clone(route)).or_default();
        *longest = limit.max(*longest);
        limit >= longest.mul_f64(FIRST_ATTEMPT_SHARE)
    }

    /// Counts a first attempt for the retry budget.
    pub fn count_first_attempt(&self, service: &Arc<str>) {
        let now = self.now();
        self.with_budget(service, |budget| budget.earn(now));
    }

    /// Takes one retry from the budget; `false` if there is none.
    pub fn take_retry(&self, service: &Arc<str>) -> bool {
        let now = self.now();
        let share = self.options.retry_share * BUDGET_USED;
        let slack = self.options.retry_slack * BUDGET_USED / self.peers.borrow().count() as f64;
        self.with_budget(service, |budget| budget.spend(share, slack, now))
    }

    fn with_budget<T>(&self, service: &Arc<str>, act: impl FnOnce(&mut Window) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(Arc::clone(service))
            .or_insert_with(|| Window::new(self.options.retry_window));
        act(budget)
    }

    /// Reserves a place at a server, or returns `None` if none has room.
    pub fn reserve(self: &Rc<Self>, requirements: &Requirements) -> Option<Permit> {
        let config = self.config()?;
        let engine = find_engine(&config, &requirements.service);
        let mut pool = self.pool.borrow_mut();
        let location = &self.options.location;
        let choice = pool.choose(requirements, engine, location, self.now(), &mut rand::rng())?;
        pool.start_request(&choice.record.id, requirements.prompt_tokens);
        drop(pool);
        if !requirements.is_late {
            self.with_rates(&requirements.service, |rates, now| rates.fresh.count(now));
        }
        Some(Permit {
            choice,
            service: Arc::clone(&requirements.service),
            prompt: Cell::new(requirements.prompt_tokens),
            state: Rc::clone(self),
        })
    }

    /// Returns how many waiting requests would go before one of a rank.
    pub fn count_ahead(&self, service: &Arc<str>, rank: Rank) -> usize {
        let queues = self.queues.borrow();
        queues
            .get(service)
            .map_or(0, |queue| queue.count_ahead(rank))
    }

    /// Joins the line of a service.
    pub fn enqueue(
        &self,
        requirements: Requirements,
        rank: Rank,
    ) -> (Position, oneshot::Receiver<Permit>) {
        let (sender, receiver) = oneshot::channel();
        let mut queues = self.queues.borrow_mut();
        let queue = queues.entry(Arc::clone(&requirements.service)).or_default();
        (queue.push(rank, (requirements, sender)), receiver)
    }

    /// Leaves the line of a service.
    pub fn leave_queue(&self, service: &Arc<str>, place: Position) {
        if let Some(queue) = self.queues.borrow_mut().get_mut(service) {
            queue.remove(place);
        }
    }

    /// Calls waiting requests to the servers that have room.
    ///
    /// # Arguments
    /// `freed` is a server at which this entry has just freed a place.
    pub fn serve_queue(self: &Rc<Self>, service: &Arc<str>, freed: Option<&Arc<str>>) {
        while let Some((permit, sender)) = self.permit_next(service, freed) {
            // A request that has left drops its ticket, which frees the place.
            drop(sender.send(permit));
        }
    }

    fn permit_next(
        self: &Rc<Self>,
        service: &Arc<str>,
        freed: Option<&Arc<str>>,
    ) -> Option<Called> {
        let requirements = {
            let queues = self.queues.borrow();
            let (requirements, _) = queues.get(service)?.first()?;
            Requirements {
                freed_server: freed.cloned(),
                ..requirements.clone()
            }
        };
        let permit = self.reserve(&requirements)?;
        let mut queues = self.queues.borrow_mut();
        let (_, sender) = queues.get_mut(service)?.pop()?;
        Some((permit, sender))
    }

    /// Calls waiting requests of all services.
    pub fn serve_queues(self: &Rc<Self>) {
        let queues = self.queues.borrow();
        let waiting = queues.iter().filter(|(_, queue)| !queue.is_empty());
        let services: Vec<Arc<str>> = waiting.map(|(service, _)| Arc::clone(service)).collect();
        drop(queues);
        for service in &services {
            self.serve_queue(service, None);
        }
    }

    /// Returns the rates at which places come free and are taken.
    pub fn slot_rates(&self, service: &str) -> SlotRates {
        let rates = self.rates.borrow();
        rates.get(service).map_or(
            SlotRates {
                freed_per_second: rate::INITIAL_PER_SECOND,
                first_attempts_per_second: 0.0,
            },
            |rates| SlotRates {
                freed_per_second: rates.freed.per_second(),
                first_attempts_per_second: rates.fresh.decayed_per_second(self.now()),
            },
        )
    }

    pub(crate) fn count_freed(&self, service: &Arc<str>) {
        self.with_rates(service, |rates, now| rates.freed.count(now));
    }

    fn with_rates(&self, service: &Arc<str>, act: impl FnOnce(&mut Rates, Duration)) {
        let now = self.now();
        let mut rates = self.rates.borrow_mut();
        let rates = rates.entry(Arc::clone(service));
        act(rates.or_insert_with(|| Rates::new(now)), now);
    }

    /// Gives access to what is known of the key-value service's reach.
    pub fn with_reachability<T>(&self, act: impl FnOnce(&mut Reachability) -> T) -> T {
        act(&mut self.reachability.borrow_mut())
    }

    /// Gives access to what is known of other entries.
    pub fn with_peers<T>(&self, act: impl FnOnce(&mut Peers) -> T) -> T {
        act(&mut self.peers.borrow_mut())
    }

    /// Returns the beacon of a round and the addresses it goes to.
    pub fn build_beacon(&self, round: u32) -> (Beacon, Vec<SocketAddr>) {
        let peers = self.peers.borrow();
        let beacon = Beacon {
            name: self.options.name.clone(),
            address: self.options.internal,
            region: peers.region().to_owned(),
            in_touch: self.reachability.borrow().is_reachable(),
            revision: self.rows.borrow().revision(),
            work: self.pool.borrow().own_work(),
        };
        (beacon, peers.beacon_targets(round).collect())
    }

    /// Adds up the other entries' work and drops servers and requests whose time is over.
    pub fn refresh(self: &Rc<Self>) {
        let now = self.now();
        let peers = self.peers.borrow();
        let (count, work) = (peers.count() as u32 - 1, peers.work(now));
        drop(peers);
        let gone = self.with_pool(|pool| {
            pool.set_peer_work(count, &work);
            pool.remove_expired(now)
        });
        for server in gone {
            log::info!(server = &*server; "server dropped");
        }
        self.serve_queues();
    }

    /// Returns the internal addresses of the agents beside the engines of a model.
    ///
    /// Agents use the same port as entries.
    pub fn agent_addresses(&self, model: &str) -> Vec<SocketAddr> {
        let port = self.options.internal.port();
        let pool = self.pool.borrow();
        let engines = pool.servers().map(Server::record);
        let engines = engines.filter(|record| record.version(model).is_some());
        engines
            .map(|record| SocketAddr::new(record.address.ip(), port))
            .collect()
    }

    /// Returns the address of a live entry whose rows are newer than this one's, in the own region if there is one.
    pub fn newer_peer(&self) -> Option<SocketAddr> {
        let revision = self.rows.borrow().revision();
        let peers = self.peers.borrow();
        peers.newer_peer(revision, self.now())
    }

    /// Tells whether this entry follows the key-value service itself.
    pub fn is_active(&self) -> bool {
        let unread = self.rows.borrow().revision() == 0;
        unread || self.peers.borrow().is_follower(self.now())
    }

    /// Returns what agents of a service have to know of its weights and of each other.
    pub fn weights_view(&self, service: &str) -> Option<weights::View> {
        let config = self.config()?;
        let engine = find_engine(&config, service)?;
        let regions = &self.options.location.regions;
        let region = |zone: &str| regions.get(zone).cloned().unwrap_or_default();
        let models = engine.models.iter().map(|held| weights::Model {
            name: held.model.clone(),
            pieces: held.pieces,
            piece_bytes: held.piece_bytes,
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

    /// Returns the state for a dump, without callers' content.
    pub fn dump(&self) -> serde_json::Value {
        let pool = self.pool.borrow();
        let servers = pool.servers().map(|server| {
            let record = server.record();
            serde_json::json!({
                "id": &*record.id,
                "service": &*record.service,
                "leaving": record.leaving,
                "calls": server.own_work().calls,
            })
        });
        serde_json::json!({
            "revision": self.rows.borrow().revision(),
            "configuration": self.config().map(|config| config.version()),
            "servers": servers.collect::<Vec<_>>(),
            "entries": self.peers.borrow().count(),
            "open": self.open.get(),
        })
    }
}

/// Finds the engine of a service.
pub fn find_engine<'a>(config: &'a Config, service: &str) -> Option<&'a Engine> {
    let service: &Service = config.service(service)?;
    service.engine.as_ref()
}
