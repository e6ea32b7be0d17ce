//! Activation of one version: manifest, pull, staging at the engine, and one load order; all or nothing.

use std::{collections::BTreeMap, future::Future, sync::Arc};

use pistachiolug_ledger::incarnation;
use pistachiolug_platform::{
    engine::{Engine, Error, Order},
    kv::Store,
    source::Source,
};
use pistachiolug_weights::{
    manifest::Manifest,
    roster::Roster,
    swarm::{self, Part, Swarm},
};
use pistachiolug_wire::digest::Digest;
use snafu::Snafu;
use tokio::sync::{mpsc, watch};

use super::{
    Status,
    manifests::{CONTRADICTION, Manifests},
    status::Stage,
    want::Want,
    whole_digest,
};
use crate::incarnation::Incarnation;

/// Parts that may wait for the engine while a large version streams through.
const PARTS: usize = 2;

/// Tells whether this process still speaks for its instance.
pub trait Guard: Clone + Send + Sync + 'static {
    /// Asks; `None` when nobody can tell now.
    fn holds(&self) -> impl Future<Output = Option<bool>> + Send;
}

/// Guard of an engine that checks fencing numbers itself.
#[derive(Debug, Clone, Copy, Default)]
pub struct Fenced;

/// Guard of an engine that ignores fencing numbers: reads the number of the instance's last incarnation.
#[derive(Debug, Clone)]
pub struct Asked<K> {
    /// Key-value service.
    pub store: K,
    /// Name of the instance.
    pub instance: String,
    /// Fencing number of this process.
    pub incarnation: Incarnation,
}

/// Guard chosen by the settings.
#[derive(Debug, Clone)]
pub enum Either<K> {
    /// The engine checks.
    Fenced(Fenced),
    /// The key-value service is asked.
    Asked(Asked<K>),
}

impl Guard for Fenced {
    async fn holds(&self) -> Option<bool> {
        Some(true)
    }
}

impl<K: Store> Guard for Asked<K> {
    async fn holds(&self) -> Option<bool> {
        let number = self.incarnation.get()?;
        let key = incarnation::key(&self.instance);
        let entry = self.store.get(&key).await.ok()??;
        let own = format!("{} ", self.instance);
        // Another instance with the same key says nothing of this one.
        let newer = entry.revision > number && entry.value.starts_with(own.as_bytes());
        Some(!newer)
    }
}

impl<K: Store> Guard for Either<K> {
    async fn holds(&self) -> Option<bool> {
        match self {
            Self::Fenced(guard) => guard.holds().await,
            Self::Asked(guard) => guard.holds().await,
        }
    }
}

/// Reports an activation that failed.
#[derive(Debug, Snafu)]
enum Failure {
    /// The operator has to act.
    #[snafu(display("{finding}"))]
    Refused { finding: String },
    /// Another try may succeed.
    #[snafu(display("{cause}"))]
    Failed { cause: String },
    /// A newer process orders the engine.
    #[snafu(display("a newer process orders the engine"))]
    Superseded,
}

/// Activates one version.
pub(super) struct Activate<E, S, G> {
    pub(super) engine: E,
    pub(super) swarm: Swarm<S>,
    pub(super) manifests: Manifests<S>,
    pub(super) guard: G,
    pub(super) status: Status,
    pub(super) fence: u64,
}

impl<E: Engine, S: Source, G: Guard> Activate<E, S, G> {
    /// Activates `want` and returns whether a newer process was found to order the engine.
    pub(super) async fn run(self, want: Want, roster: watch::Receiver<Arc<Roster>>) -> bool {
        let ended = self.try_run(&want, roster).await;
        match ended {
            Ok(()) => {
                log::info!(model = want.model.as_str(), version = want.version.as_str(); "version serves");
            }
            Err(Failure::Refused { finding }) => self.status.refuse(&want, &finding),
            Err(Failure::Failed { cause }) => {
                log::warn!(model = want.model.as_str(), version = want.version.as_str(), cause = cause.as_str(); "version not loaded");
                self.status.set(&want, Stage::Failed(cause));
            }
            Err(Failure::Superseded) => return true,
        }
        false
    }

