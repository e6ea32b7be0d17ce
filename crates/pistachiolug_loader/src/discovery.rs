//! Learns of the weights of the service and of its agents: from an entry, or from the key-value service if no entry
//! answers.
//!
//! The configuration is large and the links between regions are narrow, so agents ask an entry for the little that
//! concerns them.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use pistachiolug_http::client::Client;
use pistachiolug_platform::kv::Store;
use pistachiolug_wire::{codec, weights};
use rand::seq::SliceRandom;
use tokio::time::timeout;

use crate::{
    row::{Decoder, Row},
    state::State,
};

/// Longest time an entry may take to answer.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time the key-value service may take to answer.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Entries that are asked before the key-value service.
const ENTRIES_ASKED: usize = 3;

/// Largest accepted answer in bytes.
const VIEW_BYTES: usize = 1 << 20;

/// Time for which only entries are asked. They read the configuration once a region, and come back within seconds after
/// a loss of power.
const ENTRIES_ONLY: Duration = Duration::from_secs(4);

/// Tells whether an agent that no entry has answered reads the configuration itself.
///
/// Answers the load of a return of all agents at once: the configurations that each would read fill the links between
/// regions for seconds, and the entries' own reads wait behind them.
///
/// # Arguments
/// `waited` is the time since the first question that no entry answered.
pub fn may_read_configuration(waited: Duration) -> bool {
    waited >= ENTRIES_ONLY
}

/// Ways to learn.
#[derive(Debug)]
pub struct Discovery<S, D> {
    /// Key-value service.
    pub store: S,
    /// Format of its rows.
    pub decoder: D,
    /// Client for entries.
    pub client: Client,
}

impl<S: Store, D: Decoder> Discovery<S, D> {
    /// Learns what there is to know now; `false` if there was no answer.
    pub async fn refresh_view(&self, state: &State) -> bool {
        let mut entries = state.entries();
        if entries.is_empty() {
            entries = self.read_entries().await;
        }
        entries.shuffle(&mut rand::rng());
        // Entries on the own machine's network come first: their answers cross no link between regions.
        entries.sort_by_key(|entry| !near(*entry, state.options.member.address));
        for entry in entries.into_iter().take(ENTRIES_ASKED) {
            if let Some(view) = self.ask(entry, &state.options.service).await {
                log::info!(entry:%, agents = view.agents.len(); "weights learned of");
                state.apply_view(view);
                return true;
            }
        }
        // Perhaps the entries that were known are all gone.
        state.clear_entries();
        let waited = state.time_without_view();
        if !may_read_configuration(waited) {
            let waited_ms = waited.as_millis() as u64;
            log::info!(waited_ms; "no entry answers yet");
            return false;
        }
        self.read_configuration(state).await
    }

    async fn ask(&self, entry: SocketAddr, service: &str) -> Option<weights::View> {
        let url = format!("http://{entry}{}", weights::path(service));
        let request = Request::get(url).body(Bytes::new()).ok()?;
        let response = self.client.fetch(request, VIEW_BYTES, ENTRY_TIMEOUT).await;
        let response = response.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        codec::decode(response.body()).ok()
    }

    async fn read_entries(&self) -> Vec<SocketAddr> {
        let read = timeout(
            STORE_TIMEOUT,
            self.store.range(self.decoder.entries_prefix()),
        )
        .await;
        let Ok(Ok(range)) = read else {
            return Vec::new();
        };
        let facts = range
            .entries
            .iter()
            .map(|row| self.decoder.decode(&row.key, &row.value));
        let entries = facts.filter_map(|fact| match fact {
            Row::Entry(address) => Some(address),
            _ => None,
        });
        entries.collect()
    }

    async fn read_configuration(&self, state: &State) -> bool {
        let read = timeout(
            STORE_TIMEOUT,
            self.store.get(self.decoder.configuration_key()),
        )
        .await;
        let row = match read {
            Ok(Ok(Some(row))) => row,
            Ok(Ok(None)) => return false,
            Ok(Err(error)) => {
                log::warn!(error:%; "weights not learned of");
                return false;
            }
            Err(_) => {
                log::warn!("weights not learned of in time");
                return false;
            }
        };
        match self.decoder.decode(&row.key, &row.value) {
            Row::Weights(view) => {
                log::info!(revision = row.revision, bytes = row.value.len(); "weights learned of without an entry");
                state.apply_view(view);
                true
            }
            _ => false,
        }
    }
}

/// Tells whether two addresses share their first two bytes, as those of one availability zone do.
fn near(one: SocketAddr, other: SocketAddr) -> bool {
    match (one, other) {
        (SocketAddr::V4(one), SocketAddr::V4(other)) => {
            one.ip().octets()[..2] == other.ip().octets()[..2]
        }
        _ => false,
    }
}
