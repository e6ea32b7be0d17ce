//! Crash suspects: requests that were running when a backend server died, by the digest of their content.

use std::{collections::VecDeque, time::Duration};

use pistachiolug_wire::digest::Digest;
use rustc_hash::FxHashMap;

/// Number of crashes after which a request is refused; it has then run on that many backend servers that died.
pub const MAX_CRASHES: u8 = 2;

/// Decision on how a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Run it beside other requests.
    Run,
    /// Run it while nothing else runs.
    Isolate,
    /// Don't run it.
    Refuse,
}

/// Decides how a request may run.
///
/// # Arguments
/// `crashes` is the number of backend servers that died while they ran the request.
pub fn decide(crashes: u8) -> Decision {
    match crashes {
        0 => Decision::Run,
        crashes if crashes < MAX_CRASHES => Decision::Isolate,
        _ => Decision::Refuse,
    }
}

/// Crashes that one process has seen or that others have reported to it.
///
/// Its size is bounded; the digest that was added first is evicted first.
#[derive(Debug)]
pub struct Suspects {
    /// Time for which a crash is kept after the last report of its digest.
    retention: Duration,
    /// Largest number of digests.
    max_digests: usize,
    rows: FxHashMap<Digest, Row>,
    /// Digests in the order in which they were added; each row is here exactly once.
    insertion_order: VecDeque<Digest>,
}

#[derive(Debug)]
struct Row {
    /// Largest number of crashes that was reported without the incarnations.
    reported: u8,
    /// Distinct incarnations of the backend servers that are known to have died; at most [`MAX_CRASHES`].
    incarnations: Vec<u64>,
    expires_at: Duration,
}

impl Row {
    fn crashes(&self) -> u8 {
        self.reported.max(self.incarnations.len() as u8)
    }
}

impl Suspects {
    /// Creates an empty set that keeps at most `max_digests` digests, each for `retention` after its last report.
    pub fn new(retention: Duration, max_digests: usize) -> Self {
        Self {
            retention,
            max_digests,
            rows: FxHashMap::default(),
            insertion_order: VecDeque::new(),
        }
    }

    /// Records that an incarnation of a backend server died while it ran the request, and returns the known crashes.
    ///
    /// An incarnation counts once, even if it ran several calls with the same content or several agents report it.
    pub fn record_crash(&mut self, digest: Digest, incarnation: u64, now: Duration) -> u8 {
        let row = self.row(digest, now);
        let is_full = row.incarnations.len() >= usize::from(MAX_CRASHES);
        if !is_full && !row.incarnations.contains(&incarnation) {
            row.incarnations.push(incarnation);
        }
        let crashes = row.crashes();
        self.trim(now);
        crashes
    }

    /// Records a number of crashes that another process reported; a number below the known one is ignored.
    pub fn record_reported(&mut self, digest: Digest, crashes: u8, now: Duration) {
        if crashes > 0 {
            let row = self.row(digest, now);
            row.reported = row.reported.max(crashes);
            self.trim(now);
        }
    }

    /// Returns the number of known crashes of a request; 0 once they have expired.
    pub fn crash_count(&self, digest: &Digest, now: Duration) -> u8 {
        let row = self.rows.get(digest).filter(|row| now < row.expires_at);
        row.map_or(0, Row::crashes)
    }

    /// Iterates over the kept digests and the number of their crashes, including those that have expired.
    pub fn iter(&self) -> impl Iterator<Item = (&Digest, u8)> {
        self.rows
            .iter()
            .map(|(digest, row)| (digest, row.crashes()))
    }

    /// Returns a digest's row, which is added or reset if it was missing or had expired, and extends its expiry.
    fn row(&mut self, digest: Digest, now: Duration) -> &mut Row {
        let insertion_order = &mut self.insertion_order;
        let row = self.rows.entry(digest).or_insert_with(|| {
            insertion_order.push_back(digest);
            Row {
                reported: 0,
                incarnations: Vec::new(),
                expires_at: Duration::MAX,
            }
        });
        if row.expires_at <= now {
            row.reported = 0;
            row.incarnations.clear();
        }
        row.expires_at = now + self.retention;
        row
    }

    fn trim(&mut self, now: Duration) {
        while let Some(digest) = self.insertion_order.front().copied() {
            let is_over_limit = self.insertion_order.len() > self.max_digests;
            let is_expired = self
                .rows
                .get(&digest)
                .is_none_or(|row| row.expires_at <= now);
            if !is_over_limit && !is_expired {
                break;
            }
            self.insertion_order.pop_front();
            self.rows.remove(&digest);
        }
    }
}
