//! Page: the content of one shard of the ledger as stored in the key-value service.
//!
//! Does no I/O and takes the time as an argument.
//!
//! A page stores recent claims as rows. Older ones are reduced to marks, which only tell that a key is spent; marks are
//! sealed into segments, which are stored apart from the page.

use std::sync::Arc;

use pistachiolug_wire::{
    call::{Id, Response},
    codec,
};
use serde::{Deserialize, Serialize};

use crate::{
    claim::{Claim, Decision, Key},
    segment::{self, Mark, Reference, Segment},
    timestamp,
};

/// Maximum number of rows per page; above it, the oldest are reduced to marks.
pub const MAX_ROWS: usize = 256;

/// Number of rows left after a trim.
pub const ROWS_AFTER_TRIM: usize = 192;

/// Maximum size in bytes of a response body that is stored.
pub const MAX_RESPONSE_BYTES: usize = 2048;

/// Maximum total size in bytes of the response bodies stored per page; the oldest are dropped first.
pub const MAX_TOTAL_RESPONSE_BYTES: usize = 16 << 10;

/// Maximum number of segments per page for keys with a timestamp, and separately for keys without one.
pub const MAX_SEGMENTS: usize = 64;

/// Maximum time in milliseconds by which a key's timestamp may be ahead of the agent's clock.
///
/// A key with a later timestamp is treated as a key without one, so that it cannot raise the page's floor.
const MAX_AHEAD_MS: u64 = 3_600_000;

/// Name of a row: the first 16 bytes of its key's digest.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Name([u8; 16]);

/// State of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// The call has not finished, as far as reported.
    Open,
    /// The call finished with this response.
    Answered(Response),
    /// The call finished, and its response is not stored.
    Spent,
}

/// Row of one claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Name derived from the key.
    name: Name,
    /// First 16 bytes of the content's digest.
    content: [u8; 16],
    /// Id of the claiming call.
    call: Id,
    /// Fencing token of the claiming process.
    holder: u64,
    /// Instance name of the claiming process.
    instance: String,
    /// Timestamp of the key in milliseconds since 1970; `None` if it has none or one too far in the future.
    stamp_ms: Option<u64>,
    /// State of the call.
    end: End,
}

/// Mark of a spent key whose row was removed and which is not in a segment yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct UnsealedMark {
    mark: Mark,
    stamp_ms: Option<u64>,
}

/// Content of one shard of the ledger.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// All keys with an earlier timestamp are spent; in milliseconds since 1970, never decreases.
    floor_ms: u64,
    /// Claims in order of arrival.
    rows: Vec<Row>,
    /// Marks that are not in a segment yet.
    loose: Vec<UnsealedMark>,
    /// Segments in the order in which they were sealed.
    segments: Vec<Reference>,
}

/// Error that [`Page::claim`] returns for a new key without a timestamp if the shard cannot store any more such keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

/// New segment that the writer must store before the page that refers to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seal {
    /// Reference by which the page refers to the segment.
    pub reference: Reference,
    /// Content of the segment.
    pub segment: Segment,
}

/// Digest of a key, which determines its shard, row name and mark.
#[derive(Debug, Clone, Copy)]
pub struct Hash([u8; 32]);

impl Hash {
    /// Computes the digest of a key.
    pub fn of(key: &Key) -> Self {
        Self(*blake3::hash(&codec::encode(key)).as_bytes())
    }

    /// Returns the number of the key's shard, out of `shards`.
    pub fn shard(&self, shards: u8) -> u8 {
        self.0[31] % shards.max(1)
    }

    fn name(&self) -> Name {
        let mut name = [0; 16];
        name.copy_from_slice(&self.0[..16]);
        Name(name)
    }

    fn mark(&self) -> Mark {
        mark_of(&self.name())
    }
}

impl Page {
    /// Returns the segments that the page refers to.
    pub fn segments(&self) -> &[Reference] {
        &self.segments
    }