    async fn try_run(
        &self,
        want: &Want,
        roster: watch::Receiver<Arc<Roster>>,
    ) -> Result<(), Failure> {
        if self.manifests.contradicts(want) {
            return RefusedSnafu {
                finding: CONTRADICTION,
            }
            .fail();
        }
        self.status.set(want, Stage::Manifest);
        let manifest = self.manifests.read(want).await.map_err(failed)?;
        self.status.set(want, Stage::Pulling);
        self.status.set_total(want, manifest.length());
        let order = Order {
            fence: self.fence,
            model: want.model.clone(),
            version: want.version.clone(),
            digest: manifest.digest,
            length: manifest.length(),
        };
        let pulled = swarm::Target {
            id: want.manifest,
            manifest: Arc::clone(&manifest),
            roster,
        };
        if manifest.length() > self.swarm.options().staging_bytes {
            self.stream(pulled, &manifest, &order).await?;
        } else {
            self.swarm.pull(pulled, None).await.map_err(failed)?;
            self.check_whole(&manifest).await?;
            self.status.set(want, Stage::Loading);
            self.stage(&manifest, &order).await?;
        }
        self.status.set(want, Stage::Loading);
        self.load(&order).await
    }

    /// Checks the whole against the manifest, off the reactor's thread.
    async fn check_whole(&self, manifest: &Arc<Manifest>) -> Result<(), Failure> {
        let chunks: Vec<Digest> = manifest.chunks.iter().map(|chunk| chunk.digest).collect();
        let swarm = self.swarm.clone();
        let digest = tokio::task::spawn_blocking(move || whole_digest(&swarm, &chunks)).await;
        match digest.map_err(failed)? {
            Some(digest) if digest == manifest.digest => Ok(()),
            Some(_) => RefusedSnafu {
                finding: "manifest's digest is not that of its chunks",
            }
            .fail(),
            None => FailedSnafu {
                cause: "a staged chunk is gone",
            }
            .fail(),
        }
    }

    /// Hands the staged chunks over in order.
    async fn stage(&self, manifest: &Manifest, order: &Order) -> Result<(), Failure> {
        let mut offset = 0;
        for chunk in &manifest.chunks {
            let Some(bytes) = self.swarm.chunk(&chunk.digest) else {
                return FailedSnafu {
                    cause: "a staged chunk is gone",
                }
                .fail();
            };
            self.engine
                .stage(order, offset, bytes)
                .await
                .map_err(refusal)?;
            offset += u64::from(chunk.length);
        }
        Ok(())
    }

    /// Pulls a version that is larger than the staging budget and hands each chunk over as it arrives.
    async fn stream(
        &self,
        want: swarm::Target,
        manifest: &Manifest,
        order: &Order,
    ) -> Result<(), Failure> {
        let (parts, mut received) = mpsc::channel::<Part>(PARTS);
        let offsets = offsets(manifest);
        let pull = self.swarm.pull(want, Some(parts));
        let hand_over = async {
            while let Some(part) = received.recv().await {
                for offset in offsets.get(&part.digest).into_iter().flatten() {
                    let bytes = part.bytes.clone();
                    self.engine
                        .stage(order, *offset, bytes)
                        .await
                        .map_err(streaming_refusal)?;
                }
            }
            Ok(())
        };
        tokio::pin!(pull);
        tokio::pin!(hand_over);
        tokio::select! {
            pulled = &mut pull => {
                pulled.map_err(failed)?;
                hand_over.await
            }
            handed = &mut hand_over => handed,
        }
    }

    async fn load(&self, order: &Order) -> Result<(), Failure> {
        if self.guard.holds().await == Some(false) {
            return SupersededSnafu.fail();
        }
        self.engine.load(order).await.map_err(refusal)
    }
}

fn offsets(manifest: &Manifest) -> BTreeMap<Digest, Vec<u64>> {
    let mut offsets: BTreeMap<Digest, Vec<u64>> = BTreeMap::new();
    let mut offset = 0;
    for chunk in &manifest.chunks {
        offsets.entry(chunk.digest).or_default().push(offset);
        offset += u64::from(chunk.length);
    }
    offsets
}

fn failed(cause: impl ToString) -> Failure {
    Failure::Failed {
        cause: cause.to_string(),
    }
}

fn refusal(error: Error) -> Failure {
    match error {
        Error::Fenced { .. } => Failure::Superseded,
        error => failed(error),
    }
}

/// Statuses by which an engine says that it takes no parts: 405, 413 and 501.
fn streaming_refusal(error: Error) -> Failure {
    match error {
        Error::Refused {
            status: 405 | 413 | 501,
            ..
        } => Failure::Refused {
            finding: "version is larger than weights.staging_bytes and the engine takes no parts"
                .to_owned(),
        },
        error => refusal(error),
    }
}
