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
use pistachiolug_weights::order::Key;
use pistachiolug_wire::{
    datagram::{Beacon, Notice, Work},
    weights,
};
use rustc_hash::FxHashMap;
use tokio::sync::oneshot;

use crate::{
    beacon::{FOLLOWER_AGE, LOAD_AGE, PEER_AGE},
    board::{Board, Choice, Home, Need, Server},
    catalog::{Catalog, Engine, Service},
    line::{Line, Place, Rank},
    metrics::Metrics,
    names::Names,
    server::Version,
};

/// Time for which servers that vanished while the service was away are still used: those that live are back in the
/// list within two seconds of its return.
const RETURN_GRACE: Duration = Duration::from_millis(2500);

/// Time for which one removed server is still used; a removal without notice is an order to stop sending.
const REMOVAL_GRACE: Duration = Duration::ZERO;

/// Share of a service's servers whose removal at one time looks like lapsed leases rather than a change of the fleet.
const LAPSE_SHARE: f64 = 0.5;

/// Entries of a region that follow the key-value service: a second one covers what the first one misses.
const FOLLOWERS: usize = 2;

/// Window over which the rate of freed places is measured.
const RATE_WINDOW: Duration = Duration::from_millis(500);

/// Weight of a new window in the rate.
const RATE_WEIGHT: f64 = 0.4;

/// Rate of freed places that is assumed at first, per second.
const FIRST_RATE: f64 = 20.0;

/// Time before a version's bound from which only it is accepted: a request may wait at its server, and the naming may
/// have been learned of late.
const VERSION_MARGIN: Duration = Duration::from_millis(800);

/// Part of the retry allowance that is used; the rest covers what entries learn late of each other.
const BUDGET_USED: f64 = 0.88;

/// Share of the longest time limit seen on a route from which an attempt counts as the first: callers' own limits
/// differ by up to 15 in 100, and an attempt that comes back after a refusal has lost more.
const FIRST_ATTEMPT_SHARE: f64 = 0.84;

/// Time before a version's bound at which requests that have not begun on an older one are taken back.
const BEGIN_MARGIN: Duration = Duration::from_millis(250);

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

/// Version that a model's servers should hold.
#[derive(Debug, Clone, Copy)]
struct Wanted {
    version: Version,
    /// When this process learned of it; `None` for what stood there at its start.
    since: Option<Duration>,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    heard: Option<Duration>,
    region: String,
    /// Whether the key-value service answers it.
    in_touch: bool,
    revision: u64,
    work: Vec<(u32, Work)>,
}

/// Rate at which places come free.
#[derive(Debug)]
struct Rate {
    per_second: f64,
    freed: u32,
    since: Duration,
}

#[derive(Debug, Default)]
struct Link {
    /// When the service answered last.
    answered: Option<Duration>,
    /// Since when it does not answer.
    away_since: Option<Duration>,
    /// When it came back.
    back_at: Option<Duration>,
}

type Waiter = (Need, oneshot::Sender<Ticket>);

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
    /// Named versions by model, in order; those that a later one replaces in every respect are left out.
    wanted: RefCell<FxHashMap<String, Vec<Wanted>>>,
    lines: RefCell<FxHashMap<Arc<str>, Line<Waiter>>>,
    rates: RefCell<FxHashMap<Arc<str>, Rate>>,
    budgets: RefCell<FxHashMap<Arc<str>, Window>>,
    peers: RefCell<FxHashMap<String, Peer>>,
    /// Longest time that callers of a route have named as theirs.
    longest: RefCell<FxHashMap<Arc<str>, Duration>>,
    link: RefCell<Link>,
    open: Cell<usize>,
}

/// Place of one request at a server; dropping it frees the place.
#[derive(Debug)]
pub struct Ticket {
    /// Chosen server.
    pub choice: Choice,
    service: Arc<str>,
    /// Prompt tokens that the server has not read yet.
    prompt: Cell<u32>,
    state: Rc<State>,
}

