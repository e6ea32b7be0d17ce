//! Reconciliation of the versions that the engine serves with the lists.
//!
//! Each round reads the state that the engine reports, so a restart of the engine or of this process needs no special
//! case: a missing version is pulled, from other members first, and the engine is ordered to load it again.

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

use pistachiolug_lists::active::ActiveLists;
use pistachiolug_membership::view::View;
use pistachiolug_platform::{
    engine::{Engine, Loaded, Order, State},
    source::Source,
};
use pistachiolug_weights::{
    manifest::Manifest, planner::REPLICAS_PER_PIECE, roster::Roster, staging, swarm::Swarm,
};
use pistachiolug_wire::digest::Digest;
use tokio::{sync::watch, task::JoinHandle, time::sleep};

use self::{
    activate::{Activation, Guard},
    manifests::Manifests,
    metrics::Metrics,
    status::Status,
    target::Target,
    usage::Usage,
};
use crate::incarnation::Incarnation;

/// Interval between two comparisons of the wanted and the loaded versions.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(500);

/// Delay before a failed transfer, load order or manifest read is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Time that a version must be neither wanted nor in use before it is unloaded.
const UNLOAD_GRACE: Duration = Duration::from_secs(2);

/// Clients and shared state that the reconciliation uses.
#[derive(Debug, Clone)]
pub struct Dependencies<E, S, G> {
    /// Client of the model engine.
    pub engine: E,
    /// Exchange of weights with other members.
    pub swarm: Swarm<S>,
    /// Sources of manifests, in the order in which they are tried.
    pub sources: Vec<S>,
    /// Active lists of customers, plans, models and services.
    pub active_lists: ActiveLists,
    /// Current instance list.
    pub view: View,
    /// Service of the backend server.
    pub service: String,
    /// Fencing token of this process.
    pub incarnation: Incarnation,
    /// Checks whether this process still controls its instance.
    pub guard: G,
    /// Numbers of running calls by version.
    pub usage: Usage,
    /// Progress of the wanted versions, for the state dump.
    pub status: Status,
    /// Metrics of the exchange of weights.
    pub metrics: Metrics,
}

/// Activation of one version in progress; dropping it aborts the task.
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

/// Reconciles the versions of one engine with the lists.
struct Reconciler<E, S, G> {
    dependencies: Dependencies<E, S, G>,
    manifests: Manifests<S>,
    /// Transfers in progress, by model.
    transfers: BTreeMap<String, Transfer>,
    /// Times before which a model is not retried after a failure, by model.
    retry: BTreeMap<String, Instant>,
    /// Models and versions that are neither wanted nor in use, with the time since when.
    unused: BTreeMap<(String, String), Instant>,
    /// Rosters for which the chunks of a version have been trimmed, by the digest of its manifest.
    trimmed: BTreeMap<Digest, Arc<Roster>>,
    /// Whether a newer process controls the engine; this one then gives no more orders.
    is_superseded: bool,
}

/// Reconciles the versions of the engine with the lists until the process stops.
pub async fn run<E: Engine, S: Source, G: Guard>(dependencies: Dependencies<E, S, G>) {
    let manifests = Manifests::new(dependencies.sources.clone());
    let mut reconciler = Reconciler {
        dependencies,
        manifests,
        transfers: BTreeMap::new(),
        retry: BTreeMap::new(),
        unused: BTreeMap::new(),
        trimmed: BTreeMap::new(),
        is_superseded: false,
    };
    loop {
        reconciler.reconcile().await;
        sleep(RECONCILE_INTERVAL).await;
    }
}

impl<E: Engine, S: Source, G: Guard> Reconciler<E, S, G> {
    async fn reconcile(&mut self) {
        self.dependencies.metrics.update(&self.dependencies.swarm);
        let lists = self.dependencies.active_lists.current();
        let snapshot = self.dependencies.view.snapshot();
        let instance = &self.dependencies.swarm.options().instance;
        let targets = target::targets(&lists, &snapshot, &self.dependencies.service, instance);
        self.cancel_outdated(&targets);
        self.dependencies.status.retain(&targets);
        self.collect_ended_transfers().await;
        let Some(fence) = self.dependencies.incarnation.get() else {
            return;
        };
        let Ok(state) = self.dependencies.engine.state().await else {
            return;
        };
        self.is_superseded |= state.fence > fence;
        if self.is_superseded {
            self.dependencies.status.mark_superseded();
            return;
        }
        for target in &targets {
            self.reconcile_version(target, &state, fence);
        }
        let has_lists = lists.revision() > 0 && !snapshot.instances.is_empty();
        if has_lists {
            self.unload(&targets, &state, fence).await;
        }
    }

    /// Cancels the transfers of versions that are no longer wanted and passes changed rosters to the others.
    fn cancel_outdated(&mut self, targets: &[Target]) {
        self.transfers.retain(|_, transfer| {
            let current = targets
                .iter()
                .find(|target| target.is_same(&transfer.target));
            if let Some(target) = current {
                transfer.roster.send_if_modified(|roster| {
                    let changed = **roster != *target.roster;
                    if changed {
                        *roster = Arc::clone(&target.roster);
                    }
                    changed
                });
            }
            current.is_some()
        });
    }

