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

/// Age from which a version is finished although a newer one was announced: about the time in which the origin serves
/// half of its pieces.
const MIN_AGE_TO_FINISH: Duration = Duration::from_secs(1);

/// Interval at which the deadline of the current version is checked.
const DEADLINE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Smallest correction of the time of an announcement that is used.
const MIN_CORRECTION: Duration = Duration::from_millis(100);

/// Version that every model starts with.
const FIRST_VERSION: u64 = 1;

/// Share of the link that weights may use in each direction. The rest is reserved for live requests, whose events must
/// not queue.
const WEIGHTS_LINK_SHARE: f64 = 0.88;

/// Settings of an agent.
#[derive(Debug, Clone)]
pub struct Options {
    /// Name of the instance.
    pub name: String,
    /// Service that the engine belongs to.
    pub service: String,
    /// The agent's own row in the roster.
    pub member: Member,
    /// Address at which the engine accepts requests.
    pub server_address: SocketAddr,
    /// Capacity of the instance's link in bytes per second.
    pub link_bytes_per_second: u64,
    /// Time after the announcement of a version during which requests may still start on an older one.
    pub version_grace: Duration,
}

/// Version that the engine should load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the model.
    pub model: String,
    /// Version number.
    pub version: u64,
    /// Number of pieces.
    pub pieces: usize,
    /// Size of a piece in bytes; the last piece may be shorter.
    pub piece_bytes: usize,
    /// When the agent learned of the version, as time since its start.
    pub announced_at: Duration,
    /// Time since the agent's start from which requests may no longer start on the version that the engine has loaded:
    /// the earliest deadline of the newer versions; zero if none is announced.
    pub deadline: Duration,
}

impl Target {
    /// Returns whether both are the same version of the same model.
    pub fn is_same_version(&self, other: &Self) -> bool {
        self.model == other.model && self.version == other.version
    }
}

/// Version that was announced.
#[derive(Debug, Clone, Copy)]
struct Announcement {
    version: u64,
    /// When the agent learned of the version, as time since its start.
    announced_at: Duration,
    /// Time since the agent's start from which requests may no longer start on older versions: the grace after a time after
    /// which the version was announced. That time may be before the agent's start. `None` if the version may have been
    /// announced at any time. Only grows.
    due: Option<Duration>,
}

/// Record of the pieces of one version that are staged at the engine.
#[derive(Debug)]
pub struct StagedVersion {
    /// Name of the model.
    pub model: String,
    /// Version number.
    pub version: u64,
    /// Digests of the pieces.
    pub manifest: Manifest,
    /// Staged and verified pieces; has the manifest's length.
    held: RefCell<Bitmap>,
    /// When the last piece was staged, as time since the agent's start.
    last_staged_at: Cell<Duration>,
    clock: System,
}

impl StagedVersion {
    /// Creates the record of a version without staged pieces.
    pub fn new(target: &Target, manifest: Manifest, clock: System) -> Self {
        Self {
            model: target.model.clone(),
            version: target.version,
            held: RefCell::new(Bitmap::new(manifest.digests.len())),
            manifest,
            last_staged_at: Cell::new(clock.now()),
            clock,
        }
    }

    /// Returns whether a piece is staged.
    pub fn is_staged(&self, index: usize) -> bool {
        self.held.borrow().contains(index as u32)
    }

    /// Records whether a piece is staged and verified.
    pub fn set_held(&self, index: usize, held: bool) {
        if held {
            self.held.borrow_mut().insert(index as u32);
            self.last_staged_at.set(self.clock.now());
        } else {
            self.held.borrow_mut().remove(index as u32);
        }
    }

    /// Returns the staged pieces.
    pub fn held(&self) -> Bitmap {
        self.held.borrow().clone()
    }

    /// Returns when the last piece was staged, as time since the agent's start.
    pub fn last_staged_at(&self) -> Duration {
        self.last_staged_at.get()
    }

    /// Returns the indices of the pieces that are not staged.
    pub fn missing(&self) -> Vec<usize> {
        let held = self.held.borrow();
        let pieces = 0..held.length();
        pieces
            .filter(|index| !held.contains(*index as u32))
            .collect()
    }
}

