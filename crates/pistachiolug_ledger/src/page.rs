//! Content of one shard of the ledger, as the key-value service stores it. Pure: no I/O, time as an argument.

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

/// Rows kept in full per page; older ones are kept as marks.
pub const MAX_ROWS: usize = 256;

/// Rows kept after a trim.
pub const ROWS_AFTER_TRIM: usize = 192;

/// Longest answer body that is kept, in bytes.
pub const MAX_ANSWER_BYTES: usize = 2048;

/// Total of kept answer bodies per page, in bytes; the oldest go first.
pub const MAX_TOTAL_ANSWER_BYTES: usize = 16 << 10;

/// Segments kept per page for keys that carry a time, and as many again for keys that carry none.
pub const MAX_SEGMENTS: usize = 64;

/// Time by which a key's creation time may be ahead of the agent's clock, in milliseconds.
const MAX_AHEAD_MS: u64 = 3_600_000;

/// First bytes of a key's digest, which name its row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Name([u8; 16]);

/// State of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum End {
    /// No end is reported.
    Open,
    /// Ended with this answer.
    Answered(Response),
    /// Ended, and the answer is not kept.
    Spent,
}

/// One claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Digest of the key.
    name: Name,
    /// First bytes of the content's digest.
    content: [u8; 16],
    /// Call that claimed.
    call: Id,
    /// Fencing number of the claiming process.
    holder: u64,
    /// Instance of the claiming process.
    instance: String,
    /// Creation time that the key carries, in milliseconds since 1970.
    stamp_ms: Option<u64>,
    /// State.
    end: End,
}

/// Spent key whose row is gone and whose segment is not sealed yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Loose {
    mark: Mark,
    stamp_ms: Option<u64>,
}

/// Content of one shard.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// Keys that carry an earlier time than this, in milliseconds since 1970, are spent; never falls.
    floor_ms: u64,
    /// Claims in order of their arrival.
    rows: Vec<Row>,
    /// Marks that are not in a segment yet.
    loose: Vec<Loose>,
    /// Sealed segments in order of their sealing.
    segments: Vec<Reference>,
}

/// Reports that a shard can hold no more keys that carry no time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Full;

/// Work that a trim leaves to the writer of the page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seal {
    /// Segment to store before the page that refers to it.
    pub reference: Reference,
    /// Its content.
    pub segment: Segment,
}

/// Digest of a key, from which its row's name, mark and shard follow.
#[derive(Debug, Clone, Copy)]
pub struct Hash([u8; 32]);

impl Hash {
    /// Hashes a key.
    pub fn of(key: &Key) -> Self {
        Self(*blake3::hash(&codec::encode(key)).as_bytes())
    }

    /// Returns the shard among `shards`.
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

    /// Returns the number of rows kept in full.
    pub fn rows(&self) -> usize {
        self.rows.len()
    }

    /// Returns the time before which keys that carry a time are spent, in milliseconds since 1970.
    pub fn floor_ms(&self) -> u64 {
        self.floor_ms
    }

    /// Claims a call; `segments` are those that the page refers to.
    ///
    /// # Errors
    /// [`Full`].
    pub fn claim(
        &mut self,
        claim: &Claim,
        segments: &[Arc<Segment>],
        now_ms: u64,
    ) -> Result<Decision, Full> {
        let hash = Hash::of(&claim.key);
        let name = hash.name();
        if let Some(row) = self.rows.iter().find(|row| row.name == name) {
            return Ok(row.judge(claim));
        }
        let stamp_ms = timestamp::parse(&claim.key.key);
        if stamp_ms.is_some_and(|stamp| stamp < self.floor_ms) || self.is_spent(&hash, segments) {
            return Ok(Decision::Spent);
        }
        let stamp_ms = stamp_ms.filter(|stamp| *stamp <= now_ms.saturating_add(MAX_AHEAD_MS));
        if stamp_ms.is_none() && self.count(false) >= MAX_SEGMENTS {
            return Err(Full);
        }
        self.rows.push(Row::open(name, claim, stamp_ms));
        Ok(Decision::Granted)
    }

    /// Records the answer of a claim, if the claim's row is still kept.
    pub fn finish(&mut self, claim: &Claim, answer: &Response) {
        let Some(row) = self.own_row(claim) else {
            return;
        };
        row.end = if answer.body.len() <= MAX_ANSWER_BYTES {
            End::Answered(answer.clone())
        } else {
            End::Spent
        };
        self.drop_answers();
    }

    /// Removes a claim whose call never started.
    pub fn release(&mut self, claim: &Claim) {
        let name = Hash::of(&claim.key).name();
        self.rows
            .retain(|row| row.name != name || !row.is_own(claim) || row.end != End::Open);
    }

