//! State of an agent's calls that changes together, under one lock.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bytes::Bytes;
use pistachiolug_routing::{
    schedule::{Capacity, Schedule},
    suspect::Suspects,
    table::{Limit, Table},
};
use pistachiolug_wire::{call::Id, load::Load};
use rustc_hash::FxHashMap;
use serde_json::Value;

use super::{limits::Limits, run::Run};

/// Time for which a crash is remembered here.
const SUSPECT_TIME: Duration = Duration::from_secs(60 * 60);

/// Largest number of remembered suspects.
const SUSPECTS: usize = 4096;

/// Time for which an entry that opened a call gets a leaving notice.
const ENTRY_TIME: Duration = Duration::from_secs(10 * 60);

/// State under the lock.
#[derive(Debug)]
pub(super) struct Desk {
    pub(super) table: Table<Arc<Run>>,
    pub(super) schedule: Schedule,
    pub(super) suspects: Suspects,
    pub(super) limits: Limits,
    /// Whether new calls are refused.
    pub(super) leaving: bool,
    /// Whether all calls have ended after [`Desk::leaving`].
    pub(super) drained: bool,
    /// Entries that called lately, with the time of their last call.
    pub(super) entries: FxHashMap<SocketAddr, Duration>,
    /// Ledger writes that must end before the process may.
    pub(super) claims: u32,
    /// Notices of leaving that are on their way; the process stays until they have been tried.
    pub(super) notices: u32,
    /// Engine caches of moved calls, until they are fetched.
    pub(super) caches: FxHashMap<Id, Bytes>,
}

impl Desk {
    pub(super) fn new(capacity: Capacity) -> Self {
        Self {
            table: Table::new(Limit::default()),
            schedule: Schedule::new(capacity),
            suspects: Suspects::new(SUSPECT_TIME, SUSPECTS),
            limits: Limits::default(),
            leaving: false,
            drained: false,
            entries: FxHashMap::default(),
            claims: 0,
            notices: 0,
            caches: FxHashMap::default(),
        }
    }

    pub(super) fn load(&self) -> Load {
        Load {
            leaving: self.leaving,
            ..self.schedule.load()
        }
    }

    /// Remembers the entry that opened a call.
    pub(super) fn meet(&mut self, entry: Option<SocketAddr>, now: Duration) {
        if let Some(entry) = entry {
            self.entries.insert(entry, now);
        }
    }

    /// Forgets the entries that have not called for long.
    pub(super) fn trim_entries(&mut self, now: Duration) {
        self.entries.retain(|_, seen| now < *seen + ENTRY_TIME);
    }

    /// Renders the suspects.
    pub(super) fn suspects(&self, now: Duration) -> Value {
        let rows = self.suspects.iter().map(|(digest, _)| {
            let crashes = self.suspects.crash_count(digest, now);
            (digest.to_string(), Value::from(crashes))
        });
        Value::Object(rows.collect())
    }
}
