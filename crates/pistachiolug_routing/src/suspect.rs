//! Requests that were running when a backend server died, by content digest.

use std::{collections::VecDeque, time::Duration};

use pistachiolug_wire::digest::Digest;
use rustc_hash::FxHashMap;

/// Crashes after which a request is refused; it has then run on that many backend servers.
pub const MOST_CRASHES: u8 = 2;

/// What may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Run it beside others.
    Run,
    /// Run it while nothing else runs.
    Alone,
    /// Refuse it.
    Refuse,
}

/// Decides by the number of backend servers that died while they ran the request.
pub fn decide(crashes: u8) -> Decision {
    match crashes {
        0 => Decision::Run,
        crashes if crashes < MOST_CRASHES => Decision::Alone,
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
    crashes: u8,
    /// Incarnation of the backend server that died last.
    incarnation: u64,
    until: Duration,
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
    /// One incarnation counts once, however many calls with the same content it was running.
    pub fn crash(&mut self, digest: Digest, incarnation: u64, now: Duration) -> u8 {
        let before = self.crashes(&digest, now);
        let same = self
            .rows
            .get(&digest)
            .is_some_and(|row| row.incarnation == incarnation);
        let crashes = if same {
            before
        } else {
            before.saturating_add(1)
        };
        self.learn(digest, crashes.max(1), now);
        if let Some(row) = self.rows.get_mut(&digest) {
            row.incarnation = incarnation;
        }
        crashes.max(1)
    }

    /// Learns of crashes seen elsewhere; a smaller number changes nothing.
    pub fn learn(&mut self, digest: Digest, crashes: u8, now: Duration) {
        if crashes == 0 {
            return;
        }
        let known = self.crashes(&digest, now);
        if !self.rows.contains_key(&digest) {
            self.order.push_back(digest);
        }
        let row = self.rows.entry(digest).or_insert(Row {
            crashes,
            incarnation: 0,
            until: now,
        });
        row.crashes = crashes.max(known);
        row.until = now + self.keep;
        self.trim(now);
    }

    /// Returns the crashes known of a request.
    pub fn crashes(&self, digest: &Digest, now: Duration) -> u8 {
        let row = self.rows.get(digest).filter(|row| now < row.until);
        row.map_or(0, |row| row.crashes)
    }

    /// Iterates over the remembered digests with their crashes.
    pub fn iter(&self) -> impl Iterator<Item = (&Digest, u8)> {
        self.rows.iter().map(|(digest, row)| (digest, row.crashes))
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