    /// Returns the number of rows.
    pub fn rows(&self) -> usize {
        self.rows.len()
    }

    /// Returns the floor in milliseconds since 1970; all keys with an earlier timestamp are spent.
    pub fn floor_ms(&self) -> u64 {
        self.floor_ms
    }

    /// Claims a call; `segments` must be all segments that the page refers to.
    ///
    /// # Errors
    /// Returns [`Full`] if the key has no timestamp and the shard cannot store any more such keys.
    pub fn claim(
        &mut self,
        claim: &Claim,
        segments: &[Arc<Segment>],
        now_ms: u64,
    ) -> Result<Decision, Full> {
        let hash = Hash::of(&claim.key);
        let name = hash.name();
        if let Some(row) = self.rows.iter().find(|row| row.name == name) {
            return Ok(row.decide(claim));
        }
        let stamp_ms = timestamp::parse(&claim.key.key);
        if stamp_ms.is_some_and(|stamp| stamp < self.floor_ms) || self.is_spent(&hash, segments) {
            return Ok(Decision::Spent);
        }
        let stamp_ms = stamp_ms.filter(|stamp| *stamp <= now_ms.saturating_add(MAX_AHEAD_MS));
        if stamp_ms.is_none() && self.segment_count(false) >= MAX_SEGMENTS {
            return Err(Full);
        }
        self.rows.push(Row::open(name, claim, stamp_ms));
        Ok(Decision::Granted)
    }

    /// Records the response of a claimed call, unless the claim's row has been removed.
    pub fn finish(&mut self, claim: &Claim, response: &Response) {
        let Some(row) = self.own_row(claim) else {
            return;
        };
        row.end = if response.body.len() <= MAX_RESPONSE_BYTES {
            End::Answered(response.clone())
        } else {
            End::Spent
        };
        self.drop_old_responses();
    }

    /// Removes a claim whose call has not started; does nothing if another claim holds the key or the call finished.
    pub fn release(&mut self, claim: &Claim) {
        let name = Hash::of(&claim.key).name();
        self.rows
            .retain(|row| row.name != name || !row.is_own(claim) || row.end != End::Open);
    }

    /// Reduces old rows to marks, seals marks into a segment and drops the oldest segments of keys with a timestamp.
    ///
    /// Returns a new segment, if any, that must be stored before the page. Keys without a timestamp are never dropped.
    /// A key with a timestamp is dropped only together with a rise of the floor above its timestamp, in the same write,
    /// so that no clock decides whether a call may run again.
    pub fn trim(&mut self, name: segment::Name) -> Option<Seal> {
        self.reduce_rows();
        let timestamped = self.loose.iter().filter(|it| it.stamp_ms.is_some());
        let timestamped = timestamped.count();
        let without_timestamp = self.loose.len() - timestamped;
        let seal = if timestamped >= segment::MARKS_PER_SEGMENT {
            Some(self.seal(name, true))
        } else if without_timestamp >= segment::MARKS_PER_SEGMENT {
            Some(self.seal(name, false))
        } else {
            None
        };
        self.drop_segments();
        seal
    }

    fn is_spent(&self, hash: &Hash, segments: &[Arc<Segment>]) -> bool {
        let mark = hash.mark();
        self.loose.iter().any(|it| it.mark == mark)
            || segments.iter().any(|segment| segment.contains(mark))
    }

    fn own_row(&mut self, claim: &Claim) -> Option<&mut Row> {
        let name = Hash::of(&claim.key).name();
        self.rows
            .iter_mut()
            .find(|row| row.name == name && row.is_own(claim))
    }

    /// Counts the segments of keys with a timestamp, or of those without one.
    fn segment_count(&self, timestamped: bool) -> usize {
        let is_counted = |segment: &&Reference| segment.newest_ms.is_some() == timestamped;
        self.segments.iter().filter(is_counted).count()
    }

