//! Weights that the engine should serve: keeps its versions in line with the lists.
//!
//! The engine's own account is read anew in each round, so a restart of the engine or of this process needs no
//! special case: what is missing is pulled from other members first, and ordered again.

pub mod activate;
pub mod link;
pub mod manifests;
pub mod metrics;
pub mod placement;
pub mod status;
pub mod target;
pub mod usage;

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant},
};

use pistachiolug_lists::force::Force;
use pistachiolug_membership::view::View;
use pistachiolug_platform::{
    engine::{Engine, Loaded, Order, State},
    source::Source,
};
use pistachiolug_weights::{
    manifest::Manifest, planner::KEEPERS, roster::Roster, staging, swarm::Swarm,
};
use pistachiolug_wire::digest::Digest;
use tokio::{sync::watch, task::JoinHandle, time::sleep};

use self::{
    activate::{Activate, Guard},
    manifests::Manifests,
    metrics::Metrics,
    status::Status,
    target::Target,
    usage::Usage,
};
use crate::incarnation::Incarnation;

/// Interval between two comparisons of wanted and loaded versions.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Wait after a failed transfer or order.
const RETRY_WAIT: Duration = Duration::from_secs(1);

/// Time for which a version must be unwanted and unused before it is unloaded.
const UNLOAD_GRACE: Duration = Duration::from_secs(2);

/// Services that the loader uses.
#[derive(Debug, Clone)]
pub struct Dependencies<E, S, G> {
    /// Model engine.
    pub engine: E,
    /// Member of the spreads.
    pub swarm: Swarm<S>,
    /// Sources of manifests.
    pub sources: Vec<S>,
    /// Lists in force.
    pub current_lists: Force,
    /// Instances.
    pub view: View,
    /// Service of the backend server.
    pub service: String,
    /// Fencing number of this process.
    pub incarnation: Incarnation,
    /// Tells whether this process still speaks for its instance.
    pub guard: G,
    /// Running calls by version.
    pub usage: Usage,
    /// State for the dump.
    pub status: Status,
    /// Metrics.
    pub metrics: Metrics,
}

/// Transfer of one version.
struct Transfer {
    target: Target,
    task: JoinHandle<bool>,
    roster: watch::Sender<Arc<Roster>>,
}

impl Drop for Transfer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Keeps one engine in line.
struct Loader<E, S, G> {
    dependencies: Dependencies<E, S, G>,
    manifests: Manifests<S>,
    /// Transfers under way by model.
    transfers: BTreeMap<String, Transfer>,
    /// Times before which a failed model is not tried again.
    retry: BTreeMap<String, Instant>,
    /// Versions that are not wanted and not used, since when.
    unused: BTreeMap<(String, String), Instant>,
    /// Rosters for which the chunks of a version were trimmed, by its manifest.
    trimmed: BTreeMap<Digest, Arc<Roster>>,
    /// Whether a newer process has ordered the engine; then this one orders nothing more.
    superseded: bool,
}

/// Brings the engine's versions into line with the lists until the process stops.
pub async fn run<E: Engine, S: Source, G: Guard>(dependencies: Dependencies<E, S, G>) {
    let manifests = Manifests::new(dependencies.sources.clone());
    let mut loader = Loader {
        dependencies,
        manifests,
        transfers: BTreeMap::new(),
        retry: BTreeMap::new(),
        unused: BTreeMap::new(),
        trimmed: BTreeMap::new(),
        superseded: false,
    };
    loop {
        loader.round().await;
        sleep(CHECK_INTERVAL).await;
    }
}

impl<E: Engine, S: Source, G: Guard> Loader<E, S, G> {
    async fn round(&mut self) {
        self.dependencies.metrics.update(&self.dependencies.swarm);
        let lists = self.dependencies.current_lists.now();
        let snapshot = self.dependencies.view.now();
        let instance = &self.dependencies.swarm.options().instance;
        let targets = target::targets(&lists, &snapshot, &self.dependencies.service, instance);
        self.cancel(&targets);
        self.dependencies.status.retain(&targets);
        self.end_transfers().await;
        let Some(fence) = self.dependencies.incarnation.get() else {
            return;
        };
        let Ok(state) = self.dependencies.engine.state().await else {
            return;
        };
        self.superseded |= state.fence > fence;
        if self.superseded {
            self.dependencies.status.mark_superseded();
            return;
        }
        for target in &targets {
            self.align(target, &state, fence);
        }
        let listed = lists.revision() > 0 && !snapshot.instances.is_empty();
        if listed {
            self.unload(&targets, &state, fence).await;
        }
    }

    /// Cancels the transfers of superseded versions and hands changed rosters to the others.
    fn cancel(&mut self, targets: &[Target]) {
        self.transfers.retain(|_, transfer| {
            let same = targets
                .iter()
                .find(|target| target.is_same(&transfer.target));
            if let Some(target) = same {
                transfer.roster.send_if_modified(|roster| {
                    let changed = **roster != *target.roster;
                    if changed {
                        *roster = Arc::clone(&target.roster);
                    }
                    changed
                });
            }
            same.is_some()
        });
    }

    async fn end_transfers(&mut self) {
        let ended = self
            .transfers
            .iter()
            .filter(|(_, transfer)| transfer.task.is_finished());
        let ended: Vec<String> = ended.map(|(model, _)| model.clone()).collect();
        for model in ended {
            let Some(mut transfer) = self.transfers.remove(&model) else {
                continue;
            };
            let fenced = (&mut transfer.task).await.unwrap_or(false);
            self.superseded |= fenced;
            self.retry.insert(model, Instant::now() + RETRY_WAIT);
        }
    }

