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
pub mod usage;
pub mod want;

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
    manifest::Manifest, planner::KEEPERS, roster::Roster, staging, swarm::Swarm,
};
use pistachiolug_wire::digest::Digest;
use tokio::{sync::watch, task::JoinHandle, time::sleep};

use self::{
    activate::{Activate, Guard},
    manifests::Manifests,
    metrics::Metrics,
    status::Status,
    usage::Usage,
    want::Want,
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
pub struct Parts<E, S, G> {
    /// Model engine.
    pub engine: E,
    /// Member of the spreads.
    pub swarm: Swarm<S>,
    /// Sources of manifests.
    pub sources: Vec<S>,
    /// Lists in force.
    pub force: ActiveLists,
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
    want: Want,
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
    parts: Parts<E, S, G>,
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
pub async fn run<E: Engine, S: Source, G: Guard>(parts: Parts<E, S, G>) {
    let manifests = Manifests::new(parts.sources.clone());
    let mut loader = Loader {
        parts,
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
        self.parts.metrics.update(&self.parts.swarm);
        let lists = self.parts.force.current();
        let snapshot = self.parts.view.now();
        let instance = &self.parts.swarm.options().instance;
        let wants = want::wants(&lists, &snapshot, &self.parts.service, instance);
        self.cancel(&wants);
        self.parts.status.retain(&wants);
        self.end_transfers().await;
        let Some(fence) = self.parts.incarnation.get() else {
            return;
        };
        let Ok(state) = self.parts.engine.state().await else {
            return;
        };
        self.superseded |= state.fence > fence;
        if self.superseded {
            self.parts.status.supersede();
            return;
        }
        for want in &wants {
            self.align(want, &state, fence);
        }
        let listed = lists.revision() > 0 && !snapshot.instances.is_empty();
        if listed {
            self.unload(&wants, &state, fence).await;
        }
    }

    /// Cancels the transfers of superseded versions and hands changed rosters to the others.
    fn cancel(&mut self, wants: &[Want]) {
        self.transfers.retain(|_, transfer| {
            let same = wants.iter().find(|want| want.is_same(&transfer.want));
            if let Some(want) = same {
                transfer.roster.send_if_modified(|roster| {
                    let changed = **roster != *want.roster;
                    if changed {
                        *roster = Arc::clone(&want.roster);
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

    fn align(&mut self, want: &Want, state: &State, fence: u64) {
        let loaded = state.loaded.iter().find(|loaded| want.names(loaded));
        if let Some(loaded) = loaded {
            self.settle(want, loaded);
            return;
        }
        self.parts.swarm.set_serving(&want.manifest, false);
        self.trimmed.remove(&want.manifest);
        if self.must_wait(&want.model) || self.transfers.contains_key(&want.model) {
            return;
        }
        let (roster, receiver) = watch::channel(Arc::clone(&want.roster));
        let activate = Activate {
            engine: self.parts.engine.clone(),
            swarm: self.parts.swarm.clone(),
            manifests: self.manifests.clone(),
            guard: self.parts.guard.clone(),
            status: self.parts.status.clone(),
            fence,
        };
        let task = tokio::spawn(activate.run(want.clone(), receiver));
        let want = want.clone();
        let transfer = Transfer { want, task, roster };
        self.transfers.insert(transfer.want.model.clone(), transfer);
    }

    /// Takes note that a wanted version serves, and keeps of its chunks what others may come for.
    fn settle(&mut self, want: &Want, loaded: &Loaded) {
        if self.manifests.contradicts(want) {
            self.parts.status.refuse(want, manifests::CONTRADICTION);
            return;
        }
        let Some(manifest) = self.manifests.known(&want.manifest) else {
            self.parts.status.serve(want, None);
            self.read_manifest(want);
            return;
        };
        if manifest.digest != loaded.digest {
            let finding = "engine serves other weights under this version's name";
            self.parts.status.refuse(want, finding);
            return;
        }
        self.manifests.pin(want);
        self.parts.status.serve(want, Some(manifest.length()));
        let swarm = &self.parts.swarm;
        swarm.set_serving(&want.manifest, true);
        if self.parts.status.serving_for(want) > want::LINGER {
            self.trim(want, &manifest);
        }
    }

    /// Reads the manifest of a version that served before this process started, so that the next rounds can check it.
    fn read_manifest(&mut self, want: &Want) {
        if self.must_wait(&want.model) {
            return;
        }
        self.retry
            .insert(want.model.clone(), Instant::now() + RETRY_WAIT);
        let manifests = self.manifests.clone();
        let want = want.clone();
        tokio::spawn(async move {
            if let Err(error) = manifests.read(&want).await {
                log::warn!(model = want.model.as_str(), error:% = error; "manifest not read");
            }
        });
    }

    fn must_wait(&self, model: &str) -> bool {
        let retry = self.retry.get(model);
        retry.is_some_and(|at| *at > Instant::now())
    }

    /// Drops the chunks that other members keep, once per roster.
    fn trim(&mut self, want: &Want, manifest: &Manifest) {
        let done = self.trimmed.get(&want.manifest);
        if done.is_some_and(|roster| **roster == *want.roster) {
            return;
        }
        let swarm = &self.parts.swarm;
        let pieces = staging::pieces(manifest);
        let instance = &swarm.options().instance;
        let region = &swarm.options().region;
        let kept = want::kept(&want.roster, region, instance, &pieces, KEEPERS);
        swarm.keep(&want.manifest, |piece| kept.contains(&piece));
        let roster = Arc::clone(&want.roster);
        self.trimmed.insert(want.manifest, roster);
    }

    /// Unloads versions that are no longer wanted, once the wanted one serves and their last call has ended.
    async fn unload(&mut self, wants: &[Want], state: &State, fence: u64) {
        let mut unused = BTreeMap::new();
        for loaded in &state.loaded {
            let name = (loaded.model.clone(), loaded.version.clone());
            if !self.is_spare(wants, state, loaded) {
                continue;
            }
            let since = self.unused.get(&name).copied().unwrap_or_else(Instant::now);
            if since.elapsed() >= UNLOAD_GRACE && self.parts.guard.holds().await == Some(true) {
                self.drop_version(loaded, fence).await;
            }
            unused.insert(name, since);
        }
        self.unused = unused;
    }

    fn is_spare(&self, wants: &[Want], state: &State, loaded: &Loaded) -> bool {
        if wants.iter().any(|want| want.names(loaded))
            || self.parts.usage.running(&loaded.version) > 0
        {
            return false;
        }
        let wanted = wants.iter().find(|want| want.model == loaded.model);
        wanted.is_none_or(|want| state.loaded.iter().any(|other| want.names(other)))
    }

    async fn drop_version(&self, loaded: &Loaded, fence: u64) {
        let order = Order {
            fence,
            model: loaded.model.clone(),
            version: loaded.version.clone(),
            digest: loaded.digest,
            length: 0,
        };
        match self.parts.engine.unload(&order).await {
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