/// State of an agent.
#[derive(Debug)]
pub struct State {
    /// Settings.
    pub options: Options,
    /// Metrics of the loader.
    pub metrics: Metrics,
    /// Wakes the loader when there may be something to do.
    pub wake: Notify,
    /// Paces uploads of pieces, since the link also carries the responses of live requests.
    pub upload_bucket: Bucket,
    /// Paces downloads of pieces, since the link also carries live requests.
    pub download_bucket: Bucket,
    /// Wakes tasks that work on a version when a newer one is announced, and after a suspension of the machine.
    version_announced: Notify,
    clock: System,
    rows: RefCell<Rows>,
    /// Models of the service.
    models: RefCell<Vec<weights::Model>>,
    origin: RefCell<Option<weights::Place>>,
    /// Announced versions by model, in ascending order.
    versions: RefCell<FxHashMap<String, Vec<Announcement>>>,
    /// Version that the loader works on.
    current_target: RefCell<Option<Target>>,
    /// Version that the engine has loaded.
    loaded_version: Cell<Option<u64>>,
    roster: RefCell<Roster>,
    entries: RefCell<Vec<SocketAddr>>,
    staged: RefCell<Option<Rc<StagedVersion>>>,
    store_unreachable: Cell<bool>,
    /// When the first attempt to read a view failed since the last successful one, as time since the agent's start.
    without_view_since: Cell<Option<Duration>>,
}

impl State {
    /// Creates the state of an agent without a configuration.
    pub fn new(options: Options, metrics: Metrics) -> Rc<Self> {
        let rate = (options.link_bytes_per_second as f64 * WEIGHTS_LINK_SHARE) as u64;
        Rc::new(Self {
            options,
            metrics,
            wake: Notify::new(),
            upload_bucket: Bucket::new(rate),
            download_bucket: Bucket::new(rate),
            version_announced: Notify::new(),
            clock: System::default(),
            rows: RefCell::default(),
            models: RefCell::default(),
            origin: RefCell::default(),
            versions: RefCell::default(),
            current_target: RefCell::default(),
            loaded_version: Cell::default(),
            roster: RefCell::default(),
            entries: RefCell::default(),
            staged: RefCell::default(),
            store_unreachable: Cell::default(),
            without_view_since: Cell::default(),
        })
    }

    /// Returns the time since the agent's start, including the time for which the machine was suspended.
    pub fn now(&self) -> Duration {
        self.clock.now()
    }

    /// Returns the newest version that the engine should load; `None` before the first configuration.
    pub fn newest_target(&self) -> Option<Target> {
        let models = self.models.borrow();
        let model = models.first()?;
        let versions = self.versions.borrow();
        let announced = versions.get(&model.name).map_or(&[][..], Vec::as_slice);
        let loaded = self.loaded_version.get().unwrap_or_default();
        let ahead = announced
            .iter()
            .filter(|announced| announced.version > loaded);
        Some(Target {
            model: model.name.clone(),
            version: announced
                .last()
                .map_or(FIRST_VERSION, |announced| announced.version),
            announced_at: announced
                .last()
                .map_or(Duration::ZERO, |announced| announced.announced_at),
            pieces: model.pieces,
            piece_bytes: model.piece_bytes,
            deadline: ahead
                .map(|announced| announced.due.unwrap_or(self.options.version_grace))
                .min()
                .unwrap_or_default(),
        })
    }

    /// Returns the version that the loader works on, or last worked on; `None` before the first one.
    pub fn target(&self) -> Option<Target> {
        self.current_target.borrow().clone()
    }

    /// Makes the newest version the one that the loader works on, and returns it.
    pub fn update_target(&self) -> Option<Target> {
        let newest = self.newest_target();
        self.current_target.borrow_mut().clone_from(&newest);
        newest
    }

    /// Records an announced version; versions older than the newest known one are ignored.
    ///
    /// Deadlines count from the latest time after which a source knows that the version was announced. A process learns
    /// of versions late if it was suspended or lost its watch.
    ///
    /// # Arguments
    /// `announced_after` is such a time, since the agent's start; `None` if it may have been announced at any time. `from`
    /// names the source in the log.
    pub fn record_version(
        &self,
        model: &str,
        version: u64,
        announced_after: Option<Duration>,
        from: &str,
    ) {
        let due = announced_after.map(|after| after + self.options.version_grace);
        self.record_due(model, version, due, from);
    }

