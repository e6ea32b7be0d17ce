//! Manifests, read once and checked.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use pistachiolug_platform::source::Source;
use pistachiolug_weights::manifest::{self, Manifest};
use pistachiolug_wire::digest::Digest;
use snafu::{OptionExt, ResultExt, Whatever, ensure_whatever};

use super::want::Want;

/// Finding about a version whose name stands for two manifests.
pub const CONTRADICTION: &str =
    "version has served with another manifest; give the new weights a new version name";

/// Manifests read so far; clones share them.
#[derive(Debug, Clone)]
pub struct Manifests<S> {
    sources: Vec<S>,
    state: Arc<Mutex<State>>,
}

#[derive(Debug, Default)]
struct State {
    known: BTreeMap<Digest, Arc<Manifest>>,
    /// Manifest that each served version of a model has, by both names.
    pinned: BTreeMap<(String, String), Digest>,
}

impl<S: Source> Manifests<S> {
    /// Creates an empty set that is read from `sources`, the first that answers.
    pub fn new(sources: Vec<S>) -> Self {
        Self {
            sources,
            state: Arc::default(),
        }
    }

    /// Returns a manifest that has been read.
    pub fn known(&self, digest: &Digest) -> Option<Arc<Manifest>> {
        self.state().known.get(digest).cloned()
    }

    /// Notes that a version has served with its manifest.
    pub fn pin(&self, want: &Want) {
        let name = (want.model.clone(), want.version.clone());
        self.state().pinned.entry(name).or_insert(want.manifest);
    }

    /// Tells whether a version has served here with another manifest.
    pub fn contradicts(&self, want: &Want) -> bool {
        let name = (want.model.clone(), want.version.clone());
        let state = self.state();
        let pinned = state.pinned.get(&name);
        pinned.is_some_and(|digest| *digest != want.manifest)
    }

    /// Reads and checks the manifest of a version.
    ///
    /// # Errors
    /// Returns a finding for the operator.
    pub async fn read(&self, want: &Want) -> Result<Arc<Manifest>, Whatever> {
        if let Some(known) = self.known(&want.manifest) {
            return Ok(known);
        }
        let manifest = self.fetch(want).await?;
        let named = manifest.model == want.model && manifest.version == want.version;
        ensure_whatever!(
            named,
            "manifest is for {} {}",
            manifest.model,
            manifest.version
        );
        let manifest = Arc::new(manifest);
        let mut state = self.state();
        state.known.insert(want.manifest, Arc::clone(&manifest));
        Ok(manifest)
    }

    async fn fetch(&self, want: &Want) -> Result<Manifest, Whatever> {
        let name = manifest::object(&want.manifest);
        let mut last = None;
        for source in &self.sources {
            match source.read(&name).await {
                Ok(text) if Digest::of(&text) == want.manifest => {
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
