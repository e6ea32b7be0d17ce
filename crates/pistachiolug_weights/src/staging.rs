//! In-memory buffer of verified chunks, limited by a budget.

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

/// Time window of a version's upload allowance.
const ALLOWANCE_WINDOW: Duration = Duration::from_secs(600);

/// Failure to add a chunk because the budget is used up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Snafu)]
#[snafu(display("staging budget of {budget} bytes is used up"))]
pub struct Full {
    /// Budget in bytes.
    budget: u64,
}

/// Buffer of the staged chunks of all versions.
#[derive(Debug)]
pub struct Buffer {
    budget: u64,
    /// Total size of `chunks` in bytes; at most `budget`.
    used: u64,
    chunks: FxHashMap<Digest, StagedChunk>,
    /// Versions by the digest of their manifest.
    versions: BTreeMap<Digest, Version>,
    /// Number of calls of `open` so far.
    opened: u64,
}

#[derive(Debug)]
struct StagedChunk {
    bytes: Bytes,
    /// Number of versions whose `held` includes the chunk; at least one.
    reference_count: u32,
}

#[derive(Debug)]
struct Version {
    pieces: Arc<Vec<Chunk>>,
    /// Index of each piece by its digest.
    index: FxHashMap<Digest, u32>,
    held: Bitmap,
    /// Held pieces in the order of arrival; exactly those of `held`.
    arrivals: Vec<u32>,
    /// Changes whenever pieces are dropped, which invalidates positions in `arrivals` that were sent to neighbours.
    epoch: u64,
    open_sequence: u64,
    /// Whether a transfer is filling the version, which protects it from eviction.
    active: bool,
    serving: bool,
    /// Time of the last arrival, or of the start of the transfer.
    last_progress: Duration,
    uploaded: u64,
    allowance_start: Duration,
}

impl Buffer {
    /// Creates an empty buffer with a budget in bytes.
    pub fn new(budget: u64) -> Self {
        Self {
            budget,
            used: 0,
            chunks: FxHashMap::default(),
            versions: BTreeMap::new(),
            opened: 0,
        }
    }

