//! Activation of one version: reads its manifest, pulls its chunks, stages them at the engine and sends one load order.
//!
//! The load order takes effect for the whole version or not at all.

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
    manifests::{CONFLICT, Manifests},
    status::Stage,
    target::Target,
    whole_digest,
};
use crate::incarnation::Incarnation;

/// Largest number of parts of a streamed version that wait for the engine.
const MAX_WAITING_PARTS: usize = 2;

/// Checks whether this process still controls its instance.
pub trait Guard: Clone + Send + Sync + 'static {
    /// Returns whether no newer process has taken over the instance; `None` if that can't be determined now.
    fn is_current(&self) -> impl Future<Output = Option<bool>> + Send;
}

/// Guard for an engine that checks fencing tokens itself; it always passes.
#[derive(Debug, Clone, Copy, Default)]
pub struct EngineGuard;

/// Guard for an engine that ignores fencing tokens: reads the token of the instance's last incarnation.
#[derive(Debug, Clone)]
pub struct StoreGuard<K> {
    /// Client of the key-value service.
    pub store: K,
    /// Name of the instance.
    pub instance: String,
    /// Fencing token of this process.
    pub incarnation: Incarnation,
}

/// Guard selected by the settings.
#[derive(Debug, Clone)]
pub enum AnyGuard<K> {
    /// The engine checks the token of each order.
    Engine(EngineGuard),
    /// The key-value service is read before each order.
    Store(StoreGuard<K>),
}

impl Guard for EngineGuard {
    async fn is_current(&self) -> Option<bool> {
        Some(true)
    }
}

impl<K: Store> Guard for StoreGuard<K> {
    async fn is_current(&self) -> Option<bool> {
        let token = self.incarnation.get()?;
        let key = incarnation::key(&self.instance);
        let entry = self.store.get(&key).await.ok()??;
        let own = format!("{} ", self.instance);
        // A value that another instance wrote under this key says nothing about this instance.
        let has_newer = entry.revision > token && entry.value.starts_with(own.as_bytes());
        Some(!has_newer)
    }
}

impl<K: Store> Guard for AnyGuard<K> {
    async fn is_current(&self) -> Option<bool> {
        match self {
            Self::Engine(guard) => guard.is_current().await,
            Self::Store(guard) => guard.is_current().await,
        }
    }
}

/// Error of an activation.
#[derive(Debug, Snafu)]
enum Failure {
    /// The version can't be activated until the operator acts.
    #[snafu(display("{finding}"))]
    Refused { finding: String },
    /// Another attempt may succeed.
    #[snafu(display("{cause}"))]
    Failed { cause: String },
    /// A newer process controls the engine.
    #[snafu(display("a newer process controls the engine"))]
    Superseded,
}

/// Activation of one version.
pub(super) struct Activation<E, S, G> {
    pub(super) engine: E,
    pub(super) swarm: Swarm<S>,
    pub(super) manifests: Manifests<S>,
    pub(super) guard: G,
    pub(super) status: Status,
    pub(super) fence: u64,
}

impl<E: Engine, S: Source, G: Guard> Activation<E, S, G> {
    /// Activates `target`; returns whether it found that a newer process controls the engine.
    pub(super) async fn run(self, target: Target, roster: watch::Receiver<Arc<Roster>>) -> bool {
        let result = self.try_run(&target, roster).await;
        match result {
            Ok(()) => {
                log::info!(model = target.model.as_str(), version = target.version.as_str(); "engine serves version");
            }
            Err(Failure::Refused { finding }) => self.status.mark_refused(&target, &finding),
            Err(Failure::Failed { cause }) => {
                log::warn!(model = target.model.as_str(), version = target.version.as_str(), cause = cause.as_str(); "failed to load version");
                self.status.set_stage(&target, Stage::Failed(cause));
            }
            Err(Failure::Superseded) => return true,
        }
        false
    }

