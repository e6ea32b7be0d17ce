//! Discovers the weights of the service and its agents, from an entry or, if no entry answers, from the key-value
//! service.
//!
//! The configuration is large and the links between regions are narrow. Agents therefore ask an entry for just the part
//! that concerns them.

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

/// Timeout of a request to an entry.
const ENTRY_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a read from the key-value service.
const STORE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum number of entries to ask before falling back to the key-value service.
const MAX_ENTRIES_ASKED: usize = 3;

/// Largest accepted response of an entry in bytes.
const MAX_VIEW_BYTES: usize = 1 << 20;

/// Time during which only entries are asked. Entries read the configuration once per region, and are back within
/// seconds after a power loss.
const ENTRIES_ONLY_PERIOD: Duration = Duration::from_secs(4);

/// Returns whether an agent may read the whole configuration from the key-value service because no entry answers.
///
/// When all agents restart at once, reading the configuration at each of them would fill the links between regions for
/// seconds and delay the entries' own reads.
///
/// # Arguments
/// `waited` is the time since the first attempt that no entry answered.
pub fn may_read_configuration(waited: Duration) -> bool {
    waited >= ENTRIES_ONLY_PERIOD
}

/// Source of views of the service's weights and agents.
#[derive(Debug)]
pub struct Discovery<S, D> {
    /// Key-value service.
    pub store: S,
    /// Decoder of the rows of the key-value service.
    pub decoder: D,
    /// HTTP client for entries.
    pub client: Client,
}

impl<S: Store, D: Decoder> Discovery<S, D> {
    /// Reads the current view and applies it to `state`; returns `false` if no source answered.
    pub async fn refresh_view(&self, state: &State) -> bool {
        if state.should_read_entries() {
            let entries = self.read_entries().await;
            if !entries.is_empty() {
                state.set_entries(entries);
            }
        }
        let mut entries = state.entries();
        entries.shuffle(&mut rand::rng());
        // Entries on the agent's own network come first, since their responses do not cross a link between regions.
        entries.sort_by_key(|entry| !shares_network(*entry, state.options.member.address));
        for entry in entries.into_iter().take(MAX_ENTRIES_ASKED) {
            if let Some(view) = self.ask_entry(entry, &state.options.service).await {
                log::info!(entry:%, agents = view.agents.len(); "weights discovered from an entry");
                state.apply_view(view);
                return true;
            }
        }
        let waited = state.time_without_view();
        if !may_read_configuration(waited) {
            let waited_ms = waited.as_millis() as u64;
            log::info!(waited_ms; "no entry answers yet");
            return false;
        }
        self.read_configuration(state).await
    }

    async fn ask_entry(&self, entry: SocketAddr, service: &str) -> Option<weights::View> {
        let url = format!("http://{entry}{}", weights::path(service));
        let request = Request::get(url).body(Bytes::new()).ok()?;
        let response = self
            .client
            .fetch(request, MAX_VIEW_BYTES, ENTRY_TIMEOUT)
            .await;
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
        let rows = range
            .entries
            .iter()
            .map(|row| self.decoder.decode(&row.key, &row.value));
        let entries = rows.filter_map(|row| match row {
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
                log::warn!(error:%; "configuration not read");
                return false;
            }
            Err(_) => {
                log::warn!("configuration not read in time");
                return false;
            }
        };
        match self.decoder.decode(&row.key, &row.value) {
            Row::Weights(view) => {
                log::info!(revision = row.revision, bytes = row.value.len(); "weights discovered from the key-value service");
                state.apply_view(view);
                true
            }
            _ => false,
        }
    }
}

/// Returns whether two IPv4 addresses share their first two bytes, as addresses of one availability zone do.
fn shares_network(one: SocketAddr, other: SocketAddr) -> bool {
    match (one, other) {
        (SocketAddr::V4(one), SocketAddr::V4(other)) => {
            one.ip().octets()[..2] == other.ip().octets()[..2]
        }
        _ => false,
    }
}