impl Ticket {
    /// Notes the first event after `taken`.
    pub fn first_event(&self, taken: Duration) {
        let mut board = self.state.board.borrow_mut();
        let id = &self.choice.record.id;
        board.read(id, self.prompt.replace(0));
        board.pace(id, self.choice.wait_ms, taken.as_secs_f64() * 1000.0);
    }

    /// Notes that the server could not be reached or broke off.
    pub fn strike(&self) {
        let now = self.state.now();
        let id = &self.choice.record.id;
        self.state.board.borrow_mut().strike(id, now);
    }

    /// Notes that the server had no room.
    pub fn full(&self) {
        let now = self.state.now();
        let id = &self.choice.record.id;
        self.state.board.borrow_mut().full(id, now);
    }

    /// Notes how the server answered.
    pub fn answered(&self, well: bool) {
        let id = &self.choice.record.id;
        self.state.board.borrow_mut().answered(id, well);
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let id = &self.choice.record.id;
        let state = Rc::clone(&self.state);
        state.board.borrow_mut().end(id, self.prompt.get());
        state.count_freed(&self.service);
        state.serve_line(&self.service, Some(id));
    }
}

/// Counts an open request until it is dropped.
#[derive(Debug)]
pub struct Open {
    state: Rc<State>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.state.open.set(self.state.open.get() - 1);
    }
}