    fn drop_old_responses(&mut self) {
        let mut total_bytes = 0;
        for row in self.rows.iter_mut().rev() {
            if let End::Answered(response) = &row.end {
                total_bytes += response.body.len();
                if total_bytes > MAX_TOTAL_RESPONSE_BYTES {
                    row.end = End::Spent;
                }
            }
        }
    }

    /// Reduces the oldest rows to marks, finished ones before open ones.
    fn reduce_rows(&mut self) {
        if self.rows.len() <= MAX_ROWS {
            return;
        }
        let mut surplus = self.rows.len() - ROWS_AFTER_TRIM;
        for is_open in [false, true] {
            let mut kept = Vec::with_capacity(self.rows.len());
            for row in self.rows.drain(..) {
                if surplus > 0 && (row.end == End::Open) == is_open {
                    surplus -= 1;
                    self.loose.push(row.to_mark());
                } else {
                    kept.push(row);
                }
            }
            self.rows = kept;
        }
    }

    /// Moves all unsealed marks with a timestamp, or all those without one, into a new segment.
    fn seal(&mut self, name: segment::Name, timestamped: bool) -> Seal {
        let (sealed, kept) = std::mem::take(&mut self.loose)
            .into_iter()
            .partition(|it| it.stamp_ms.is_some() == timestamped);
        self.loose = kept;
        let sealed: Vec<UnsealedMark> = sealed;
        let reference = Reference {
            name,
            newest_ms: sealed.iter().filter_map(|it| it.stamp_ms).max(),
        };
        self.segments.push(reference);
        let marks = sealed.iter().map(|it| it.mark).collect();
        Seal {
            reference,
            segment: Segment::new(marks),
        }
    }

    /// Drops the oldest segments of keys with a timestamp above the limit and raises the floor accordingly.
    fn drop_segments(&mut self) {
        while self.segment_count(true) > MAX_SEGMENTS {
            let Some(oldest) = self.segments.iter().position(|it| it.newest_ms.is_some()) else {
                return;
            };
            let newest_ms = self.segments.remove(oldest).newest_ms.unwrap_or(0);
            self.floor_ms = self.floor_ms.max(newest_ms + 1);
        }
    }
}

impl Row {
    /// Creates the row of a newly granted claim.
    fn open(name: Name, claim: &Claim, stamp_ms: Option<u64>) -> Self {
        Self {
            name,
            content: content_prefix(claim),
            call: claim.call,
            holder: claim.holder,
            instance: claim.instance.clone(),
            stamp_ms,
            end: End::Open,
        }
    }

    /// Returns whether a claim repeats the one that created this row, by the same process.
    ///
    /// The same call claimed by another process does not count: both processes might run it.
    fn is_own(&self, claim: &Claim) -> bool {
        self.call == claim.call && self.holder == claim.holder && self.instance == claim.instance
    }

    fn decide(&self, claim: &Claim) -> Decision {
        if self.content != content_prefix(claim) {
            return Decision::KeyReused;
        }
        match &self.end {
            End::Answered(response) => Decision::Finished(response.clone()),
            End::Spent => Decision::Spent,
            End::Open if self.is_own(claim) => Decision::Granted,
            End::Open => Decision::Held(Claim {
                call: self.call,
                holder: self.holder,
                instance: self.instance.clone(),
                ..claim.clone()
            }),
        }
    }

    fn to_mark(&self) -> UnsealedMark {
        UnsealedMark {
            mark: mark_of(&self.name),
            stamp_ms: self.stamp_ms,
        }
    }
}

/// Returns the first 16 bytes of the digest of a claim's content.
fn content_prefix(claim: &Claim) -> [u8; 16] {
    let mut content = [0; 16];
    content.copy_from_slice(&claim.content.as_bytes()[..16]);
    content
}

fn mark_of(name: &Name) -> Mark {
    let mut mark = [0; 8];
    mark.copy_from_slice(&name.0[..8]);
    Mark(mark)
}
