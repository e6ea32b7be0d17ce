//! Reads of the lists from the key-value service, by the zone's watchers and by instances whose content is too old.

use std::time::Duration;

use pistachiolug_platform::kv::{Entry, Error, Event, Position, Range, Store};
use tokio::time::{Instant, sleep};

use super::Gossip;
use crate::{
    row::{Name, PREFIX},
    table::Change,
};

/// Maximum duration of a watcher's watch call, after which the next call replaces a watch that hangs.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum duration of a watch call by an instance that is not a watcher.
const NON_WATCHER_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval at which an instance that is not a watcher checks the age of its content.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Mean time between two full reads of a watcher, which find changes that the events missed.
const FULL_READ_INTERVAL: Duration = Duration::from_secs(300);

/// Base of a watcher's exponential backoff after failed calls.
const BASE_BACKOFF: Duration = Duration::from_millis(200);

/// Maximum backoff of a watcher after a failed call.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// Reads from the key-value service until the process stops: continuously as a watcher, and otherwise when the content
/// is older than the topology allows.
pub async fn run<S: Store>(gossip: &Gossip, store: &S) {
    let mut failures = 0;
    let mut jitter = rand::random();
    let mut next_full_read = full_read_time();
    let mut peers = gossip.peers.clone();
    loop {
        let topology = peers.topology();
        let is_watcher = topology.is_watcher();
        gossip.replica.set_watcher(is_watcher);
        let max_age = topology.max_age(failures, jitter);
        let is_stale = gossip.replica.age().is_none_or(|age| age > max_age);
        if !is_watcher && !is_stale {
            sleep(AGE_CHECK_INTERVAL).await;
            continue;
        }
        let timeout = if is_watcher {
            WATCH_TIMEOUT
        } else {
            NON_WATCHER_TIMEOUT
        };
        let needs_full_read =
            gossip.replica.is_diverged() || is_watcher && Instant::now() > next_full_read;
        let result = if needs_full_read {
            next_full_read = full_read_time();
            read_all(gossip, store).await
        } else {
            read_events(gossip, store, timeout).await
        };
        jitter = rand::random();
        match result {
            Ok(()) => failures = 0,
            Err(error) => {
                failures += 1;
                log::debug!(error:% = error; "failed to read the lists from the key-value service");
                sleep(backoff(failures, is_watcher)).await;
            }
        }
    }
}

/// Reads all rows into the replica.
///
/// # Errors
/// Returns the service's error, or [`Error::Unavailable`] if the service returned an older revision than the replica's.
pub async fn read_all<S: Store>(gossip: &Gossip, store: &S) -> Result<(), Error> {
    let requested_at = Instant::now();
    let range = store.range(PREFIX).await?;
    let revision = range.position.revision;
    if gossip
        .replica
        .apply_snapshot(rows(range), revision, requested_at)
    {
        return Ok(());
    }
    Err(Error::Unavailable {
        reason: format!("response has revision {revision}, which is older than the known one"),
    })
}

/// Converts the entries of a full read, skipping those whose keys are not row names.
pub fn rows(range: Range) -> Vec<Change> {
    range
        .entries
        .into_iter()
        .filter_map(change_from_entry)
        .collect()
}

async fn read_events<S: Store>(gossip: &Gossip, store: &S, timeout: Duration) -> Result<(), Error> {
    let requested_at = Instant::now();
    let after = Position::without_era(gossip.replica.revision());
    match store.watch(PREFIX, after, timeout).await {
        Ok(events) => {
            let changes = events.into_iter().filter_map(change_from_event).collect();
            gossip.replica.apply_events(changes, requested_at);
            Ok(())
        }
        Err(Error::Compacted { .. }) => read_all(gossip, store).await,
        Err(error) => Err(error),
    }
}

fn change_from_event(event: Event) -> Option<Change> {
    match event {
        Event::Put(entry) => change_from_entry(entry),
        Event::Delete { key, revision } => Some(Change {
            name: Name::parse(&key)?,
            revision,
            value: None,
            good: None,
        }),
    }
}

fn change_from_entry(entry: Entry) -> Option<Change> {
    Some(Change {
        name: Name::parse(&entry.key)?,
        revision: entry.revision,
        value: Some(entry.value),
        good: None,
    })
}

fn full_read_time() -> Instant {
    Instant::now() + FULL_READ_INTERVAL.mul_f64(rand::random_range(0.7..1.3))
}

fn backoff(failures: u32, is_watcher: bool) -> Duration {
    if !is_watcher {
        // `Topology::max_age` already grows with the failures and so delays the next read.
        return AGE_CHECK_INTERVAL;
    }
    let backoff = BASE_BACKOFF * 2_u32.saturating_pow(failures.min(8));
    backoff
        .min(MAX_BACKOFF)
        .mul_f64(rand::random_range(0.5..1.0))
}
