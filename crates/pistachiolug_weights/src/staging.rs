//! Verified chunks in memory, within a budget of their own.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use pistachiolug_wire::digest::Digest;
use rustc_hash::{FxHashMap, FxHashSet};
use snafu::Snafu;

use crate::{
    bitmap::Bitmap,
    exchange::{HaveRequest, HaveResponse},
    manifest::{Chunk, Manifest},
};

/// Time after which a version's upload allowance starts anew.
const ALLOWANCE_WINDOW: Duration = Duration::from_secs(600);

/// Reports that the budget has no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("staging budget of {budget} bytes is used up"))]
pub struct Full {
    /// Budget in bytes.
    budget: u64,
}

/// Staged chunks of all versions.
#[derive(Debug)]
pub struct Buffer {
    budget: u64,
    /// Bytes of `chunks`; at most `budget`.
    used: u64,
    chunks: FxHashMap<Digest, Held>,
    /// Versions by the digest of their manifest.
    versions: BTreeMap<Digest, Version>,
    /// Number of versions opened so far.
    opened: u64,
}

#[derive(Debug)]
struct Held {
    bytes: Bytes,
    /// Versions that list the chunk as held; at least one.
    users: u32,
}

#[derive(Debug)]
struct Version {
    pieces: Arc<Vec<Chunk>>,
    /// Index of each piece.
    index: FxHashMap<Digest, u32>,
    held: Bitmap,
    /// Held pieces in the order of arrival; exactly those of `held`.
    log: Vec<u32>,
    /// Changes when pieces are dropped, so that `log` positions told before lose their meaning.
    epoch: u64,
    opened: u64,
    /// Whether a transfer fills the version, so that it is not evicted.
    active: bool,
    serving: bool,
    /// Time of the last arrival, or of the start of the transfer.
    progress: Duration,
    uploaded: u64,
    window: Duration,
}

impl Buffer {
    /// Creates an empty buffer.
    pub fn new(budget: u64) -> Self {
        Self {
            budget,
            used: 0,
            chunks: FxHashMap::default(),
            versions: BTreeMap::new(),
            opened: 0,
        }
    }

    /// Opens a version for a transfer and returns the pieces it holds already, those shared with other versions included.
    pub fn open(&mut self, id: Digest, manifest: &Manifest, now: Duration) -> Bitmap {
        self.opened += 1;
        let opened = self.opened;
        let version = self
            .versions
            .entry(id)
            .or_insert_with(|| Version::new(manifest, opened));
        version.active = true;
        version.opened = opened;
        version.progress = now;
        for (index, piece) in version.pieces.iter().enumerate() {
            if let Some(held) = self.chunks.get_mut(&piece.digest)
                && version.held.insert(index as u32)
            {
                version.log.push(index as u32);
                held.users += 1;
            }
        }
        version.held.clone()
    }

    /// Ends a transfer; the version's chunks stay until room is needed.
    pub fn close(&mut self, id: &Digest) {
        if let Some(version) = self.versions.get_mut(id) {
            version.active = false;
        }
    }

    /// Says whether the engine serves a version.
    pub fn set_serving(&mut self, id: &Digest, serving: bool) {
        if let Some(version) = self.versions.get_mut(id) {
            version.serving = serving;
        }
    }

    /// Drops a version and the chunks that no other version lists.
    pub fn remove(&mut self, id: &Digest) {
        self.retain_pieces(id, |_| false);
        self.versions.remove(id);
    }

    /// Drops the pieces of a version that `keep` does not want.
    pub fn retain_pieces(&mut self, id: &Digest, keep: impl Fn(u32) -> bool) {
        let Some(version) = self.versions.get_mut(id) else {
            return;
        };
        let dropped: Vec<u32> = version.held.iter().filter(|piece| !keep(*piece)).collect();
        if dropped.is_empty() {
            return;
        }
        version.epoch = version.epoch.wrapping_add(1);
        version.log.retain(|piece| keep(*piece));
        for piece in dropped {
            version.held.remove(piece);
            let digest = version.pieces[piece as usize].digest;
            self.used -= release(&mut self.chunks, &digest);
        }
    }

    /// Adds a verified piece; versions without a transfer make room, the oldest first.
    ///
    /// With `window`, earlier pieces of the same version make room as well.
    ///
    /// # Errors
    /// [`Full`] when there is no room.
    pub fn insert(
        &mut self,
        id: &Digest,
        piece: u32,
        bytes: Bytes,
        window: bool,
        now: Duration,
    ) -> Result<(), Full> {
        self.make_room(id, bytes.len() as u64, window)?;
        let Some(version) = self.versions.get_mut(id) else {
            return Ok(());
        };
        version.progress = now;
        if !version.held.insert(piece) {
            return Ok(());
        }
        version.log.push(piece);
        let digest = version.pieces[piece as usize].digest;
        let length = bytes.len() as u64;
        let entry = self.chunks.entry(digest);
        let held = entry.or_insert_with(|| {
            self.used += length;
            Held { bytes, users: 0 }
        });
        held.users += 1;
        Ok(())
    }

