//! Requests that were running when a backend server died, by content digest.

use std::{collections::VecDeque, time::Duration};

use pistachiolug_wire::digest::Digest;
use rustc_hash::FxHashMap;

/// Crashes after which a request is refused; it has then run on that many backend servers.
pub const MAX_CRASHES: u8 = 2;

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Run it beside others.
    Run,
    /// Run it while nothing else runs.
    Isolate,
    /// Refuse it.
    Refuse,
}

/// Decides by the number of backend servers that died while they ran the request.
pub fn decide(crashes: u8) -> Decision {
    match crashes {
        0 => Decision::Run,
        crashes if crashes < MAX_CRASHES => Decision::Isolate,
        _ => Decision::Refuse,
    }
}

/// Crashes that one process has seen or was told of.
#[derive(Debug)]
pub struct Suspects {
    /// Time for which a crash is remembered.
    keep: Duration,
    /// Largest number of digests.
    most: usize,
    rows: FxHashMap<Digest, Row>,
    /// Digests in order of their entry; each row is here exactly once.
    order: VecDeque<Digest>,
}

#[derive(Debug)]
struct Row {
    /// Crashes learned of without knowing the backend servers.
    told: u8,
    /// Incarnations of the backend servers known to have died, each once and at most [`MAX_CRASHES`].
    dead: Vec<u64>,
    until: Duration,
}

impl Row {
    fn crashes(&self) -> u8 {
        self.told.max(self.dead.len() as u8)
    }
}

impl Suspects {
    /// Creates an empty memory.
    pub fn new(keep: Duration, most: usize) -> Self {
        Self {
            keep,
            most,
            rows: FxHashMap::default(),
            order: VecDeque::new(),
        }
    }

    /// Notes that a backend server's incarnation died while it ran the request, and returns the crashes known.
    ///
    /// One incarnation counts once, however many calls with the same content it was running and whoever tells of it.
    pub fn record_crash(&mut self, digest: Digest, incarnation: u64, now: Duration) -> u8 {
        let row = self.row(digest, now);
        let full = row.dead.len() >= usize::from(MAX_CRASHES);
        if !full && !row.dead.contains(&incarnation) {
            row.dead.push(incarnation);
        }
        let crashes = row.crashes();
        self.trim(now);
        crashes
    }

    /// Learns of crashes seen elsewhere; a smaller number changes nothing.
    pub fn record_reported(&mut self, digest: Digest, crashes: u8, now: Duration) {
        if crashes > 0 {
            let row = self.row(digest, now);
            row.told = row.told.max(crashes);
            self.trim(now);
        }
    }

    /// Returns the crashes known of a request.
    pub fn crash_count(&self, digest: &Digest, now: Duration) -> u8 {
        let row = self.rows.get(digest).filter(|row| now < row.until);
        row.map_or(0, Row::crashes)
    }

    /// Iterates over the remembered digests with their crashes.
    pub fn iter(&self) -> impl Iterator<Item = (&Digest, u8)> {
        self.rows
            .iter()
            .map(|(digest, row)| (digest, row.crashes()))
    }

    /// Finds a digest's row, anew if it has expired, and extends its time.
    fn row(&mut self, digest: Digest, now: Duration) -> &mut Row {
        let order = &mut self.order;
        let row = self.rows.entry(digest).or_insert_with(|| {
            order.push_back(digest);
            Row {
                told: 0,
                dead: Vec::new(),
                until: Duration::MAX,
            }
        });
        if row.until <= now {
            row.told = 0;
            row.dead.clear();
        }
        row.until = now + self.keep;
        row
    }

    fn trim(&mut self, now: Duration) {
        while let Some(digest) = self.order.front().copied() {
            let over = self.order.len() > self.most;
            let stale = self.rows.get(&digest).is_none_or(|row| row.until <= now);
            if !over && !stale {
                break;
            }
            self.order.pop_front();
            self.rows.remove(&digest);
        }
    }
}
