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
    order::Key,
    planner::policy::Scope,
    roster::{Member, Roster},
};
use pistachiolug_wire::{datagram::MAX_TRANSIT, weights};
use tokio::{sync::Notify, time::timeout};

use crate::{
    metrics::Metrics,
    orders::Orders,
    plan::{self, Candidate},
    row::{Decoder, Row},
    stage::Stage,
    staged::{Shelf, StagedVersion},
    versions::{Effect, Versions},
};

/// Interval at which the plan is evaluated again, since pieces arrive and deadlines pass.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest time between two reads of the entries from the key-value service. All agents of a deployment start at once, and
/// entries need seconds before they answer.
const ENTRIES_INTERVAL: Duration = Duration::from_millis(1500);

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
    /// Number of layers of the model; 0 if the engine can't load them apart.
    pub layers: usize,
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

/// Versions that an agent works on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// Version that the engine stages and loads next.
    pub first: Target,
    /// Newer version whose pieces are fetched into memory meanwhile, or a version whose staged pieces are not known yet.
    pub ahead: Option<Target>,
    /// Whether `ahead` is fetched.
    pub fetches_ahead: bool,
}

impl Plan {
    /// Returns whether the pieces of a version are fetched.
    pub fn is_fetched(&self, version: u64) -> bool {
        let is_ahead = |ahead: &Target| self.fetches_ahead && ahead.version == version;
        self.first.version == version || self.ahead.as_ref().is_some_and(is_ahead)
    }