    async fn try_run(
        &self,
        target: &Target,
        roster: watch::Receiver<Arc<Roster>>,
    ) -> Result<(), Failure> {
        if self.manifests.conflicts(target) {
            return RefusedSnafu { finding: CONFLICT }.fail();
        }
        self.status.set_stage(target, Stage::Manifest);
        let manifest = self.manifests.read(target).await.map_err(retryable)?;
        self.status.set_stage(target, Stage::Pulling);
        self.status.set_total_bytes(target, manifest.length());
        let order = Order {
            fence: self.fence,
            model: target.model.clone(),
            version: target.version.clone(),
            digest: manifest.digest,
            length: manifest.length(),
        };
        let wanted = swarm::Target {
            id: target.manifest,
            manifest: Arc::clone(&manifest),
            roster,
        };
        if manifest.length() > self.swarm.options().staging_bytes {
            self.stream_chunks(wanted, &manifest, &order).await?;
        } else {
            self.swarm.pull(wanted, None).await.map_err(retryable)?;
            self.verify_digest(&manifest).await?;
            self.status.set_stage(target, Stage::Loading);
            self.stage_chunks(&manifest, &order).await?;
        }
        self.status.set_stage(target, Stage::Loading);
        self.load(&order).await
    }

    /// Compares the digest of the staged weights with the manifest, on a thread for blocking work.
    async fn verify_digest(&self, manifest: &Arc<Manifest>) -> Result<(), Failure> {
        let chunks: Vec<Digest> = manifest.chunks.iter().map(|chunk| chunk.digest).collect();
        let swarm = self.swarm.clone();
        let digest = tokio::task::spawn_blocking(move || whole_digest(&swarm, &chunks)).await;
        match digest.map_err(retryable)? {
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

    /// Sends the staged chunks to the engine in order.
    async fn stage_chunks(&self, manifest: &Manifest, order: &Order) -> Result<(), Failure> {
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
                .map_err(engine_failure)?;
            offset += u64::from(chunk.length);
        }
        Ok(())
    }

    /// Pulls a version that is larger than the staging budget and sends each chunk to the engine when it arrives.
    async fn stream_chunks(
        &self,
        wanted: swarm::Target,
        manifest: &Manifest,
        order: &Order,
    ) -> Result<(), Failure> {
        let (parts, mut received) = mpsc::channel::<Part>(MAX_WAITING_PARTS);
        let chunk_offsets = chunk_offsets(manifest);
        let pull = self.swarm.pull(wanted, Some(parts));
        let stage_parts = async {
            while let Some(part) = received.recv().await {
                for offset in chunk_offsets.get(&part.digest).into_iter().flatten() {
                    let bytes = part.bytes.clone();
                    self.engine
                        .stage(order, *offset, bytes)
                        .await
                        .map_err(streaming_failure)?;
                }
            }
            Ok(())
        };
        tokio::pin!(pull);
        tokio::pin!(stage_parts);
        tokio::select! {
            pulled = &mut pull => {
                pulled.map_err(retryable)?;
                stage_parts.await
            }
            staged = &mut stage_parts => staged,
        }
    }

    async fn load(&self, order: &Order) -> Result<(), Failure> {
        if self.guard.is_current().await == Some(false) {
            return SupersededSnafu.fail();
        }
        self.engine.load(order).await.map_err(engine_failure)
    }
}

fn chunk_offsets(manifest: &Manifest) -> BTreeMap<Digest, Vec<u64>> {
    let mut chunk_offsets: BTreeMap<Digest, Vec<u64>> = BTreeMap::new();
    let mut offset = 0;
    for chunk in &manifest.chunks {
        chunk_offsets.entry(chunk.digest).or_default().push(offset);
        offset += u64::from(chunk.length);
    }
    chunk_offsets
}

fn retryable(cause: impl ToString) -> Failure {
    Failure::Failed {
        cause: cause.to_string(),
    }
}

fn engine_failure(error: Error) -> Failure {
    match error {
        Error::Fenced { .. } => Failure::Superseded,
        error => retryable(error),
    }
}

/// Converts an error of the engine while a version is streamed; statuses 405, 413 and 501 mean that it takes no parts.
fn streaming_failure(error: Error) -> Failure {
    match error {
        Error::Refused {
            status: 405 | 413 | 501,
            ..
        } => Failure::Refused {
            finding: "version is larger than weights.staging_bytes and the engine takes no parts"
                .to_owned(),
        },
        error => engine_failure(error),
    }
}
