//! State of an agent, shared by its tasks on one thread.

use std::{
    cell::{Cell, RefCell},
    net::SocketAddr,
    rc::Rc,
    time::Duration,
};

use pistachiolug_http::pace::Bucket;
use pistachiolug_kernel::clock::{Clock, System};
use pistachiolug_platform::kv;
use pistachiolug_replica::{
    follow::Observer,
    rows::{Change, Rows},
};
use pistachiolug_weights::{
    bitmap::Bitmap,
    order::Key,
    roster::{Member, Roster},
};
use pistachiolug_wire::weights;
use rustc_hash::FxHashMap;
use tokio::{sync::Notify, time::timeout};

use crate::{
    manifest::Manifest,
    metrics::Metrics,
    row::{Decoder, Row},
};

/// Time after its naming from which a version is finished although a newer one is named: about the time in which the
/// origin gives half of its pieces.
const FINISHED_AFTER: Duration = Duration::from_secs(1);

/// Interval of looks whether the time of a version is over.
const SUPERSEDED_LOOK: Duration = Duration::from_millis(250);

/// Version that every model starts with.
const FIRST_VERSION: u64 = 1;

/// Share of the link that weights take in each direction; the rest is for live requests, whose events must not queue.
const LINK_SHARE: f64 = 0.88;

/// Settings of an agent.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name.
    pub name: String,
    /// Service of the engine.
    pub service: String,
    /// The agent itself.
    pub member: Member,
    /// Address at which the engine takes requests.
    pub server_address: SocketAddr,
    /// Rate of the instance's link in bytes a second.
    pub link_bytes_per_second: u64,
    /// Time after the naming of a version from which no other version may begin a request.
    pub old_version_grace: Duration,
}

/// Version that the engine should hold.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Model's name.
    pub model: String,
    /// Version.
    pub version: u64,
    /// Number of pieces.
    pub pieces: usize,
    /// Bytes of a piece; the last one may be shorter.
    pub piece_bytes: usize,
    /// When the agent learned of it, since its start.
    pub announced_at: Duration,
    /// When no older version may begin a request any more, since the agent's start.
    pub deadline: Duration,
}

impl Target {
    /// Tells whether this is the same version of the same model.
    pub fn is_same_version(&self, other: &Self) -> bool {
        self.model == other.model && self.version == other.version
    }
}

/// Version that was named.
#[derive(Debug, Clone, Copy)]
struct Named {
    version: u64,
    /// When the agent learned of it, since its start.
    at: Duration,
    /// When no older version may begin a request any more, since the agent's start.
    due: Duration,
}

/// Pieces of one version that are staged at the engine.
#[derive(Debug)]
pub struct StagedVersion {
    /// Model's name.
    pub model: String,
    /// Version.
    pub version: u64,
    /// Digests.
    pub manifest: Manifest,
    /// Pieces that were staged and found whole; as long as the manifest.
    held: RefCell<Bitmap>,
    /// When a piece was gained last, since the agent's start.
    gained: Cell<Duration>,
    clock: System,
}

impl StagedVersion {
    /// Creates the record of a version none of whose pieces is staged.
    pub fn new(want: &Target, manifest: Manifest, clock: System) -> Self {
        Self {
            model: want.model.clone(),
            version: want.version,
            held: RefCell::new(Bitmap::new(manifest.digests.len())),
            manifest,
            gained: Cell::new(clock.now()),
            clock,
        }
    }

    /// Tells whether a piece is staged.
    pub fn is_staged(&self, index: usize) -> bool {
        self.held.borrow().contains(index as u32)
    }

    /// Notes whether a piece is staged and whole.
    pub fn set_held(&self, index: usize, held: bool) {
        if held {
            self.held.borrow_mut().insert(index as u32);
            self.gained.set(self.clock.now());
        } else {
            self.held.borrow_mut().remove(index as u32);
        }
    }

    /// Returns the pieces that are staged.
    pub fn held(&self) -> Bitmap {
        self.held.borrow().clone()
    }

    /// Returns when a piece was gained last, since the agent's start.
    pub fn last_gain(&self) -> Duration {
        self.gained.get()
    }

    /// Returns the pieces that are not staged.
    pub fn missing(&self) -> Vec<usize> {
        let held = self.held.borrow();
        let pieces = 0..held.length();
        pieces
            .filter(|index| !held.contains(*index as u32))
            .collect()
    }
}