    fn contains(&self, target: &Target) -> bool {
        let is_ahead = |ahead: &Target| ahead.is_same_version(target);
        self.first.is_same_version(target) || self.ahead.as_ref().is_some_and(is_ahead)
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
    /// Wakes tasks that work on a version when the plan may have changed: a version is announced, or the machine was
    /// suspended.
    plan_changed: Notify,
    clock: System,
    rows: RefCell<Rows>,
    /// Models of the service.
    models: RefCell<Vec<weights::Model>>,
    origin: RefCell<Option<weights::Place>>,
    versions: RefCell<Versions>,
    /// Versions that the loader works on.
    plan: RefCell<Option<Plan>>,
    /// Whether the engine is being ordered to load; the plan is kept meanwhile.
    is_loading: Cell<bool>,
    /// Version that the engine has loaded.
    loaded_version: Cell<Option<u64>>,
    roster: RefCell<Roster>,
    entries: RefCell<Vec<SocketAddr>>,
    /// Records of the pieces that the agent holds.
    pub shelf: Shelf,
    /// Pieces that the engine stages.
    pub stage: Stage,
    /// Load orders of the engine.
    pub orders: RefCell<Orders>,
    /// Newest version of which other processes were told.
    told_version: Cell<Option<u64>>,
    /// Version for which the view was last read.
    view_version: Cell<Option<u64>>,
    store_unreachable: Cell<bool>,
    /// When the entries were last read from the key-value service, as time since the agent's start.
    entries_read_at: Cell<Option<Duration>>,
    /// When the first attempt to read a view failed since the last successful one, as time since the agent's start.
    without_view_since: Cell<Option<Duration>>,
}

impl State {
    /// Creates the state of an agent without a configuration.
    pub fn new(options: Options, metrics: Metrics) -> Rc<Self> {
        let rate = rate_of(&options, plan::link_share(Duration::ZERO));
        let clock = System::default();
        Rc::new(Self {
            options,
            metrics,
            wake: Notify::new(),
            upload_bucket: Bucket::new(rate),
            download_bucket: Bucket::new(rate),
            plan_changed: Notify::new(),
            stage: Stage::new(clock.clone()),
            orders: RefCell::default(),
            clock,
            rows: RefCell::default(),
            models: RefCell::default(),
            origin: RefCell::default(),
            versions: RefCell::default(),
            plan: RefCell::default(),
            is_loading: Cell::default(),
            loaded_version: Cell::default(),
            roster: RefCell::default(),
            entries: RefCell::default(),
            shelf: Shelf::default(),
            told_version: Cell::default(),
            view_version: Cell::default(),
            store_unreachable: Cell::default(),
            entries_read_at: Cell::default(),
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
        Some(self.target(model, self.versions.borrow().newest(&model.name)))
    }

    fn target(&self, model: &weights::Model, version: u64) -> Target {
        let versions = self.versions.borrow();
        let loaded = self.loaded_version.get().unwrap_or_default();
        let announced = versions.of(&model.name).iter();
        let ahead = announced.filter(|announced| announced.version > loaded);
        Target {
            model: model.name.clone(),
            version,
            pieces: model.pieces,
            piece_bytes: model.piece_bytes,
            layers: model.layers,
            deadline: ahead
                .map(|announced| announced.due.unwrap_or(self.options.version_grace))
                .min()
                .unwrap_or_default(),
        }
    }

    /// Returns the versions that the loader works on; `None` before the first ones.
    pub fn plan(&self) -> Option<Plan> {
        self.plan.borrow().clone()
    }

    /// Chooses the versions to work on from what is known now, and returns them. The plan is kept while the engine is being
    /// ordered to load: pieces of another version must not take the places of those that it loads.
    pub fn update_plan(&self) -> Option<Plan> {
        if self.is_loading.get() {
            return self.plan();
        }
        let plan = self.choose_plan();
        let first = plan.as_ref().map(|plan| plan.first.version);
        let previous = self.plan.replace(plan.clone());
        let previous_first = previous.as_ref().map(|plan| plan.first.version);
        if first != previous_first {
            let ahead = plan.as_ref().and_then(|plan| plan.ahead.as_ref());
            let ahead = ahead.map(|ahead| ahead.version);
            log::info!(version:? = first, before:? = previous_first, ahead:?; "version to load next chosen");
        }
        if previous != plan {
            self.plan_changed.notify_waiters();
        }
        plan
    }

    fn choose_plan(&self) -> Option<Plan> {
        let models = self.models.borrow();
        let model = models.first()?;
        let candidates = self.candidates(model);
        let rate = rate_of(&self.options, plan::link_share(Duration::ZERO)).max(1);
        let piece_time = Duration::from_secs_f64(model.piece_bytes as f64 / rate as f64);
        let newest = self.versions.borrow().newest(&model.name);
        let chosen = plan::choose(self.now(), &candidates, piece_time);
        let chosen = chosen.map_or(newest, |index| candidates[index].version);
        let is_whole = |version| {
            let staged = self.staged(&model.name, version);
            staged.is_some_and(|staged| staged.is_whole())
        };
        let must_finish = self.orders.borrow().must_finish(self.now(), is_whole);
        let first = must_finish.unwrap_or(chosen);
        // Pieces of any version may be staged at the engine after a restart, and others may wait for them.
        let unknown = candidates
            .iter()
            .rev()
            .map(|candidate| candidate.version)
            .filter(|version| *version != first)
            .find(|version| self.staged(&model.name, *version).is_none());
        let ahead = unknown.or_else(|| (first != newest).then_some(newest));
        Some(Plan {
            first: self.target(model, first),
            ahead: ahead.map(|version| self.target(model, version)),
            fetches_ahead: ahead == Some(newest),
        })
    }

    /// Returns the progress of the versions that the engine has not loaded, in ascending order.
    fn candidates(&self, model: &weights::Model) -> Vec<Candidate> {
        let versions = self.versions.borrow();
        let loaded = self.loaded_version.get().unwrap_or_default();
        let announced = versions.of(&model.name).iter();
        let ahead = announced.filter(|announced| announced.version > loaded);
        let candidates = ahead.map(|announced| {
            let staged = self.staged(&model.name, announced.version);
            let progress = staged.map(|staged| (staged.missing().len(), staged.unavailable()));
            let (missing, unavailable) = progress.unwrap_or((model.pieces, model.pieces));
            Candidate {
                version: announced.version,
                due: announced.due.unwrap_or(self.options.version_grace),
                pieces: model.pieces,
                missing,
                unavailable,
            }
        });
        candidates.collect()
    }

    /// Sets the rates of transfers by how much time is left until the engine needs another version.
    pub fn adjust_rates(&self) {
        let left = self.newest_target().map_or(Duration::ZERO, |target| {
            target.deadline.saturating_sub(self.now())
        });
        let rate = rate_of(&self.options, plan::link_share(left));
        self.upload_bucket.set_rate(rate);
        // An engine without a version serves no requests, so its whole link is available for weights.
        let download_rate = if self.has_no_version() { 0 } else { rate };
        self.download_bucket.set_rate(download_rate);
    }

    /// Returns the pieces that may be fetched ahead of the version that is loaded next; `None` if none.
    pub fn ahead_scope(&self) -> Option<Scope> {
        let models = self.models.borrow();
        let candidates = self.candidates(models.first()?);
        let first = self.plan()?.first;
        let candidate = candidates
            .iter()
            .find(|candidate| candidate.version == first.version)?;
        let staged = self.staged(&first.model, first.version)?;
        let idle = self.now().saturating_sub(staged.last_gained_at());
        let due = candidates.last().map(|newest| newest.due);
        let left = due.unwrap_or_default().saturating_sub(self.now());
        plan::ahead_scope(candidate, idle, left)
    }

    /// Records an announced version; see [`Versions::record`] for those that are ignored.
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
        self.record_due(model, version, None, due, from);
    }

    fn record_due(
        &self,
        model: &str,
        version: u64,
        told_due: Option<Duration>,
        due_by_rows: Option<Duration>,
        from: &str,
    ) {
        let mut versions = self.versions.borrow_mut();
        let before = versions.newest(model);
        let due = told_due.max(due_by_rows);
        let max_age_ms = due.map(|due| self.max_age(due).as_millis() as u64);
        let loaded = self.loaded_version.get();
        match versions.record(model, version, told_due, due_by_rows, loaded) {
            Effect::None => return,
            Effect::Added => {
                log::info!(model, version, before, max_age_ms:?, from; "version announced");
            }
            Effect::Corrected => {
                log::info!(model, version, max_age_ms:?, from; "version was announced later than known");
            }
        }
        self.wake.notify_one();
        self.plan_changed.notify_waiters();
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
        let is_newest = version > self.versions.borrow().newest(model);
        let complete_at = self.rows.borrow().complete_at().filter(|_| is_newest);
        let due_by_rows = complete_at.map(|at| at + self.options.version_grace);
        self.record_due(model, version, due, due_by_rows, from);
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
            let max_age = Duration::from_millis(max_age_ms.into()) + MAX_TRANSIT;
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
        let announced = self.versions.borrow().find(model, version)?;
        let age = self.max_age(announced.due?);
        age.as_millis().saturating_add(1).try_into().ok()
    }

    /// Returns the bound of a version's age in milliseconds that other processes may rely on; `None` if this agent does not
    /// know it from the rows of the key-value service.
    pub fn told_age_ms(&self, model: &str, version: u64) -> Option<u32> {
        let announced = self.versions.borrow().find(model, version)?;
        let age = self.max_age(announced.due_by_rows?);
        age.as_millis().saturating_add(1).try_into().ok()
    }

    /// Returns whether other processes should be told of a version; `true` once for each one.
    pub fn should_announce(&self, version: u64) -> bool {
        self.told_version.get().max(Some(version)) == Some(version)
            && self.told_version.replace(Some(version)) != Some(version)
    }

    /// Returns the announced versions of a model in ascending order.
    pub fn announced_versions(&self, model: &str) -> Vec<u64> {
        let versions = self.versions.borrow();
        let announced = versions.of(model).iter();
        announced.map(|announced| announced.version).collect()
    }

    /// Returns whether a version was announced.
    pub fn is_announced(&self, model: &str, version: u64) -> bool {
        self.versions.borrow().find(model, version).is_some()
    }

    /// Returns the number of pieces of a model's versions; `None` if the model is not known.
    pub fn piece_count(&self, model: &str) -> Option<usize> {
        let models = self.models.borrow();
        let found = models.iter().find(|known| known.name == model);
        found.map(|known| known.pieces)
    }

    /// Makes tasks compute again how long they wait; called when timers that were set before are too late.
    pub fn move_deadlines(&self) {
        self.plan_changed.notify_waiters();
    }

    /// Waits until a version is announced, until it becomes known that one was announced later than known, or until a
    /// suspension of the machine has ended.
    pub async fn wait_for_announcement(&self) {
        self.plan_changed.notified().await;
    }

    /// Waits until another version than `target` should be brought to the engine.
    pub async fn wait_until_superseded(&self, target: &Target) {
        while !self.is_superseded(target) {
            let _ = timeout(PLAN_INTERVAL, self.plan_changed.notified()).await;
        }
    }

    fn is_superseded(&self, target: &Target) -> bool {
        let plan = self.update_plan();
        plan.is_some_and(|plan| !plan.first.is_same_version(target))
    }

    /// Waits until the plan has a version to fetch ahead that is not one of `active`, and returns it.
    pub async fn wait_for_ahead(&self, active: &[u64]) -> Target {
        loop {
            let ahead = self.plan().and_then(|plan| plan.ahead);
            if let Some(ahead) = ahead.filter(|ahead| !active.contains(&ahead.version)) {
                return ahead;
            }
            self.plan_changed.notified().await;
        }
    }

    /// Waits until `target` is not the version to fetch ahead.
    pub async fn wait_until_not_ahead(&self, target: &Target) {
        let is_ahead = |ahead: Target| ahead.is_same_version(target);
        while self
            .plan()
            .and_then(|plan| plan.ahead)
            .is_some_and(is_ahead)
        {
            self.plan_changed.notified().await;
        }
    }

    /// Waits until `target` is neither loaded next nor fetched ahead.
    pub async fn wait_until_unplanned(&self, target: &Target) {
        while self.plan().is_some_and(|plan| plan.contains(target)) {
            self.plan_changed.notified().await;
        }
    }

    /// Returns whether the engine stages the pieces of a version, because it loads that version next.
    pub fn is_first(&self, version: u64) -> bool {
        let plan = self.plan.borrow();
        plan.as_ref()
            .is_some_and(|plan| plan.first.version == version)
    }

    /// Returns whether pieces of a version may be staged now; otherwise they are kept in memory.
    pub fn may_stage(&self, version: u64) -> bool {
        self.is_first(version) && self.orders.borrow().may_stage(version)
    }

    /// Keeps the plan while the engine is ordered to load.
    pub fn set_loading(&self, is_loading: bool) {
        self.is_loading.set(is_loading);
    }

    /// Returns whether a newer version waits for `target` to be finished.
    pub fn has_newer_version(&self, target: &Target) -> bool {
        self.newest_target()
            .is_some_and(|newest| !newest.is_same_version(target))
    }

    /// Records the version that the engine has loaded; `None` if there is none.
    pub fn set_loaded_version(&self, version: Option<u64>) {
        self.loaded_version.set(version);
        self.shelf.drop_buffered_up_to(version.unwrap_or_default());
    }

    /// Returns the version that the engine had loaded when its report was last read; `None` if there was none.
    pub fn loaded_version(&self) -> Option<u64> {
        self.loaded_version.get()
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

    /// Returns whether the view should be read again for a version; `true` once for each version in turn.
    pub fn should_refresh_view(&self, target: &Target) -> bool {
        self.view_version.replace(Some(target.version)) != Some(target.version)
    }

    /// Returns the internal addresses of the known entries.
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.entries.borrow().clone()
    }

    /// Replaces the known entries.
    pub fn set_entries(&self, entries: Vec<SocketAddr>) {
        *self.entries.borrow_mut() = entries;
    }

    /// Returns whether the entries should be read from the key-value service: none is known, or none of them has answered,
    /// so that all may be gone. `true` at most once in 1.5 s.
    pub fn should_read_entries(&self) -> bool {
        let is_missing =
            self.entries.borrow().is_empty() || self.without_view_since.get().is_some();
        let now = self.now();
        let read_at = self.entries_read_at.get();
        let is_due = read_at.is_none_or(|read_at| now >= read_at + ENTRIES_INTERVAL);
        if is_missing && is_due {
            self.entries_read_at.set(Some(now));
        }
        is_missing && is_due
    }

    /// Returns the record of a version's pieces; `None` if there is none.
    pub fn staged(&self, model: &str, version: u64) -> Option<Rc<StagedVersion>> {
        self.shelf.find(model, version)
    }
}

/// Returns the bytes per second of a share of the link.
fn rate_of(options: &Options, share: f64) -> u64 {
    (options.link_bytes_per_second as f64 * share) as u64
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
