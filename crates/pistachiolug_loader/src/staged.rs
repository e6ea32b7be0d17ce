//! Pieces of several versions that an agent holds: staged at its engine or kept in its memory.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeMap,
    rc::Rc,
    time::Duration,
};

use bytes::Bytes;
use pistachiolug_kernel::clock::{Clock, System};
use pistachiolug_weights::bitmap::Bitmap;
use tokio::sync::{Mutex, MutexGuard};

use crate::{manifest::Manifest, state::Target};

/// Largest number of versions of which records are kept.
const MAX_VERSIONS: usize = 4;

/// Record of the pieces of one version that an agent holds.
#[derive(Debug)]
pub struct StagedVersion {
    /// Name of the model.
    pub model: String,
    /// Version number.
    pub version: u64,
    /// Digests of the pieces.
    pub manifest: Manifest,
    /// Verified pieces that are staged at the engine; has the manifest's length.
    staged: RefCell<Bitmap>,
    /// Verified pieces in memory, because the engine still stages another version.
    buffered: RefCell<BTreeMap<usize, Bytes>>,
    /// Pieces that are being read from the origin.
    reading: RefCell<Bitmap>,
    /// Pieces that were read from the origin. They also stay in memory, since other agents hold no copy yet if the staged
    /// one is lost.
    from_origin: RefCell<Bitmap>,
    /// Number of pieces that neither the agent nor one of its neighbours holds.
    unavailable: Cell<usize>,
    /// When the last piece was gained, as time since the agent's start.
    last_gained_at: Cell<Duration>,
    /// Held by the task that fetches the version.
    fetch: Mutex<()>,
    clock: System,
}

impl StagedVersion {
    /// Creates the record of a version without pieces.
    pub fn new(target: &Target, manifest: Manifest, clock: System) -> Self {
        let pieces = manifest.digests.len();
        Self {
            model: target.model.clone(),
            version: target.version,
            staged: RefCell::new(Bitmap::new(pieces)),
            buffered: RefCell::default(),
            reading: RefCell::new(Bitmap::new(pieces)),
            from_origin: RefCell::new(Bitmap::new(pieces)),
            unavailable: Cell::new(pieces),
            manifest,
            last_gained_at: Cell::new(clock.now()),
            fetch: Mutex::new(()),
            clock,
        }
    }