/// Agent's state.
#[derive(Debug)]
pub struct State {
    /// Settings.
    pub options: Options,
    /// Counters.
    pub metrics: Metrics,
    /// Wakes the loader when there may be something to do.
    pub wake: Notify,
    /// Paces the pieces that are sent: the link carries the answers of live requests as well.
    pub upload_bucket: Bucket,
    /// Paces the pieces that are received: the link carries live requests as well.
    pub download_bucket: Bucket,
    /// Wakes those who work on a version that may be superseded.
    named: Notify,
    clock: System,
    rows: RefCell<Rows>,
    /// Models of the service.
    models: RefCell<Vec<weights::Model>>,
    origin: RefCell<Option<weights::Place>>,
    /// Named versions by model, in order.
    versions: RefCell<FxHashMap<String, Vec<Named>>>,
    /// What the loader works on.
    target: RefCell<Option<Target>>,
    /// Version that the engine holds.
    held: Cell<Option<u64>>,
    roster: RefCell<Roster>,
    entries: RefCell<Vec<SocketAddr>>,
    staged: RefCell<Option<Rc<StagedVersion>>>,
    away: Cell<bool>,
    /// Since when nobody has told of the weights, since the agent's start.
    without_view_since: Cell<Option<Duration>>,
}

impl State {
    /// Creates the state of an agent that knows nothing yet.
    pub fn new(options: Options, metrics: Metrics) -> Rc<Self> {
        let rate = (options.link_bytes_per_second as f64 * LINK_SHARE) as u64;
        Rc::new(Self {
            options,
            metrics,
            wake: Notify::new(),
            upload_bucket: Bucket::new(rate),
            download_bucket: Bucket::new(rate),
            named: Notify::new(),
            clock: System::default(),
            rows: RefCell::default(),
            models: RefCell::default(),
            origin: RefCell::default(),
            versions: RefCell::default(),
            target: RefCell::default(),
            held: Cell::default(),
            roster: RefCell::default(),
            entries: RefCell::default(),
            staged: RefCell::default(),
            away: Cell::default(),
            without_view_since: Cell::default(),
        })
    }

    /// Returns the time since the start.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the newest version that the engine should hold; `None` before the first configuration.
    pub fn newest_target(&self) -> Option<Target> {
        let models = self.models.borrow();
        let model = models.first()?;
        let versions = self.versions.borrow();
        let named = versions.get(&model.name).map_or(&[][..], Vec::as_slice);
        let held = self.held.get().unwrap_or_default();
        let ahead = named.iter().filter(|named| named.version > held);
        Some(Target {
            model: model.name.clone(),
            version: named.last().map_or(FIRST_VERSION, |named| named.version),
            announced_at: named.last().map_or(Duration::ZERO, |named| named.at),
            pieces: model.pieces,
            piece_bytes: model.piece_bytes,
            deadline: ahead.map(|named| named.due).min().unwrap_or_default(),
        })
    }

    /// Returns the version that the loader works on, or worked on last.
    pub fn target(&self) -> Option<Target> {
        self.target.borrow().clone()
    }

    /// Takes the newest version as the one to work on.
    pub fn update_target(&self) -> Option<Target> {
        let newest = self.newest_target();
        self.target.borrow_mut().clone_from(&newest);
        newest
    }

    /// Learns of a named version; older ones are ignored.
    pub fn record_version(&self, model: &str, version: u64, from: &str) {
        let due = self.now() + self.options.old_version_grace;
        let mut versions = self.versions.borrow_mut();
        let named = versions.entry(model.to_owned()).or_default();
        let known = named.last().map_or(FIRST_VERSION, |named| named.version);
        if version <= known {
            return;
        }
        let at = self.now();
        named.push(Named { version, at, due });
        log::info!(model, version, before = known, from; "version named");
        self.wake.notify_one();
        self.named.notify_waiters();
    }

    /// Waits until work on a version should be dropped for a newer one.
    ///
    /// A version that has been under way for a while is finished first, unless it takes longer than its time: its
    /// pieces have left the origin, which may fail, and its engine then has the newer one's whole time for that. One that
    /// has all its pieces is loaded also when it is late: its engine serves again while the newer one is fetched.
    pub async fn wait_until_superseded(&self, want: &Target) {
        while !self.is_superseded(want) {
            // A newer version is named seldom; the time of this one is looked at in between.
            let _ = timeout(SUPERSEDED_LOOK, self.named.notified()).await;
        }
    }

    fn is_superseded(&self, want: &Target) -> bool {
        let now = self.now();
        let newer = self
            .newest_target()
            .is_some_and(|newest| !newest.is_same_version(want));
        let early = now < want.announced_at + FINISHED_AFTER;
        let staged = self.staged(&want.model, want.version);
        let whole = staged.is_some_and(|staged| staged.missing().is_empty());
        newer && (early || (now >= want.deadline && !whole))
    }

    /// Tells whether a newer version waits for one to be finished.
    pub fn has_newer_version(&self, want: &Target) -> bool {
        self.newest_target()
            .is_some_and(|newest| !newest.is_same_version(want))
    }

    /// Waits until a newer version waits for one to be finished.
    pub async fn wait_for_newer_version(&self, want: &Target) {
        while !self.has_newer_version(want) {
            self.named.notified().await;
        }
    }