    fn record_due(&self, model: &str, version: u64, due: Option<Duration>, from: &str) {
        let mut versions = self.versions.borrow_mut();
        let announced = versions.entry(model.to_owned()).or_default();
        let known = announced
            .last()
            .map_or(FIRST_VERSION, |announced| announced.version);
        let now = self.now();
        let max_age_ms = due.map(|due| self.max_age(due).as_millis() as u64);
        let index = announced
            .iter()
            .position(|announcement| announcement.version == version);
        if let Some(index) = index {
            let known_due = announced[index].due;
            if due <= known_due.map(|known_due| known_due + MIN_CORRECTION) {
                return;
            }
            for announcement in &mut announced[index..] {
                announcement.due = announcement.due.max(due);
            }
            log::info!(model, version, max_age_ms:?, from; "version was announced later than known");
        } else if version > known {
            // Versions are announced one after the other.
            let previous = announced.last();
            let due = due.max(previous.and_then(|earlier| earlier.due));
            announced.push(Announcement {
                version,
                announced_at: now,
                due,
            });
            log::info!(model, version, before = known, max_age_ms:?, from; "version announced");
        } else {
            return;
        }
        self.wake.notify_one();
        self.version_announced.notify_waiters();
    }

    /// Records a version of which another process has told. One that is not known was announced after the rows were last
    /// known to be complete.
    ///
    /// # Arguments
    /// As for [`State::record_version`].
    pub fn learn_version(
        &self,
        model: &str,
        version: u64,
        announced_after: Option<Duration>,
        from: &str,
    ) {
        let due = announced_after.map(|after| after + self.options.version_grace);
        self.learn_due(model, version, due, from);
    }

    fn learn_due(&self, model: &str, version: u64, due: Option<Duration>, from: &str) {
        let is_known = self.has_announcement(model, version);
        let complete_at = self.rows.borrow().complete_at().filter(|_| !is_known);
        let due_by_rows = complete_at.map(|at| at + self.options.version_grace);
        self.record_due(model, version, due.max(due_by_rows), from);
    }

    /// Records a version of which a datagram has told. It may have been announced before the agent's start.
    ///
    /// # Arguments
    /// `max_age_ms` is the largest possible age in milliseconds; `None` if that is unknown. The datagram arrived after
    /// `arrived_after`. `from` names the source in the log.
    pub fn learn_age(
        &self,
        model: &str,
        version: u64,
        max_age_ms: Option<u32>,
        arrived_after: Duration,
        from: &str,
    ) {
        let due = max_age_ms.map(|max_age_ms| {
            let max_age = Duration::from_millis(max_age_ms.into());
            (arrived_after + self.options.version_grace).saturating_sub(max_age)
        });
        self.learn_due(model, version, due, from);
    }

    /// Returns the largest possible age of a version that is due at a time.
    fn max_age(&self, due: Duration) -> Duration {
        (self.now() + self.options.version_grace).saturating_sub(due)
    }

    /// Returns the bound of a version's age in milliseconds; `None` if the version is not known, or may have been
    /// announced at any time.
    pub fn version_age_ms(&self, model: &str, version: u64) -> Option<u32> {
        let versions = self.versions.borrow();
        let mut announced = versions.get(model)?.iter();
        let announced = announced.find(|announced| announced.version == version)?;
        let age = self.max_age(announced.due?);
        age.as_millis().saturating_add(1).try_into().ok()
    }

    /// Makes tasks compute again how long they wait; called when timers that were set before are too late.
    pub fn move_deadlines(&self) {
        self.version_announced.notify_waiters();
    }

    fn has_announcement(&self, model: &str, version: u64) -> bool {
        let versions = self.versions.borrow();
        let announced = versions.get(model).map_or(&[][..], Vec::as_slice);
        announced
            .iter()
            .any(|announced| announced.version == version)
    }

    /// Waits until a version is announced, until it becomes known that one was announced later than known, or until a
    /// suspension of the machine has ended.
    pub async fn wait_for_announcement(&self) {
        self.version_announced.notified().await;
    }

    /// Waits until work on a version should be abandoned for a newer one.
    ///
    /// A version that has been in progress for a while is finished first, unless it misses its deadline: its pieces
    /// have already left the origin, which may fail, and the newer version still has its whole grace period afterwards.
    /// A version that has all its pieces is loaded even after its deadline, so that the engine serves again while the
    /// newer one is fetched.
    pub async fn wait_until_superseded(&self, target: &Target) {
        while !self.is_superseded(target) {
            // Announcements are rare, so the deadline is also checked at an interval.
            let _ = timeout(DEADLINE_CHECK_INTERVAL, self.version_announced.notified()).await;
        }
    }

    fn is_superseded(&self, target: &Target) -> bool {
        let now = self.now();
        let Some(newest) = self.newest_target() else {
            return false;
        };
        let has_newer = !newest.is_same_version(target);
        let is_recent = now < target.announced_at + MIN_AGE_TO_FINISH;
        let staged = self.staged(&target.model, target.version);
        let is_complete = staged.is_some_and(|staged| staged.missing().is_empty());
        has_newer && (is_recent || (now >= newest.deadline && !is_complete))
    }