    /// Returns a chunk.
    pub fn chunk(&self, digest: &Digest) -> Option<Bytes> {
        self.chunks.get(digest).map(|held| held.bytes.clone())
    }

    /// Returns the pieces of a version that are held.
    pub fn held(&self, id: &Digest) -> Option<&Bitmap> {
        self.versions.get(id).map(|version| &version.held)
    }

    /// Counts the upload of a piece of a version against its allowance of `copies`, and tells whether it may be made.
    pub fn charge_upload(
        &mut self,
        id: &Digest,
        digest: &Digest,
        copies: f64,
        now: Duration,
    ) -> bool {
        let Some(version) = self.versions.get_mut(id) else {
            return true;
        };
        let Some(piece) = version.index.get(digest) else {
            return true;
        };
        let bytes = u64::from(version.pieces[*piece as usize].length);
        if now >= version.window + ALLOWANCE_WINDOW {
            version.window = now;
            version.uploaded = 0;
        }
        let total: u64 = version
            .pieces
            .iter()
            .map(|piece| u64::from(piece.length))
            .sum();
        if (version.uploaded + bytes) as f64 > total as f64 * copies {
            return false;
        }
        version.uploaded += bytes;
        true
    }

    /// Returns the time since the version's transfer last gained a piece; `None` without a transfer.
    pub fn idle_time(&self, id: &Digest, now: Duration) -> Option<Duration> {
        let version = self.versions.get(id).filter(|version| version.active)?;
        Some(now.saturating_sub(version.progress))
    }

    /// Answers what has arrived since a neighbour's last question.
    pub fn answer(&self, ask: &HaveRequest) -> HaveResponse {
        let Some(version) = self.versions.get(&ask.manifest) else {
            return HaveResponse::default();
        };
        let mut answer = HaveResponse {
            epoch: version.epoch,
            sequence: version.log.len() as u32,
            serving: version.serving,
            whole: None,
            added: Vec::new(),
        };
        let known = version.log.get(ask.since as usize..);
        match known.filter(|_| ask.epoch == version.epoch) {
            Some(news) if news.len() * 4 <= version.held.memory_bytes() => {
                answer.added = news.to_vec()
            }
            _ => answer.whole = Some(version.held.clone()),
        }
        answer
    }

    /// Returns the bytes in use.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Returns the budget in bytes.
    pub fn budget(&self) -> u64 {
        self.budget
    }

    fn make_room(&mut self, id: &Digest, bytes: u64, window: bool) -> Result<(), Full> {
        while self.used + bytes > self.budget {
            let closed = self.versions.iter().filter(|(_, version)| !version.active);
            let oldest = closed.min_by_key(|(_, version)| version.opened);
            if let Some(oldest) = oldest.map(|(id, _)| *id) {
                self.remove(&oldest);
                continue;
            }
            let own = self.versions.get(id).filter(|_| window);
            let Some(first) = own.and_then(|version| version.log.first().copied()) else {
                return FullSnafu {
                    budget: self.budget,
                }
                .fail();
            };
            self.retain_pieces(id, |piece| piece != first);
        }
        Ok(())
    }
}

impl Version {
    fn new(manifest: &Manifest, opened: u64) -> Self {
        let pieces = Arc::new(distinct_chunks(manifest));
        let index = pieces.iter().enumerate();
        let index = index
            .map(|(index, piece)| (piece.digest, index as u32))
            .collect();
        let held = Bitmap::new(pieces.len());
        Self {
            pieces,
            index,
            held,
            log: Vec::new(),
            epoch: rand::random(),
            opened,
            active: true,
            serving: false,
            progress: Duration::ZERO,
            uploaded: 0,
            window: Duration::ZERO,
        }
    }
}

/// Returns the distinct chunks of a manifest in the order of their first use.
pub fn distinct_chunks(manifest: &Manifest) -> Vec<Chunk> {
    let mut seen = FxHashSet::default();
    let chunks = manifest.chunks.iter().copied();
    chunks.filter(|chunk| seen.insert(chunk.digest)).collect()
}

/// Takes one user away from a chunk and returns the bytes that this frees.
fn release(chunks: &mut FxHashMap<Digest, Held>, digest: &Digest) -> u64 {
    let Some(held) = chunks.get_mut(digest) else {
        return 0;
    };
    held.users -= 1;
    if held.users > 0 {
        return 0;
    }
    let bytes = held.bytes.len() as u64;
    chunks.remove(digest);
    bytes
}