    /// Notes the version that the engine holds.
    pub fn set_loaded_version(&self, held: Option<u64>) {
        self.held.set(held);
    }

    /// Tells whether the engine holds a version.
    pub fn is_serving(&self, version: u64) -> bool {
        self.held.get() == Some(version)
    }

    /// Tells whether the engine holds no version.
    pub fn has_no_version(&self) -> bool {
        self.held.get().is_none()
    }

    /// Returns the clock of the agent.
    pub fn clock(&self) -> System {
        self.clock
    }

    /// Returns the addresses of the first agents of the service in an order of `name`'s own.
    pub fn highest_ranked(&self, name: &str, count: usize) -> Vec<SocketAddr> {
        let roster = self.roster.borrow();
        let object = Key::of(name);
        let mut members: Vec<&Member> = roster.members().iter().collect();
        members.sort_by_key(|member| std::cmp::Reverse(Key::of(&member.name).score(object)));
        let first = members.into_iter().take(count);
        first.map(|member| member.address).collect()
    }

    /// Returns the agent's position among those of the service in an order of `name`'s own, and their number.
    pub fn position(&self, name: &str) -> (usize, usize) {
        let roster = self.roster.borrow();
        let object = Key::of(name);
        let own = Key::of(&self.options.member.name).score(object);
        let members = roster.members();
        let scores = members
            .iter()
            .map(|member| Key::of(&member.name).score(object));
        (scores.filter(|score| *score > own).count(), members.len())
    }

    /// Returns the origin of weights.
    pub fn origin(&self) -> Option<weights::Place> {
        self.origin.borrow().clone()
    }

    /// Returns the agents of the service.
    pub fn roster(&self) -> Roster {
        self.roster.borrow().clone()
    }

    /// Notes that nobody has told of the weights and returns the time since that was first so.
    pub fn time_without_view(&self) -> Duration {
        let now = self.now();
        let since = self.without_view_since.get().unwrap_or(now);
        self.without_view_since.set(Some(since));
        now.saturating_sub(since)
    }

    /// Takes what an entry, or the key-value service, says of the weights; what it leaves out stays as it was.
    pub fn apply_view(&self, view: weights::View) {
        self.without_view_since.set(None);
        for model in &view.models {
            self.record_version(&model.name, model.version, "view");
        }
        *self.models.borrow_mut() = view.models;
        *self.origin.borrow_mut() = view.origin;
        let members = view.agents.into_iter().map(|agent| Member {
            name: agent.address.to_string(),
            address: agent.address,
            region: agent.region,
        });
        let mut members: Vec<Member> = members.collect();
        if !members.is_empty() {
            members.push(self.options.member.clone());
            *self.roster.borrow_mut() = Roster::new(members);
        }
        if !view.entries.is_empty() {
            *self.entries.borrow_mut() = view.entries;
        }
    }

    /// Returns the internal addresses of the entries.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.entries.borrow().clone()
    }

    /// Forgets the entries, none of which answers.
    pub fn clear_entries(&self) {
        self.entries.borrow_mut().clear();
    }

    /// Returns the record of staged pieces of a version.
    pub fn staged(&self, model: &str, version: u64) -> Option<Rc<StagedVersion>> {
        let staged = self.staged.borrow();
        let staged = staged.as_ref()?;
        (staged.model == model && staged.version == version).then(|| Rc::clone(staged))
    }

    /// Replaces the record of staged pieces.
    pub fn set_staged(&self, staged: Option<Rc<StagedVersion>>) {
        *self.staged.borrow_mut() = staged;
    }
}

/// Feeds an agent's state from rows.
#[derive(Debug, Clone)]
pub struct RowObserver<D> {
    state: Rc<State>,
    decoder: D,
}

impl<D: Decoder> RowObserver<D> {
    /// Creates an intake.
    pub fn new(state: Rc<State>, decoder: D) -> Self {
        Self { state, decoder }
    }
}

impl<D: Decoder> Observer for RowObserver<D> {
    fn with_rows<T>(&self, act: impl FnOnce(&mut Rows) -> T) -> T {
        act(&mut self.state.rows.borrow_mut())
    }

    fn changed(&self, changes: Vec<Change>) {
        for change in changes {
            let Change::Put(entry) = change else {
                continue;
            };
            match self.decoder.decode(&entry.key, &entry.value) {
                Row::Version { model, version } => {
                    self.state
                        .record_version(&model, version, "key-value service");
                }
                Row::Weights(_) | Row::Entry(_) | Row::Other => {}
            }
        }
    }

    fn is_active(&self) -> bool {
        true
    }

    fn reached(&self, result: Result<(), &kv::Error>) {
        let away = result.is_err();
        if self.state.away.replace(away) == away {
            return;
        }
        match result {
            Ok(()) => log::info!("key-value service regained"),
            Err(error) => log::warn!(error:%; "key-value service lost"),
        }
    }
}