    /// Returns whether a newer version waits for `target` to be finished.
    pub fn has_newer_version(&self, target: &Target) -> bool {
        self.newest_target()
            .is_some_and(|newest| !newest.is_same_version(target))
    }

    /// Waits until a newer version than `target` is announced.
    pub async fn wait_for_newer_version(&self, target: &Target) {
        while !self.has_newer_version(target) {
            self.version_announced.notified().await;
        }
    }

    /// Records the version that the engine has loaded; `None` if there is none.
    pub fn set_loaded_version(&self, version: Option<u64>) {
        self.loaded_version.set(version);
    }

    /// Returns whether the engine has loaded `version`.
    pub fn is_serving(&self, version: u64) -> bool {
        self.loaded_version.get() == Some(version)
    }

    /// Returns whether the engine has loaded no version.
    pub fn has_no_version(&self) -> bool {
        self.loaded_version.get().is_none()
    }

    /// Returns the agent's clock.
    pub fn clock(&self) -> System {
        self.clock.clone()
    }

    /// Returns the addresses of the first `count` agents of the service in the rendezvous order for `name`.
    pub fn highest_ranked(&self, name: &str, count: usize) -> Vec<SocketAddr> {
        let roster = self.roster.borrow();
        let object = Key::of(name);
        let mut members: Vec<&Member> = roster.members().iter().collect();
        members.sort_by_key(|member| std::cmp::Reverse(Key::of(&member.name).score(object)));
        let first = members.into_iter().take(count);
        first.map(|member| member.address).collect()
    }

    /// Returns this agent's rank among the service's agents in the rendezvous order for the object `name`, and the
    /// number of agents. The first agent has rank 0.
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

    /// Returns the origin of weights; `None` if none is configured.
    pub fn origin(&self) -> Option<weights::Place> {
        self.origin.borrow().clone()
    }

    /// Returns the agents of the service.
    pub fn roster(&self) -> Roster {
        self.roster.borrow().clone()
    }

    /// Records that no view could be read, and returns the time since the first such failure after the last view.
    pub fn time_without_view(&self) -> Duration {
        let now = self.now();
        let since = self.without_view_since.get().unwrap_or(now);
        self.without_view_since.set(Some(since));
        now.saturating_sub(since)
    }

    /// Applies a view from an entry or the key-value service. Agents and entries stay as they were if the view has
    /// none.
    pub fn apply_view(&self, view: weights::View) {
        self.without_view_since.set(None);
        for model in &view.models {
            // Entries also send a version's age.
            self.learn_version(&model.name, model.version, None, "view");
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

    /// Returns the internal addresses of the known entries.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.entries.borrow().clone()
    }

    /// Forgets the known entries, used when none of them answers.
    pub fn clear_entries(&self) {
        self.entries.borrow_mut().clear();
    }

    /// Returns the record of a version's staged pieces; `None` if there is none.
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

/// Observer that updates an agent's state from rows of the key-value service.
#[derive(Debug, Clone)]
pub struct RowObserver<D> {
    state: Rc<State>,
    decoder: D,
}

impl<D: Decoder> RowObserver<D> {
    /// Creates an observer of rows that `decoder` decodes.
    pub fn new(state: Rc<State>, decoder: D) -> Self {
        Self { state, decoder }
    }
}

impl<D: Decoder> Observer for RowObserver<D> {
    fn with_rows<T>(&self, act: impl FnOnce(&mut Rows) -> T) -> T {
        act(&mut self.state.rows.borrow_mut())
    }

    fn on_changes(&self, changes: Vec<Change>, made_after: Option<Duration>) {
        for change in changes {
            let Change::Put(entry) = change else {
                continue;
            };
            match self.decoder.decode(&entry.key, &entry.value) {
                Row::Version { model, version } => {
                    self.state
                        .record_version(&model, version, made_after, "key-value service");
                }
                Row::Weights(_) | Row::Entry(_) | Row::Other => {}
            }
        }
    }

    fn now(&self) -> Duration {
        self.state.now()
    }

    fn is_active(&self) -> bool {
        true
    }

    fn on_contact(&self, result: Result<(), &kv::Error>) {
        let store_unreachable = result.is_err();
        if self.state.store_unreachable.replace(store_unreachable) == store_unreachable {
            return;
        }
        match result {
            Ok(()) => log::info!("key-value service reachable again"),
            Err(error) => log::warn!(error:%; "key-value service unreachable"),
        }
    }
}