    /// Waits until no other task fetches the version, and keeps others from it until the guard is dropped.
    pub async fn fetch_turn(&self) -> MutexGuard<'_, ()> {
        self.fetch.lock().await
    }

    /// Returns whether a piece is staged at the engine.
    pub fn is_staged(&self, index: usize) -> bool {
        self.staged.borrow().contains(index as u32)
    }

    /// Records whether a piece is staged at the engine and verified.
    pub fn set_staged(&self, index: usize, is_staged: bool) {
        if is_staged {
            self.staged.borrow_mut().insert(index as u32);
            self.last_gained_at.set(self.clock.now());
        } else {
            self.staged.borrow_mut().remove(index as u32);
        }
    }

    /// Keeps a verified piece in memory.
    pub fn buffer(&self, index: usize, bytes: Bytes) {
        self.buffered.borrow_mut().insert(index, bytes);
        self.last_gained_at.set(self.clock.now());
    }

    /// Returns a piece that is kept in memory.
    pub fn buffered(&self, index: usize) -> Option<Bytes> {
        self.buffered.borrow().get(&index).cloned()
    }

    /// Returns the size of the pieces that are kept in memory, in bytes.
    pub fn buffered_bytes(&self) -> usize {
        self.buffered.borrow().values().map(Bytes::len).sum()
    }

    /// Returns the first piece that is kept in memory and not staged.
    pub fn first_unstaged(&self) -> Option<(usize, Bytes)> {
        let buffered = self.buffered.borrow();
        let mut unstaged = buffered
            .iter()
            .filter(|(index, _)| !self.is_staged(**index));
        unstaged
            .next()
            .map(|(index, bytes)| (*index, bytes.clone()))
    }

    /// Drops a piece from memory once it is staged, unless it was read from the origin.
    pub fn drop_buffered(&self, index: usize) {
        if !self.from_origin.borrow().contains(index as u32) {
            self.buffered.borrow_mut().remove(&index);
        }
    }

    /// Keeps a verified piece that was read from the origin in memory.
    pub fn keep_from_origin(&self, index: usize, bytes: Bytes) {
        self.from_origin.borrow_mut().insert(index as u32);
        self.buffer(index, bytes);
    }

    /// Records whether a piece is being read from the origin.
    pub fn set_reading(&self, index: u32, is_reading: bool) {
        let mut reading = self.reading.borrow_mut();
        if is_reading {
            reading.insert(index);
        } else {
            reading.remove(index);
        }
    }

    /// Returns the pieces that are being read from the origin.
    pub fn reading(&self) -> Bitmap {
        self.reading.borrow().clone()
    }

    /// Returns whether all pieces are staged at the engine.
    pub fn is_whole(&self) -> bool {
        let staged = self.staged.borrow();
        staged.count() == staged.length()
    }

    /// Returns whether the agent holds a piece.
    pub fn is_held(&self, index: usize) -> bool {
        self.is_staged(index) || self.buffered.borrow().contains_key(&index)
    }

    /// Returns the pieces that the agent holds.
    pub fn held(&self) -> Bitmap {
        let mut held = self.staged.borrow().clone();
        for index in self.buffered.borrow().keys() {
            held.insert(*index as u32);
        }
        held
    }

    /// Returns when the last piece was gained, as time since the agent's start.
    pub fn last_gained_at(&self) -> Duration {
        self.last_gained_at.get()
    }

    /// Returns the indices of the pieces that the agent does not hold.
    pub fn missing(&self) -> Vec<usize> {
        let pieces = 0..self.manifest.digests.len();
        pieces.filter(|index| !self.is_held(*index)).collect()
    }

    /// Records the number of pieces that neither the agent nor one of its neighbours holds.
    pub fn set_unavailable(&self, pieces: usize) {
        self.unavailable.set(pieces);
    }

    /// Returns the number of pieces that neither the agent nor one of its neighbours was known to hold.
    pub fn unavailable(&self) -> usize {
        self.unavailable.get().min(self.missing().len())
    }
}

/// Records of the versions of which an agent holds pieces.
///
/// An engine stages one piece per index, whichever version it belongs to.
#[derive(Debug, Default)]
pub struct Shelf {
    /// In ascending order of the versions; at most [`MAX_VERSIONS`].
    versions: RefCell<Vec<Rc<StagedVersion>>>,
}

impl Shelf {
    /// Returns the record of a version.
    pub fn find(&self, model: &str, version: u64) -> Option<Rc<StagedVersion>> {
        let versions = self.versions.borrow();
        let mut versions = versions.iter();
        let found = versions.find(|staged| staged.model == model && staged.version == version);
        found.map(Rc::clone)
    }

    /// Adds a record in place of one of the same version. The record of the oldest version is dropped if there are too
    /// many.
    pub fn add(&self, staged: Rc<StagedVersion>) {
        let mut versions = self.versions.borrow_mut();
        versions.retain(|known| known.model != staged.model || known.version != staged.version);
        versions.push(staged);
        versions.sort_by_key(|staged| staged.version);
        if versions.len() > MAX_VERSIONS {
            versions.remove(0);
        }
    }

    /// Drops the record of a version.
    pub fn remove(&self, model: &str, version: u64) {
        let is_removed = |known: &StagedVersion| known.model == model && known.version == version;
        self.versions
            .borrow_mut()
            .retain(|known| !is_removed(known));
    }

    /// Drops pieces in memory that no engine waits for any more: those of versions up to `loaded`.
    pub fn drop_buffered_up_to(&self, loaded: u64) {
        for staged in self.versions.borrow().iter() {
            if staged.version <= loaded {
                staged.buffered.borrow_mut().clear();
            }
        }
    }

    /// Records that a piece of `staged` is about to replace the one that the engine stages at the same index.
    pub fn replace_piece(&self, staged: &StagedVersion, index: usize) {
        let digest = staged.manifest.digests.get(index);
        for other in self.versions.borrow().iter() {
            if other.model == staged.model && other.manifest.digests.get(index) != digest {
                other.set_staged(index, false);
            }
        }
    }
}