    /// Opens a version for a transfer and returns the pieces that it already holds, including those shared with other
    /// versions.
    pub fn open(&mut self, id: Digest, manifest: &Manifest, now: Duration) -> Bitmap {
        self.opened += 1;
        let opened = self.opened;
        let version = self
            .versions
            .entry(id)
            .or_insert_with(|| Version::new(manifest, opened));
        version.active = true;
        version.open_sequence = opened;
        version.last_progress = now;
        for (index, piece) in version.pieces.iter().enumerate() {
            if let Some(held) = self.chunks.get_mut(&piece.digest)
                && version.held.insert(index as u32)
            {
                version.arrivals.push(index as u32);
                held.reference_count += 1;
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

    /// Records whether the engine serves a version.
    pub fn set_serving(&mut self, id: &Digest, serving: bool) {
        if let Some(version) = self.versions.get_mut(id) {
            version.serving = serving;
        }
    }

    /// Drops a version and the chunks that no other version holds.
    pub fn remove(&mut self, id: &Digest) {
        self.retain_pieces(id, |_| false);
        self.versions.remove(id);
    }

    /// Drops the pieces of a version for which `keep` returns false.
    pub fn retain_pieces(&mut self, id: &Digest, keep: impl Fn(u32) -> bool) {
        let Some(version) = self.versions.get_mut(id) else {
            return;
        };
        let dropped: Vec<u32> = version.held.iter().filter(|piece| !keep(*piece)).collect();
        if dropped.is_empty() {
            return;
        }
        version.epoch = version.epoch.wrapping_add(1);
        version.arrivals.retain(|piece| keep(*piece));
        for piece in dropped {
            version.held.remove(piece);
            let digest = version.pieces[piece as usize].digest;
            self.used -= release_chunk(&mut self.chunks, &digest);
        }
    }

    /// Adds a verified piece. Versions without a transfer are evicted to make room, the least recently opened first.
    ///
    /// With `evict_own`, earlier pieces of the same version are evicted as well.
    ///
    /// # Errors
    /// [`Full`] if there is not enough room.
    pub fn insert(
        &mut self,
        id: &Digest,
        piece: u32,
        bytes: Bytes,
        evict_own: bool,
        now: Duration,
    ) -> Result<(), Full> {
        self.make_room(id, bytes.len() as u64, evict_own)?;
        let Some(version) = self.versions.get_mut(id) else {
            return Ok(());
        };
        version.last_progress = now;
        if !version.held.insert(piece) {
            return Ok(());
        }
        version.arrivals.push(piece);
        let digest = version.pieces[piece as usize].digest;
        let length = bytes.len() as u64;
        let entry = self.chunks.entry(digest);
        let held = entry.or_insert_with(|| {
            self.used += length;
            StagedChunk {
                bytes,
                reference_count: 0,
            }
        });
        held.reference_count += 1;
        Ok(())
    }

    /// Returns the content of a chunk; `None` if it is not staged.
    pub fn chunk(&self, digest: &Digest) -> Option<Bytes> {
        self.chunks.get(digest).map(|held| held.bytes.clone())
    }

    /// Returns the pieces that a version holds; `None` if the version is unknown.
    pub fn held(&self, id: &Digest) -> Option<&Bitmap> {
        self.versions.get(id).map(|version| &version.held)
    }

    /// Charges the upload of a piece to the version's allowance of `copies` per window. Returns whether the upload is
    /// allowed, which it always is for an unknown version or a chunk of another version.
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
        if now >= version.allowance_start + ALLOWANCE_WINDOW {
            version.allowance_start = now;
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

    /// Returns the time since the version's transfer last gained a piece; `None` without an active transfer.
    pub fn idle_time(&self, id: &Digest, now: Duration) -> Option<Duration> {
        let version = self.versions.get(id).filter(|version| version.active)?;
        Some(now.saturating_sub(version.last_progress))
    }

    /// Answers a neighbour's query with the pieces that arrived since its last one.
    pub fn answer(&self, request: &HaveRequest) -> HaveResponse {
        let Some(version) = self.versions.get(&request.manifest) else {
            return HaveResponse::default();
        };
        let mut reply = HaveResponse {
            epoch: version.epoch,
            sequence: version.arrivals.len() as u32,
            serving: version.serving,
            whole: None,
            added: Vec::new(),
        };
        let known = version.arrivals.get(request.since as usize..);
        match known.filter(|_| request.epoch == version.epoch) {
            Some(new) if new.len() * 4 <= version.held.memory_bytes() => reply.added = new.to_vec(),
            _ => reply.whole = Some(version.held.clone()),
        }
        reply
    }

    /// Returns the size of the staged chunks in bytes.
    pub fn used(&self) -> u64 {
        self.used
    }

    /// Returns the budget in bytes.
    pub fn budget(&self) -> u64 {
        self.budget
    }

    fn make_room(&mut self, id: &Digest, bytes: u64, evict_own: bool) -> Result<(), Full> {
        while self.used + bytes > self.budget {
            let closed = self.versions.iter().filter(|(_, version)| !version.active);
            let oldest = closed.min_by_key(|(_, version)| version.open_sequence);
            if let Some(oldest) = oldest.map(|(id, _)| *id) {
                self.remove(&oldest);
                continue;
            }
            let own = self.versions.get(id).filter(|_| evict_own);
            let Some(first) = own.and_then(|version| version.arrivals.first().copied()) else {
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
            arrivals: Vec::new(),
            epoch: rand::random(),
            open_sequence: opened,
            active: true,
            serving: false,
            last_progress: Duration::ZERO,
            uploaded: 0,
            allowance_start: Duration::ZERO,
        }
    }
}

/// Returns the distinct chunks of a manifest in the order of their first use.
pub fn distinct_chunks(manifest: &Manifest) -> Vec<Chunk> {
    let mut seen = FxHashSet::default();
    let chunks = manifest.chunks.iter().copied();
    chunks.filter(|chunk| seen.insert(chunk.digest)).collect()
}

/// Decrements the reference count of a chunk and returns the number of bytes freed.
fn release_chunk(chunks: &mut FxHashMap<Digest, StagedChunk>, digest: &Digest) -> u64 {
    let Some(held) = chunks.get_mut(digest) else {
        return 0;
    };
    held.reference_count -= 1;
    if held.reference_count > 0 {
        return 0;
    }
    let bytes = held.bytes.len() as u64;
    chunks.remove(digest);
    bytes
}
