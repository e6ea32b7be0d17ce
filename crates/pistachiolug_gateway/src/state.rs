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
    admission::Supply,
    board::{Board, Home, Need, Server},
    catalog::{Catalog, Engine, Service},
    line::{Line, Place, Rank},
    link::Link,
    metrics::Metrics,
    names::Names,
    peers::Peers,
    rate::{self, Rate},
    server::Version,
    ticket::{Open, Ticket},
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
    pub home: Home,
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
    pub version_allowed: Duration,
    /// Time after its start from which a process is held to such times.
    pub contact: Duration,
}

type Waiter = (Need, oneshot::Sender<Ticket>);

/// Rates of one service.
#[derive(Debug)]
struct Rates {
    freed: Rate,
    fresh: Rate,
}

impl Rates {
    fn new(now: Duration) -> Self {
        Self {
            freed: Rate::new(now, rate::FIRST),
            fresh: Rate::new(now, 0.0),
        }
    }
}

type Called = (Ticket, oneshot::Sender<Ticket>);

/// Entry's state.
#[derive(Debug)]
pub struct State {
    /// Settings.
    pub options: Options,
    /// Counters.
    pub metrics: Metrics,
    clock: System,
    rows: RefCell<Rows>,
    catalog: RefCell<Option<Arc<Catalog>>>,
    board: RefCell<Board>,
    versions: RefCell<Versions>,
    lines: RefCell<FxHashMap<Arc<str>, Line<Waiter>>>,
    /// By service: places that come free, and those that requests get which can be on time.
    rates: RefCell<FxHashMap<Arc<str>, Rates>>,
    budgets: RefCell<FxHashMap<Arc<str>, Window>>,
    peers: RefCell<Peers>,
    /// Longest time that callers of a route have named as theirs.
    longest: RefCell<FxHashMap<Arc<str>, Duration>>,
    link: RefCell<Link>,
    open: Cell<usize>,
}

