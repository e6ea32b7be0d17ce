//! Reading of the lists from the key-value service, by the zone's watchers and by places that hear nothing.

use std::time::Duration;

use pistachiolug_platform::kv::{Entry, Error, Event, Range, Store};
use tokio::time::{Instant, sleep};

use super::Gossip;
use crate::{
    row::{Name, PREFIX},
    table::Change,
};

/// Longest time one watch call waits; a watch that has gone silent is replaced by the next.
const WATCH_WAIT: Duration = Duration::from_secs(1);

/// Longest time a place that does not watch waits for events.
const GLANCE_WAIT: Duration = Duration::from_millis(100);

/// Interval at which a place looks whether it has to read.
const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// Mean time between two complete readings of a watcher, which find what events left out.
const AUDIT_INTERVAL: Duration = Duration::from_secs(300);

/// First wait after a failed call.
const FIRST_WAIT: Duration = Duration::from_millis(200);

/// Longest wait of a watcher after a failed call.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

/// Reads from the service whenever it is this place's turn, until the process stops.
pub async fn run<S: Store>(gossip: &Gossip, store: &S) {
    let mut failures = 0;
    let mut silence = rand::random();
    let mut audit = next_audit();
    let mut peers = gossip.peers.clone();
    loop {
        let topology = peers.topology();
        let watcher = topology.is_watcher();
        gossip.replica.set_watcher(watcher);
        let limit = topology.max_age(failures, silence);
        let unheard = gossip.replica.age().is_none_or(|age| age > limit);
        if !watcher && !unheard {
            sleep(LOOK_INTERVAL).await;
            continue;
        }
        let wait = if watcher { WATCH_WAIT } else { GLANCE_WAIT };
        let whole = gossip.replica.is_diverged() || watcher && Instant::now() > audit;
        let read = if whole {
            audit = next_audit();
            read_all(gossip, store).await
        } else {
            read_events(gossip, store, wait).await
        };
        silence = rand::random();
        match read {
            Ok(()) => failures = 0,
            Err(error) => {
                failures += 1;
                log::debug!(error:% = error; "lists not read");
                sleep(backoff(failures, watcher)).await;
            }
        }
    }
}

/// Reads all rows.
///
/// # Errors
/// Returns the service's error; an older reading than the lists in force counts as unavailable.
pub async fn read_all<S: Store>(gossip: &Gossip, store: &S) -> Result<(), Error> {
    let asked = Instant::now();
    let range = store.range(PREFIX).await?;
    let revision = range.revision;
    if gossip.replica.apply_snapshot(rows(range), revision, asked) {
        return Ok(());
    }
    Err(Error::Unavailable {
        reason: format!("answer of the older revision {revision}"),
    })
}

/// Returns the rows of a reading.
pub fn rows(range: Range) -> Vec<Change> {
    range.entries.into_iter().filter_map(put).collect()
}

async fn read_events<S: Store>(gossip: &Gossip, store: &S, wait: Duration) -> Result<(), Error> {
    let asked = Instant::now();
    let after = gossip.replica.revision();
    match store.watch(PREFIX, after, wait).await {
        Ok(events) => {
            let changes = events.into_iter().filter_map(change).collect();
            gossip.replica.apply_events(changes, asked);
            Ok(())
        }
        Err(Error::Compacted { .. }) => read_all(gossip, store).await,
        Err(error) => Err(error),
    }
}

fn change(event: Event) -> Option<Change> {
    match event {
        Event::Put(entry) => put(entry),
        Event::Delete { key, revision } => Some(Change {
            name: Name::parse(&key)?,
            revision,
            value: None,
            good: None,
        }),
    }
}

fn put(entry: Entry) -> Option<Change> {
    Some(Change {
        name: Name::parse(&entry.key)?,
        revision: entry.revision,
        value: Some(entry.value),
        good: None,
    })
}

fn next_audit() -> Instant {
    Instant::now() + AUDIT_INTERVAL.mul_f64(rand::random_range(0.7..1.3))
}

fn backoff(failures: u32, watcher: bool) -> Duration {
    if !watcher {
        // The time to the next read grows with the age at which this place reads.
        return LOOK_INTERVAL;
    }
    let wait = FIRST_WAIT * 2_u32.saturating_pow(failures.min(8));
    wait.min(LONGEST_WAIT).mul_f64(rand::random_range(0.5..1.0))
}
