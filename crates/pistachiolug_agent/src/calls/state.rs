//! State of an agent's calls; one lock guards all of it, so that its parts change together.

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

/// Time that this agent remembers a crash.
const SUSPECT_RETENTION: Duration = Duration::from_secs(60 * 60);

/// Largest number of content digests that are remembered as crash suspects.
const MAX_SUSPECTS: usize = 4096;

/// Time after its last call during which an entry still gets a leaving notice.
const ENTRY_RETENTION: Duration = Duration::from_secs(10 * 60);

/// State of all calls of one agent.
#[derive(Debug)]
pub(super) struct State {
    pub(super) table: Table<Arc<Run>>,
    pub(super) schedule: Schedule,
    pub(super) suspects: Suspects,
    pub(super) limits: Limits,
    /// Whether new calls are refused.
    pub(super) is_leaving: bool,
    /// Whether all calls have ended since [`State::is_leaving`] was set.
    pub(super) is_drained: bool,
    /// Entries that opened a call recently, with the time of their last call.
    pub(super) recent_entries: FxHashMap<SocketAddr, Duration>,
    /// Number of ledger writes in progress; the process must not exit before they end.
    pub(super) pending_claim_writes: u32,
    /// Number of leaving notices in progress; the process must not exit before all were tried.
    pub(super) pending_notices: u32,
    /// Engine caches of moved calls, until other agents fetch them.
    pub(super) exported_caches: FxHashMap<Id, Bytes>,
}

impl State {
    pub(super) fn new(capacity: Capacity) -> Self {
        Self {
            table: Table::new(Limit::default()),
            schedule: Schedule::new(capacity),
            suspects: Suspects::new(SUSPECT_RETENTION, MAX_SUSPECTS),
            limits: Limits::default(),
            is_leaving: false,
            is_drained: false,
            recent_entries: FxHashMap::default(),
            pending_claim_writes: 0,
            pending_notices: 0,
            exported_caches: FxHashMap::default(),
        }
    }

    pub(super) fn load(&self) -> Load {
        Load {
            leaving: self.is_leaving,
            ..self.schedule.load()
        }
    }

    /// Records the entry that opened a call, if it is known.
    pub(super) fn record_entry(&mut self, entry: Option<SocketAddr>, now: Duration) {
        if let Some(entry) = entry {
            self.recent_entries.insert(entry, now);
        }
    }

    /// Removes the entries whose last call is too old.
    pub(super) fn remove_old_entries(&mut self, now: Duration) {
        self.recent_entries
            .retain(|_, last_call| now < *last_call + ENTRY_RETENTION);
    }

    /// Renders the crash suspects with their numbers of crashes.
    pub(super) fn render_suspects(&self, now: Duration) -> Value {
        let rows = self.suspects.iter().map(|(digest, _)| {
            let crashes = self.suspects.crash_count(digest, now);
            (digest.to_string(), Value::from(crashes))
        });
        Value::Object(rows.collect())
    }
}