    fn align(&mut self, target: &Target, state: &State, fence: u64) {
        let loaded = state.loaded.iter().find(|loaded| target.matches(loaded));
        if let Some(loaded) = loaded {
            self.settle(target, loaded);
            return;
        }
        self.dependencies.swarm.set_serving(&target.manifest, false);
        self.trimmed.remove(&target.manifest);
        if self.must_wait(&target.model) || self.transfers.contains_key(&target.model) {
            return;
        }
        let (roster, receiver) = watch::channel(Arc::clone(&target.roster));
        let activate = Activate {
            engine: self.dependencies.engine.clone(),
            swarm: self.dependencies.swarm.clone(),
            manifests: self.manifests.clone(),
            guard: self.dependencies.guard.clone(),
            status: self.dependencies.status.clone(),
            fence,
        };
        let task = tokio::spawn(activate.run(target.clone(), receiver));
        let target = target.clone();
        let transfer = Transfer {
            target,
            task,
            roster,
        };
        self.transfers
            .insert(transfer.target.model.clone(), transfer);
    }

    /// Takes note that a wanted version serves, and keeps of its chunks what others may come for.
    fn settle(&mut self, target: &Target, loaded: &Loaded) {
        if self.manifests.conflicts(target) {
            self.dependencies
                .status
                .mark_refused(target, manifests::CONFLICT);
            return;
        }
        let Some(manifest) = self.manifests.get(&target.manifest) else {
            self.dependencies.status.mark_serving(target, None);
            self.read_manifest(target);
            return;
        };
        if manifest.digest != loaded.digest {
            let finding = "engine serves other weights under this version's name";
            self.dependencies.status.mark_refused(target, finding);
            return;
        }
        self.manifests.pin(target);
        self.dependencies
            .status
            .mark_serving(target, Some(manifest.length()));
        let swarm = &self.dependencies.swarm;
        swarm.set_serving(&target.manifest, true);
        if self.dependencies.status.serving_duration(target) > target::STAGING_RETENTION {
            self.trim(target, &manifest);
        }
    }

    /// Reads the manifest of a version that served before this process started, so that the next rounds can check it.
    fn read_manifest(&mut self, target: &Target) {
        if self.must_wait(&target.model) {
            return;
        }
        self.retry
            .insert(target.model.clone(), Instant::now() + RETRY_WAIT);
        let manifests = self.manifests.clone();
        let target = target.clone();
        tokio::spawn(async move {
            if let Err(error) = manifests.read(&target).await {
                log::warn!(model = target.model.as_str(), error:% = error; "manifest not read");
            }
        });
    }

    fn must_wait(&self, model: &str) -> bool {
        let retry = self.retry.get(model);
        retry.is_some_and(|at| *at > Instant::now())
    }

    /// Drops the chunks that other members keep, once per roster.
    fn trim(&mut self, target: &Target, manifest: &Manifest) {
        let done = self.trimmed.get(&target.manifest);
        if done.is_some_and(|roster| **roster == *target.roster) {
            return;
        }
        let swarm = &self.dependencies.swarm;
        let pieces = staging::pieces(manifest);
        let instance = &swarm.options().instance;
        let region = &swarm.options().region;
        let kept = target::retained_pieces(&target.roster, region, instance, &pieces, KEEPERS);
        swarm.keep(&target.manifest, |piece| kept.contains(&piece));
        let roster = Arc::clone(&target.roster);
        self.trimmed.insert(target.manifest, roster);
    }

    /// Unloads versions that are no longer wanted, once the wanted one serves and their last call has ended.
    async fn unload(&mut self, targets: &[Target], state: &State, fence: u64) {
        let mut unused = BTreeMap::new();
        for loaded in &state.loaded {
            let name = (loaded.model.clone(), loaded.version.clone());
            if !self.is_spare(targets, state, loaded) {
                continue;
            }
            let since = self.unused.get(&name).copied().unwrap_or_else(Instant::now);
            if since.elapsed() >= UNLOAD_GRACE
                && self.dependencies.guard.is_current().await == Some(true)
            {
                self.drop_version(loaded, fence).await;
            }
            unused.insert(name, since);
        }
        self.unused = unused;
    }

    fn is_spare(&self, targets: &[Target], state: &State, loaded: &Loaded) -> bool {
        if targets.iter().any(|target| target.matches(loaded))
            || self.dependencies.usage.running(&loaded.version) > 0
        {
            return false;
        }
        let wanted = targets.iter().find(|target| target.model == loaded.model);
        wanted.is_none_or(|target| state.loaded.iter().any(|other| target.matches(other)))
    }

    async fn drop_version(&self, loaded: &Loaded, fence: u64) {
        let order = Order {
            fence,
            model: loaded.model.clone(),
            version: loaded.version.clone(),
            digest: loaded.digest,
            length: 0,
        };
        match self.dependencies.engine.unload(&order).await {
            Ok(()) => {
                log::info!(model = loaded.model.as_str(), version = loaded.version.as_str(); "version unloaded");
            }
            Err(error) => {
                log::warn!(model = loaded.model.as_str(), error:% = error; "version not unloaded");
            }
        }
    }
}

/// Returns the digest of whole weights from their staged chunks; `None` when one is missing.
fn whole_digest<S>(swarm: &Swarm<S>, chunks: &[Digest]) -> Option<Digest> {
    let mut hasher = blake3::Hasher::new();
    for digest in chunks {
        hasher.update(&swarm.chunk(digest)?);
    }
    Some(Digest::from(*hasher.finalize().as_bytes()))
}