    async fn collect_ended_transfers(&mut self) {
        let ended = self
            .transfers
            .iter()
            .filter(|(_, transfer)| transfer.task.is_finished());
        let ended: Vec<String> = ended.map(|(model, _)| model.clone()).collect();
        for model in ended {
            let Some(mut transfer) = self.transfers.remove(&model) else {
                continue;
            };
            let is_superseded = (&mut transfer.task).await.unwrap_or(false);
            self.is_superseded |= is_superseded;
            self.retry.insert(model, Instant::now() + RETRY_DELAY);
        }
    }

    fn reconcile_version(&mut self, target: &Target, state: &State, fence: u64) {
        let loaded = state.loaded.iter().find(|loaded| target.matches(loaded));
        if let Some(loaded) = loaded {
            self.record_serving(target, loaded);
            return;
        }
        self.dependencies.swarm.set_serving(&target.manifest, false);
        self.trimmed.remove(&target.manifest);
        if self.is_backing_off(&target.model) || self.transfers.contains_key(&target.model) {
            return;
        }
        let (roster, receiver) = watch::channel(Arc::clone(&target.roster));
        let activation = Activation {
            engine: self.dependencies.engine.clone(),
            swarm: self.dependencies.swarm.clone(),
            manifests: self.manifests.clone(),
            guard: self.dependencies.guard.clone(),
            status: self.dependencies.status.clone(),
            fence,
        };
        let task = tokio::spawn(activation.run(target.clone(), receiver));
        let target = target.clone();
        let transfer = Transfer {
            target,
            task,
            roster,
        };
        self.transfers
            .insert(transfer.target.model.clone(), transfer);
    }

    /// Checks a wanted version that the engine has loaded and records that it serves.
    ///
    /// All its chunks stay staged for a while, since other members may still pull them.
    fn record_serving(&mut self, target: &Target, loaded: &Loaded) {
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

    /// Reads the manifest of a version that was loaded before this process started, so that later rounds can check it.
    fn read_manifest(&mut self, target: &Target) {
        if self.is_backing_off(&target.model) {
            return;
        }
        self.retry
            .insert(target.model.clone(), Instant::now() + RETRY_DELAY);
        let manifests = self.manifests.clone();
        let target = target.clone();
        tokio::spawn(async move {
            if let Err(error) = manifests.read(&target).await {
                log::warn!(model = target.model.as_str(), error:% = error; "failed to read a manifest");
            }
        });
    }

    fn is_backing_off(&self, model: &str) -> bool {
        let retry = self.retry.get(model);
        retry.is_some_and(|at| *at > Instant::now())
    }

    /// Drops the chunks that other members keep, once per roster.
    fn trim(&mut self, target: &Target, manifest: &Manifest) {
        let trimmed_for = self.trimmed.get(&target.manifest);
        if trimmed_for.is_some_and(|roster| **roster == *target.roster) {
            return;
        }
        let swarm = &self.dependencies.swarm;
        let pieces = staging::distinct_chunks(manifest);
        let instance = &swarm.options().instance;
        let region = &swarm.options().region;
        let retained = target::retained_pieces(
            &target.roster,
            region,
            instance,
            &pieces,
            REPLICAS_PER_PIECE,
        );
        swarm.retain_pieces(&target.manifest, |piece| retained.contains(&piece));
        let roster = Arc::clone(&target.roster);
        self.trimmed.insert(target.manifest, roster);
    }

    /// Unloads versions that are no longer wanted, once the wanted version of the model serves and their calls ended.
    async fn unload(&mut self, targets: &[Target], state: &State, fence: u64) {
        let mut unused = BTreeMap::new();
        for loaded in &state.loaded {
            let name = (loaded.model.clone(), loaded.version.clone());
            if !self.can_unload(targets, state, loaded) {
                continue;
            }
            let since = self.unused.get(&name).copied().unwrap_or_else(Instant::now);
            if since.elapsed() >= UNLOAD_GRACE
                && self.dependencies.guard.is_current().await == Some(true)
            {
                self.unload_version(loaded, fence).await;
            }
            unused.insert(name, since);
        }
        self.unused = unused;
    }

    fn can_unload(&self, targets: &[Target], state: &State, loaded: &Loaded) -> bool {
        if targets.iter().any(|target| target.matches(loaded))
            || self.dependencies.usage.running(&loaded.version) > 0
        {
            return false;
        }
        let wanted = targets.iter().find(|target| target.model == loaded.model);
        wanted.is_none_or(|target| state.loaded.iter().any(|other| target.matches(other)))
    }

    async fn unload_version(&self, loaded: &Loaded, fence: u64) {
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
                log::warn!(model = loaded.model.as_str(), error:% = error; "failed to unload a version");
            }
        }
    }
}

/// Returns the digest of the whole weights, computed from their staged chunks; `None` if a chunk is missing.
fn whole_digest<S>(swarm: &Swarm<S>, chunks: &[Digest]) -> Option<Digest> {
    let mut hasher = blake3::Hasher::new();
    for digest in chunks {
        hasher.update(&swarm.chunk(digest)?);
    }
    Some(Digest::from(*hasher.finalize().as_bytes()))
}
