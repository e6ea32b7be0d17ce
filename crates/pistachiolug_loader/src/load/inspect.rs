//! Inspection of what a predecessor of the agent has left at the engine.

use std::{collections::BTreeMap, rc::Rc, time::Duration};

use pistachiolug_platform::kv::Store;
use sha2::{Digest as _, Sha256};
use tokio::time::sleep;

use super::{Loader, RETRY_DELAY, failed};
use crate::{
    engine::{Engine, Error, Origin},
    manifest::{Digest, Manifest},
    predecessor::Evidence,
    row::Decoder,
    staged::StagedVersion,
    state::Target,
    versions::FIRST_VERSION,
};

/// Time after the agent's start after which a load is given up in favour of a newer version if the manifests that could show
/// that it was whole can't be read.
const MAX_PROOF_TIME: Duration = Duration::from_secs(5);

/// Number of versions before the newest one that a predecessor may have staged without this agent having heard of them.
const MAX_OLDER_VERSIONS: usize = 3;

/// Manifests that tell what is staged.
#[derive(Debug, Default)]
struct Manifests {
    by_version: BTreeMap<u64, Manifest>,
    /// Whether one of them could not be read now, but may be later.
    is_incomplete: bool,
}

impl<E: Engine, O: Origin, S: Store, D: Decoder> Loader<E, O, S, D> {
    /// Finds out from the staged pieces which order of a predecessor the engine may still accept.
    ///
    /// # Errors
    /// [`Error`] if the pieces or the manifests could not be read.
    pub(super) async fn inspect_stage(
        &self,
        target: &Target,
        held: Option<u64>,
    ) -> Result<(), Error> {
        let pieces = self.read_stage(target).await?;
        let manifests = self.read_manifests(target, held, None, &pieces).await;
        self.inherit_order(target, held, &pieces, &manifests);
        if self.transfer.state.orders.borrow().must_inspect() {
            return Err(failed("the manifests of the staged pieces were not read"));
        }
        Ok(())
    }

    /// Checks a load that the engine had begun before the agent's start. It is given up unless the staged pieces show that it
    /// was whole.
    ///
    /// # Arguments
    /// `target` is the version that the engine holds. Writes are paused.
    ///
    /// # Errors
    /// [`Error`] if that can't be told yet.
    pub(super) async fn check_inherited_load(&self, target: &Target) -> Result<(), Error> {
        let state = &self.transfer.state;
        let held = target.version;
        let pieces = self.read_stage(target).await?;
        let manifests = self
            .read_manifests(target, Some(held), Some(held), &pieces)
            .await;
        let evidence = Evidence {
            pieces: &pieces,
            manifests: &manifests.by_version,
        };
        let is_whole = evidence.proves(held);
        let has_newer = state
            .newest_target()
            .is_some_and(|newest| newest.version > held);
        if !is_whole && manifests.is_incomplete && !(has_newer && state.now() >= MAX_PROOF_TIME) {
            return Err(failed("the manifests of the loaded pieces were not read"));
        }
        log::info!(model = target.model.as_str(), version = held, is_whole, counts:? = evidence.counts(); "load of a predecessor checked");
        if is_whole {
            state.orders.borrow_mut().confirm();
            self.inherit_order(target, Some(held), &pieces, &manifests);
        } else if self.unload(target).await? {
            state.metrics.rejected_loads.inc();
        } else {
            sleep(RETRY_DELAY).await;
        }
        state.wake.notify_one();
        Ok(())
    }

    fn inherit_order(
        &self,
        target: &Target,
        held: Option<u64>,
        pieces: &[Option<Digest>],
        manifests: &Manifests,
    ) {
        let state = &self.transfer.state;
        let evidence = Evidence {
            pieces,
            manifests: &manifests.by_version,
        };
        if manifests.is_incomplete && !evidence.determines_order() {
            return;
        }
        let order = evidence.pending_order(held);
        let staged = pieces.iter().flatten().count();
        log::info!(model = target.model.as_str(), held:?, staged, counts:? = evidence.counts(), order:?; "staged pieces inspected");
        if evidence.is_empty() {
            state.stage.forget_predecessor();
        }
        state.orders.borrow_mut().inherit(order, state.now());
        for (version, manifest) in &manifests.by_version {
            self.record_staged(target, *version, manifest, pieces);
        }
    }

    /// Creates the record of a version's staged pieces if there is none.
    fn record_staged(
        &self,
        target: &Target,
        version: u64,
        manifest: &Manifest,
        pieces: &[Option<Digest>],
    ) {
        let state = &self.transfer.state;
        if state.staged(&target.model, version).is_some() {
            return;
        }
        let target = Target {
            version,
            ..target.clone()
        };
        let staged = StagedVersion::new(&target, manifest.clone(), state.clock());
        for (index, piece) in pieces.iter().enumerate() {
            if piece.is_some() && piece.as_ref() == staged.manifest.digests.get(index) {
                state.metrics.pieces.get("staged").inc();
                staged.set_staged(index, true);
            }
        }
        state.shelf.add(Rc::new(staged));
    }

    /// Returns the digests of the staged pieces by index.
    async fn read_stage(&self, target: &Target) -> Result<Vec<Option<Digest>>, Error> {
        let engine = self.transfer.engine.for_verification();
        let mut pieces = Vec::with_capacity(target.pieces);
        for index in 0..target.pieces {
            let bytes = engine.read_staged(&target.model, index).await?;
            pieces.push(bytes.map(|bytes| Sha256::digest(&bytes).into()));
        }
        Ok(pieces)
    }

    /// Reads manifests until they suffice to judge the staged pieces, or none is left that may help.
    ///
    /// # Arguments
    /// `unproven` is the version of which it is to be shown that it was loaded from whole pieces; `None` if none is.
    async fn read_manifests(
        &self,
        target: &Target,
        held: Option<u64>,
        unproven: Option<u64>,
        pieces: &[Option<Digest>],
    ) -> Manifests {
        let state = &self.transfer.state;
        let newest = state.newest_target();
        let newest = newest.map_or(target.version, |newest| newest.version);
        let announced = state.announced_versions(&target.model);
        let mut manifests = Manifests::default();
        let named = [newest].into_iter().chain(held);
        let named: Vec<u64> = named.chain(announced.into_iter().rev()).collect();
        // Versions may have been announced that this agent has not heard of.
        let older = (held.unwrap_or_default() + 1..newest).rev();
        let others = older.take(MAX_OLDER_VERSIONS).chain([newest + 1]);
        for version in named.iter().copied().chain(others) {
            let evidence = Evidence {
                pieces,
                manifests: &manifests.by_version,
            };
            if evidence.determines_order()
                && unproven.is_none_or(|version| evidence.proves(version))
            {
                break;
            }
            if version < FIRST_VERSION || manifests.by_version.contains_key(&version) {
                continue;
            }
            let target = Target {
                version,
                ..target.clone()
            };
            match self.transfer.read_manifest(&target).await {
                Ok(manifest) => {
                    manifests.by_version.insert(version, manifest);
                }
                Err(Error::Gone) => {}
                Err(error) => {
                    log::info!(model = target.model.as_str(), version, error:%; "manifest of staged pieces not read");
                    manifests.is_incomplete |= named.contains(&version);
                }
            }
        }
        manifests
    }
}