impl State {
    /// Creates the state of an entry that knows nothing yet.
    pub fn new(options: Options, metrics: Metrics) -> Rc<Self> {
        Rc::new(Self {
            options,
            metrics,
            clock: System::default(),
            rows: RefCell::default(),
            catalog: RefCell::default(),
            board: RefCell::default(),
            wanted: RefCell::default(),
            lines: RefCell::default(),
            rates: RefCell::default(),
            budgets: RefCell::default(),
            peers: RefCell::default(),
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
        let since = fresh.then_some(now);
        let mut wanted = self.wanted.borrow_mut();
        let named = wanted.entry(model.to_owned()).or_default();
        let known = named.last().map_or(0, |known| known.version);
        if version <= known {
            return false;
        }
        log::info!(model, version, before = known; "version named");
        // Versions whose time has come are no less binding than the newest of them.
        let due = named.iter().rposition(|known| self.is_due(known));
        named.drain(..due.unwrap_or_default());
        named.push(Wanted { version, since });
        true
    }

    /// Returns the newest version of a model that was named; `None` if none was.
    pub fn newest_version(&self, model: &str) -> Option<Version> {
        let wanted = self.wanted.borrow();
        wanted.get(model)?.last().map(|known| known.version)
    }

    /// Returns the oldest version of a model that may begin a request now, if there is a bound.
    pub fn oldest_version(&self, model: &str) -> Option<Version> {
        let wanted = self.wanted.borrow();
        let named = wanted.get(model)?.iter().rev();
        let mut due = named.filter(|known| self.is_due(known));
        due.next().map(|known| known.version)
    }

    /// Returns the time until a request that has not begun on a version of a model may not begin on it any more.
    pub fn begin_within(&self, model: &str, held: Version) -> Option<Duration> {
        let wanted = self.wanted.borrow();
        let newer = wanted.get(model)?.iter();
        let newer = newer.filter(|known| known.version > held);
        let due = newer.map(|known| self.due(known)).min()?;
        Some(due.saturating_sub(self.now() + BEGIN_MARGIN))
    }

    fn is_due(&self, wanted: &Wanted) -> bool {
        self.now() >= self.due(wanted).saturating_sub(VERSION_MARGIN)
    }

    fn due(&self, wanted: &Wanted) -> Duration {
        match wanted.since {
            Some(since) => since + self.options.version_allowed,
            None => self.options.contact,
        }
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
        self.with_budget(service, |budget| budget.earn(now));
    }

    /// Takes one retry from the budget; `false` if there is none.
    pub fn spend(&self, service: &Arc<str>) -> bool {
        let now = self.now();
        let share = self.options.retry_share * BUDGET_USED;
        let slack = self.options.retry_slack * BUDGET_USED / self.entries() as f64;
        self.with_budget(service, |budget| budget.spend(share, slack, now))
    }

    fn with_budget<T>(&self, service: &Arc<str>, act: impl FnOnce(&mut Window) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(Arc::clone(service))
            .or_insert_with(|| Window::new(self.options.retry_window));
        act(budget)
    }

    /// Returns the number of entries that are known, with this one.
    fn entries(&self) -> usize {
        self.peers.borrow().len() + 1
    }

    /// Reserves a place at a server, or returns `None` if none has room.
    pub fn reserve(self: &Rc<Self>, need: &Need) -> Option<Ticket> {
        let catalog = self.catalog()?;
        let engine = engine(&catalog, &need.service);
        let mut board = self.board.borrow_mut();
        let home = &self.options.home;
        let choice = board.choose(need, engine, home, self.now(), &mut rand::rng())?;
        board.begin(&choice.record.id, need.prompt);
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
        while let Some((need, sender)) = self.call(service, freed) {
            let Some(ticket) = self.reserve(&need) else {
                return;
            };
            // A request that has left drops its ticket, which frees the place.
            drop(sender.send(ticket));
        }
    }

    fn call(&self, service: &Arc<str>, freed: Option<&Arc<str>>) -> Option<Waiter> {
        let mut lines = self.lines.borrow_mut();
        let line = lines.get_mut(service)?;
        let catalog = self.catalog()?;
        let engine = engine(&catalog, service);
        let (need, _) = line.first()?;
        let need = Need {
            freed: freed.cloned(),
            ..need.clone()
        };
        let board = self.board.borrow();
        let home = &self.options.home;
        board.choose(&need, engine, home, self.now(), &mut rand::rng())?;
        line.call().map(|(_, sender)| (need, sender))
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

    /// Returns the rate at which places come free, per second.
    pub fn places(&self, service: &str) -> f64 {
        let rates = self.rates.borrow();
        rates
            .get(service)
            .map_or(FIRST_RATE, |rate| rate.per_second)
    }

    fn count_freed(&self, service: &Arc<str>) {
        let now = self.now();
        let mut rates = self.rates.borrow_mut();
        let rate = rates.entry(Arc::clone(service)).or_insert(Rate {
            per_second: FIRST_RATE,
            freed: 0,
            since: now,
        });
        rate.freed += 1;
        let window = now.saturating_sub(rate.since);
        if window >= RATE_WINDOW {
            let sample = f64::from(rate.freed) / window.as_secs_f64();
            rate.per_second += RATE_WEIGHT * (sample - rate.per_second);
            rate.freed = 0;
            rate.since = now;
        }
    }

    /// Notes that the key-value service answered, or that it did not.
    pub fn reached(&self, reached: bool, reason: &str) {
        let now = self.now();
        let mut link = self.link.borrow_mut();
        if reached {
            link.answered = Some(now);
            if let Some(since) = link.away_since.take() {
                let away_ms = now.saturating_sub(since).as_millis() as u64;
                log::info!(away_ms; "key-value service regained");
                link.back_at = Some(now);
            }
        } else if link.away_since.is_none() {
            log::warn!(reason; "key-value service lost");
            link.away_since = Some(now);
        }
    }

    /// Returns until when servers that the list has just dropped are still used.
    ///
    /// # Arguments
    /// `dropped` of the `listed` servers of a service vanished together.
    pub fn removal_time(&self, dropped: usize, listed: usize) -> Duration {
        let now = self.now();
        let link = self.link.borrow();
        if link.away_since.is_some() {
            return now + RETURN_GRACE;
        }
        if let Some(back_at) = link.back_at
            && now < back_at + RETURN_GRACE
        {
            return back_at + RETURN_GRACE;
        }
        let lapse = dropped > 1 && dropped as f64 >= listed as f64 * LAPSE_SHARE;
        now + if lapse { RETURN_GRACE } else { REMOVAL_GRACE }
    }

    /// Learns of another entry.
    pub fn meet(&self, name: &str, address: SocketAddr) {
        if name == self.options.name {
            return;
        }
        let mut peers = self.peers.borrow_mut();
        let peer = peers.entry(name.to_owned()).or_insert_with(|| {
            log::info!(peer = name, address:%; "entry seen");
            Peer {
                address,
                heard: None,
                region: String::new(),
                in_touch: false,
                revision: 0,
                work: Vec::new(),
            }
        });
        peer.address = address;
    }

    /// Forgets an entry whose row is gone.
    pub fn part(&self, name: &str) {
        self.peers.borrow_mut().remove(name);
    }

    /// Takes another entry's beacon.
    pub fn hear(&self, beacon: Beacon) {
        self.meet(&beacon.name, beacon.address);
        if let Some(peer) = self.peers.borrow_mut().get_mut(&beacon.name) {
            peer.heard = Some(self.now());
            peer.region = beacon.region;
            peer.in_touch = beacon.in_touch;
            peer.revision = beacon.revision;
            peer.work = beacon.work;
        }
    }

    /// Returns the beacon of now and the addresses it goes to.
    pub fn beacon(&self) -> (Beacon, Vec<SocketAddr>) {
        let beacon = Beacon {
            name: self.options.name.clone(),
            address: self.options.internal,
            region: self.region().to_owned(),
            in_touch: self.link.borrow().away_since.is_none(),
            revision: self.rows.borrow().revision(),
            work: self.board.borrow().own_work(),
        };
        let peers = self.peers.borrow();
        (beacon, peers.values().map(|peer| peer.address).collect())
    }

    /// Adds up the other entries' work and drops servers and requests whose time is over.
    pub fn refresh(self: &Rc<Self>) {
        let now = self.now();
        let mut work: FxHashMap<u32, Work> = FxHashMap::default();
        for peer in self.peers.borrow().values() {
            let fresh = peer.heard.is_some_and(|heard| now < heard + LOAD_AGE);
            for (server, open) in peer.work.iter().filter(|_| fresh) {
                let sum = work.entry(*server).or_default();
                sum.calls += open.calls;
                sum.prompt += open.prompt;
            }
        }
        let gone = self.with_board(|board| {
            board.set_others(&work);
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
        let now = self.now();
        let own = self.rows.borrow().revision();
        let peers = self.peers.borrow();
        let live = peers
            .values()
            .filter(|peer| peer.heard.is_some_and(|heard| now < heard + PEER_AGE));
        let newer = live.filter(|peer| peer.revision > own);
        let best = newer.max_by_key(|peer| (peer.region == self.region(), peer.revision));
        best.map(|peer| peer.address)
    }

    /// Tells whether this entry follows the key-value service itself.
    ///
    /// A few entries of each region do, in an order that all compute alike from who is alive and in touch with the
    /// service; the others read the rows from them. So calls and bytes between regions do not grow with the entries.
    pub fn is_active(&self) -> bool {
        if self.rows.borrow().revision() == 0 {
            return true;
        }
        let now = self.now();
        let own = Key::of(&self.options.name);
        let peers = self.peers.borrow();
        let before = peers.iter().filter(|(name, peer)| {
            peer.in_touch
                && peer.region == self.region()
                && peer.heard.is_some_and(|heard| now < heard + FOLLOWER_AGE)
                && Key::of(name) > own
        });
        before.count() < FOLLOWERS
    }

    fn region(&self) -> &str {
        let home = &self.options.home;
        home.regions.get(&*home.zone).map_or("", String::as_str)
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
        let entries = peers.values().map(|peer| peer.address);
        Some(weights::View {
            models: models.collect(),
            origin: catalog.origin().map(|origin| weights::Place {
                address: origin.address,
                region: region(&origin.zone),
            }),
            agents: agents.collect(),
            entries: entries.chain([self.options.internal]).collect(),
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
            "entries": self.entries(),
            "open": self.open.get(),
        })
    }
}

/// Finds the engine of a service.
pub fn engine<'a>(catalog: &'a Catalog, service: &str) -> Option<&'a Engine> {
    let service: &Service = catalog.service(service)?;
    service.engine.as_ref()
}
