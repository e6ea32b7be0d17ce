//! Cache of manifests, which are read once and checked.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use pistachiolug_platform::source::Source;
use pistachiolug_weights::manifest::{self, Manifest};
use pistachiolug_wire::digest::Digest;
use snafu::{OptionExt, ResultExt, Whatever, ensure_whatever};

use super::target::Target;

/// Finding for a version that was served with another manifest.
pub const CONFLICT: &str =
    "version has served with another manifest; give the new weights a new version name";

/// Cache of the manifests read so far; clones share it.
#[derive(Debug, Clone)]
pub struct Manifests<S> {
    sources: Vec<S>,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    known: BTreeMap<Digest, Arc<Manifest>>,
    /// Digest of the manifest with which a version was first served, by model and version.
    pinned: BTreeMap<(String, String), Digest>,
}

impl<S: Source> Manifests<S> {
    /// Creates an empty cache; a manifest is read from the first of `sources` that returns it intact.
    pub fn new(sources: Vec<S>) -> Self {
        Self {
            sources,
            state: Arc::default(),
        }
    }

    /// Returns a manifest that has been read; `None` otherwise.
    pub fn get(&self, digest: &Digest) -> Option<Arc<Manifest>> {
        self.state().known.get(digest).cloned()
    }

    /// Records with which manifest a version is first served; later calls for the same version have no effect, even
    /// with another manifest.
    pub fn pin(&self, target: &Target) {
        let name = (target.model.clone(), target.version.clone());
        self.state().pinned.entry(name).or_insert(target.manifest);
    }

    /// Returns whether a version was served here with another manifest.
    pub fn conflicts(&self, target: &Target) -> bool {
        let name = (target.model.clone(), target.version.clone());
        let state = self.state();
        let pinned = state.pinned.get(&name);
        pinned.is_some_and(|digest| *digest != target.manifest)
    }

    /// Returns the manifest of a version; reads and checks it if it is not in the cache.
    ///
    /// # Errors
    /// Returns the reason why there is no valid manifest, as a finding for the operator.
    pub async fn read(&self, target: &Target) -> Result<Arc<Manifest>, Whatever> {
        if let Some(known) = self.get(&target.manifest) {
            return Ok(known);
        }
        let manifest = self.fetch(target).await?;
        let is_expected = manifest.model == target.model && manifest.version == target.version;
        ensure_whatever!(
            is_expected,
            "manifest is for {} {}",
            manifest.model,
            manifest.version
        );
        let manifest = Arc::new(manifest);
        let mut state = self.state();
        state.known.insert(target.manifest, Arc::clone(&manifest));
        Ok(manifest)
    }

    async fn fetch(&self, target: &Target) -> Result<Manifest, Whatever> {
        let name = manifest::object(&target.manifest);
        let mut last = None;
        for source in &self.sources {
            match source.read(&name).await {
                Ok(text) if Digest::of(&text) == target.manifest => {
                    return serde_json::from_slice(&text).whatever_context("manifest");
                }
                Ok(_) => last = Some("manifest is corrupted".to_owned()),
                Err(error) => last = Some(format!("manifest: {error}")),
            }
        }
        let reason = last.whatever_context("no source of manifests")?;
        snafu::whatever!("{reason}")
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