    /// Moves old rows to marks, seals marks and forgets the oldest segment of keys that carry a time.
    ///
    /// A key that carries no time is never forgotten. One that carries a time is forgotten only together with a rise of
    /// the floor above that time, in the same write, so no clock decides whether a call may run again.
    pub fn trim(&mut self, name: segment::Name) -> Option<Seal> {
        self.move_rows();
        let dated = self.loose.iter().filter(|loose| loose.stamp_ms.is_some());
        let dated = dated.count();
        let undated = self.loose.len() - dated;
        let seal = if dated >= segment::MARKS_PER_SEGMENT {
            Some(self.seal(name, true))
        } else if undated >= segment::MARKS_PER_SEGMENT {
            Some(self.seal(name, false))
        } else {
            None
        };
        self.forget();
        seal
    }

    fn is_spent(&self, hash: &Hash, segments: &[Arc<Segment>]) -> bool {
        let mark = hash.mark();
        self.loose.iter().any(|loose| loose.mark == mark)
            || segments.iter().any(|segment| segment.contains(mark))
    }

    fn own_row(&mut self, claim: &Claim) -> Option<&mut Row> {
        let name = Hash::of(&claim.key).name();
        self.rows
            .iter_mut()
            .find(|row| row.name == name && row.is_own(claim))
    }

    /// Counts the segments of keys that carry a time, or of those that carry none.
    fn count(&self, dated: bool) -> usize {
        let kind = |segment: &&Reference| segment.newest_ms.is_some() == dated;
        self.segments.iter().filter(kind).count()
    }

    fn drop_answers(&mut self) {
        let mut kept = 0;
        for row in self.rows.iter_mut().rev() {
            if let End::Answered(answer) = &row.end {
                kept += answer.body.len();
                if kept > MAX_TOTAL_ANSWER_BYTES {
                    row.end = End::Spent;
                }
            }
        }
    }

    /// Moves the oldest rows to marks, those that ended first.
    fn move_rows(&mut self) {
        if self.rows.len() <= MAX_ROWS {
            return;
        }
        let mut surplus = self.rows.len() - ROWS_AFTER_TRIM;
        for open in [false, true] {
            let mut kept = Vec::with_capacity(self.rows.len());
            for row in self.rows.drain(..) {
                if surplus > 0 && (row.end == End::Open) == open {
                    surplus -= 1;
                    self.loose.push(row.loose());
                } else {
                    kept.push(row);
                }
            }
            self.rows = kept;
        }
    }

    fn seal(&mut self, name: segment::Name, dated: bool) -> Seal {
        let (sealed, kept) = std::mem::take(&mut self.loose)
            .into_iter()
            .partition(|loose| loose.stamp_ms.is_some() == dated);
        self.loose = kept;
        let sealed: Vec<Loose> = sealed;
        let reference = Reference {
            name,
            newest_ms: sealed.iter().filter_map(|loose| loose.stamp_ms).max(),
        };
        self.segments.push(reference);
        let marks = sealed.iter().map(|loose| loose.mark).collect();
        Seal {
            reference,
            segment: Segment::new(marks),
        }
    }

    fn forget(&mut self) {
        while self.count(true) > MAX_SEGMENTS {
            let Some(oldest) = self.segments.iter().position(|it| it.newest_ms.is_some()) else {
                return;
            };
            let newest_ms = self.segments.remove(oldest).newest_ms.unwrap_or(0);
            self.floor_ms = self.floor_ms.max(newest_ms + 1);
        }
    }
}

impl Row {
    fn open(name: Name, claim: &Claim, stamp_ms: Option<u64>) -> Self {
        Self {
            name,
            content: content_of(claim),
            call: claim.call,
            holder: claim.holder,
            instance: claim.instance.clone(),
            stamp_ms,
            end: End::Open,
        }
    }

    /// Tells whether the claim is the one that made this row, by the same process.
    ///
    /// A resend of the same call through another process is not: both might run it.
    fn is_own(&self, claim: &Claim) -> bool {
        self.call == claim.call && self.holder == claim.holder && self.instance == claim.instance
    }

    fn judge(&self, claim: &Claim) -> Decision {
        if self.content != content_of(claim) {
            return Decision::KeyReused;
        }
        match &self.end {
            End::Answered(answer) => Decision::Finished(answer.clone()),
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

    fn loose(&self) -> Loose {
        Loose {
            mark: mark_of(&self.name),
            stamp_ms: self.stamp_ms,
        }
    }
}

fn content_of(claim: &Claim) -> [u8; 16] {
    let mut content = [0; 16];
    content.copy_from_slice(&claim.content.as_bytes()[..16]);
    content
}

fn mark_of(name: &Name) -> Mark {
    let mut mark = [0; 8];
    mark.copy_from_slice(&name.0[..8]);
    Mark(mark)
}