impl State {
    /// Creates the state of an entry that knows nothing yet.
    pub fn new(options: Options, metrics: Metrics) -> Rc<Self> {
        let versions = Versions::new(options.version_allowed, options.contact);
        let home = &options.home;
        let region = home.regions.get(&*home.zone).map_or("", String::as_str);
        let peers = Peers::new(&options.name, region);
        Rc::new(Self {
            options,
            metrics,
            clock: System::default(),
            rows: RefCell::default(),
            catalog: RefCell::default(),
            board: RefCell::default(),
            versions: RefCell::new(versions),
            lines: RefCell::default(),
            rates: RefCell::default(),
            budgets: RefCell::default(),
            peers: RefCell::new(peers),
            longest: RefCell::default(),
            link: RefCell::default(),
            open: Cell::new(0),
        })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Counts an open request.
    pub fn open(self: &Rc<Self>) -> Open {
        self.open.set(self.open.get() + 1);
        Open {
            state: Rc::clone(self),
        }
    }

    /// Counts the end of an open request.
    pub(crate) fn close(&self) {
        self.open.set(self.open.get() - 1);
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.open.get()
    }

    /// Gives access to the rows.
    pub fn with_rows<T>(&self, act: impl FnOnce(&mut Rows) -> T) -> T {
        act(&mut self.rows.borrow_mut())
    }

    /// Returns the configuration in force; `None` before the first one.
    pub fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Puts a configuration in force unless a newer one is.
    pub fn set_catalog(&self, catalog: Catalog) {
        let mut current = self.catalog.borrow_mut();
        let known = current.as_ref().map_or(0, |known| known.version());
        let version = catalog.version();
        if current.is_some() && version < known {
            log::warn!(version, known; "older configuration ignored");
            return;
        }
        log::info!(version, before = known; "configuration in force");
        *current = Some(Arc::new(catalog));
    }

    /// Gives access to the board.
    pub fn with_board<T>(&self, act: impl FnOnce(&mut Board) -> T) -> T {
        act(&mut self.board.borrow_mut())
    }

    /// Notes the version that a model's servers should hold; `false` if it is known or older than a known one.
    ///
    /// # Arguments
    /// `fresh` tells that the naming was seen as it happened.
    pub fn set_wanted(&self, model: &str, version: Version, fresh: bool) -> bool {
        let now = self.now();
        let mut versions = self.versions.borrow_mut();
        versions.name(model, version, fresh, now)
    }

    /// Returns the newest version of a model that was named; `None` if none was.
    pub fn newest_version(&self, model: &str) -> Option<Version> {
        self.versions.borrow().newest(model)
    }

    /// Returns the oldest version of a model that may begin a request now, if there is a bound.
    pub fn oldest_version(&self, model: &str) -> Option<Version> {
        self.versions.borrow().oldest(model, self.now())
    }

    /// Returns the time until a request that has not begun on a version of a model may not begin on it any more.
    pub fn begin_within(&self, model: &str, held: Version) -> Option<Duration> {
        let versions = self.versions.borrow();
        versions.begin_within(model, held, self.now())
    }

    /// Takes what an agent says of its server.
    pub fn notice(self: &Rc<Self>, notice: &Notice) {
        let now = self.now();
        let known = self.with_board(|board| board.notice(notice, now));
        log::info!(server:% = notice.server, model = notice.model.as_str(), change:? = notice.change, known; "notice of an agent");
        self.serve_lines();
    }

    /// Notes a caller's time limit and tells whether it is a first attempt, which names the longest of its route.
    pub fn is_fresh(&self, route: &Arc<str>, limit: Duration) -> bool {
        let mut longest = self.longest.borrow_mut();
        let longest = longest.entry(Arc::clone(route)).or_default();
        *longest = limit.max(*longest);
        limit >= longest.mul_f64(FIRST_ATTEMPT_SHARE)
    }

    /// Counts a first attempt for the retry budget.
    pub fn earn(&self, service: &Arc<str>) {
        let now = self.now();
        self.with_budget(service, |budget| budget.record_attempt(now));
    }

    /// Takes one retry from the budget; `false` if there is none.
    pub fn spend(&self, service: &Arc<str>) -> bool {
        let now = self.now();
        let share = self.options.retry_share * BUDGET_USED;
        let slack = self.options.retry_slack * BUDGET_USED / self.peers.borrow().count() as f64;
        self.with_budget(service, |budget| budget.try_spend(share, slack, now))
    }

    fn with_budget<T>(&self, service: &Arc<str>, act: impl FnOnce(&mut Window) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(Arc::clone(service))
            .or_insert_with(|| Window::new(self.options.retry_window));
        act(budget)
    }

    /// Reserves a place at a server, or returns `None` if none has room.
    pub fn reserve(self: &Rc<Self>, need: &Need) -> Option<Ticket> {
        let catalog = self.catalog()?;
        let engine = engine(&catalog, &need.service);
        let mut board = self.board.borrow_mut();
        let home = &self.options.home;
        let choice = board.choose(need, engine, home, self.now(), &mut rand::rng())?;
        board.begin(&choice.record.id, need.prompt);
        drop(board);
        if !need.late {
            self.with_rates(&need.service, |rates, now| rates.fresh.count(now));
        }
        Some(Ticket {
            choice,
            service: Arc::clone(&need.service),
            prompt: Cell::new(need.prompt),
            state: Rc::clone(self),
        })
    }

    /// Returns how many waiting requests would go before one of a rank.
    pub fn ahead(&self, service: &Arc<str>, rank: Rank) -> usize {
        let lines = self.lines.borrow();
        lines.get(service).map_or(0, |line| line.ahead(rank))
    }

    /// Joins the line of a service.
    pub fn join(&self, need: Need, rank: Rank) -> (Place, oneshot::Receiver<Ticket>) {
        let (sender, receiver) = oneshot::channel();
        let mut lines = self.lines.borrow_mut();
        let line = lines.entry(Arc::clone(&need.service)).or_default();
        (line.join(rank, (need, sender)), receiver)
    }

    /// Leaves the line of a service.
    pub fn leave(&self, service: &Arc<str>, place: Place) {
        if let Some(line) = self.lines.borrow_mut().get_mut(service) {
            line.leave(place);
        }
    }

    /// Calls waiting requests to the servers that have room.
    ///
    /// # Arguments
    /// `freed` is a server at which this entry has just freed a place.
    pub fn serve_line(self: &Rc<Self>, service: &Arc<str>, freed: Option<&Arc<str>>) {
        while let Some((ticket, sender)) = self.call(service, freed) {
            // A request that has left drops its ticket, which frees the place.
            drop(sender.send(ticket));
        }
    }

    fn call(self: &Rc<Self>, service: &Arc<str>, freed: Option<&Arc<str>>) -> Option<Called> {
        let need = {
            let lines = self.lines.borrow();
            let (need, _) = lines.get(service)?.first()?;
            Need {
                freed: freed.cloned(),
                ..need.clone()
            }
        };
        let ticket = self.reserve(&need)?;
        let mut lines = self.lines.borrow_mut();
        let (_, sender) = lines.get_mut(service)?.call()?;
        Some((ticket, sender))
    }

    /// Calls waiting requests of all services.
    pub fn serve_lines(self: &Rc<Self>) {
        let lines = self.lines.borrow();
        let waiting = lines.iter().filter(|(_, line)| !line.is_empty());
        let services: Vec<Arc<str>> = waiting.map(|(service, _)| Arc::clone(service)).collect();
        drop(lines);
        for service in &services {
            self.serve_line(service, None);
        }
    }

    /// Returns the rates at which places come free and are taken.
    pub fn supply(&self, service: &str) -> Supply {
        let rates = self.rates.borrow();
        rates.get(service).map_or(
            Supply {
                places: rate::FIRST,
                fresh: 0.0,
            },
            |rates| Supply {
                places: rates.freed.per_second(),
                fresh: rates.fresh.recent(self.now()),
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
    pub fn with_link<T>(&self, act: impl FnOnce(&mut Link) -> T) -> T {
        act(&mut self.link.borrow_mut())
    }

    /// Gives access to what is known of other entries.
    pub fn with_peers<T>(&self, act: impl FnOnce(&mut Peers) -> T) -> T {
        act(&mut self.peers.borrow_mut())
    }

    /// Returns the beacon of a round and the addresses it goes to.
    pub fn beacon(&self, round: u32) -> (Beacon, Vec<SocketAddr>) {
        let peers = self.peers.borrow();
        let beacon = Beacon {
            name: self.options.name.clone(),
            address: self.options.internal,
            region: peers.region().to_owned(),
            in_touch: self.link.borrow().is_in_touch(),
            revision: self.rows.borrow().revision(),
            work: self.board.borrow().own_work(),
        };
        (beacon, peers.audience(round).collect())
    }

    /// Adds up the other entries' work and drops servers and requests whose time is over.
    pub fn refresh(self: &Rc<Self>) {
        let now = self.now();
        let peers = self.peers.borrow();
        let (count, work) = (peers.count() as u32 - 1, peers.work(now));
        drop(peers);
        let gone = self.with_board(|board| {
            board.set_others(count, &work);
            board.expire(now)
        });
        for server in gone {
            log::info!(server = &*server; "server dropped");
        }
        self.serve_lines();
    }

    /// Returns the internal addresses of the agents beside the engines of a model.
    ///
    /// Agents use the same port as entries.
    pub fn agents(&self, model: &str) -> Vec<SocketAddr> {
        let port = self.options.internal.port();
        let board = self.board.borrow();
        let engines = board.servers().map(Server::record);
        let engines = engines.filter(|record| record.version(model).is_some());
        engines
            .map(|record| SocketAddr::new(record.address.ip(), port))
            .collect()
    }

    /// Returns the address of a live entry whose rows are newer than this one's, in the own region if there is one.
    pub fn better_informed(&self) -> Option<SocketAddr> {
        let revision = self.rows.borrow().revision();
        let peers = self.peers.borrow();
        peers.better_informed(revision, self.now())
    }

    /// Tells whether this entry follows the key-value service itself.
    pub fn is_active(&self) -> bool {
        let unread = self.rows.borrow().revision() == 0;
        unread || self.peers.borrow().is_follower(self.now())
    }

    /// Returns what agents of a service have to know of its weights and of each other.
    pub fn weights(&self, service: &str) -> Option<weights::View> {
        let catalog = self.catalog()?;
        let engine = engine(&catalog, service)?;
        let regions = &self.options.home.regions;
        let region = |zone: &str| regions.get(zone).cloned().unwrap_or_default();
        let models = engine.models.iter().map(|held| weights::Model {
            name: held.model.clone(),
            pieces: held.pieces,
            piece_bytes: held.piece_bytes,
            version: self.newest_version(&held.model).unwrap_or(1),
        });
        let port = self.options.internal.port();
        let board = self.board.borrow();
        let records = board.servers().map(Server::record);
        let engines = records.filter(|record| &*record.service == service);
        let agents = engines.map(|record| weights::Place {
            address: SocketAddr::new(record.address.ip(), port),
            region: region(&record.zone),
        });
        let peers = self.peers.borrow();
        Some(weights::View {
            models: models.collect(),
            origin: catalog.origin().map(|origin| weights::Place {
                address: origin.address,
                region: region(&origin.zone),
            }),
            agents: agents.collect(),
            entries: peers.addresses().chain([self.options.internal]).collect(),
        })
    }

    /// Returns the state for a dump, without callers' content.
    pub fn dump(&self) -> serde_json::Value {
        let board = self.board.borrow();
        let servers = board.servers().map(|server| {
            let record = server.record();
            serde_json::json!({
                "id": &*record.id,
                "service": &*record.service,
                "leaving": record.leaving,
                "calls": server.own().calls,
            })
        });
        serde_json::json!({
            "revision": self.rows.borrow().revision(),
            "configuration": self.catalog().map(|catalog| catalog.version()),
            "servers": servers.collect::<Vec<_>>(),
            "entries": self.peers.borrow().count(),
            "open": self.open.get(),
        })
    }
}

/// Finds the engine of a service.
pub fn engine<'a>(catalog: &'a Catalog, service: &str) -> Option<&'a Engine> {
    let service: &Service = catalog.service(service)?;
    service.engine.as_ref()
}
