//! Follows a key-value service into [`Rows`].

use std::time::Duration;

use pistachiolug_platform::kv::{Error, Store};
use rand::RngExt;
use tokio::time::{Instant, sleep, timeout};

use crate::rows::{Change, Rows};

/// Pause after a watch that brought changes, so that changes in quick succession share a call.
const BATCH_PAUSE: Duration = Duration::from_millis(150);

/// First pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause after a failed call; a tenth of the seconds within which a change must be in force.
const RETRY_PAUSE_MOST: Duration = Duration::from_millis(600);

/// Interval at which a passive follower looks whether it has to become active.
const PASSIVE_PAUSE: Duration = Duration::from_millis(100);

/// Longest time one read of all rows may take; they may have to share a narrow link with those of others.
const READ_TIMEOUT: Duration = Duration::from_millis(2500);

/// Receives what the follower learns.
pub trait Observer {
    /// Gives access to the rows, which peers may also bring up to date.
    fn with_rows<T>(&self, act: impl FnOnce(&mut Rows) -> T) -> T;

    /// Takes changes of rows, in order.
    fn on_changes(&self, changes: Vec<Change>);

    /// Tells whether to ask the service now; others may follow it in this process's place.
    fn is_active(&self) -> bool;

    /// Notes that the service answers, or why it does not.
    fn on_contact(&self, result: Result<(), &Error>);
}

/// Follows the rows under `prefix` for as long as the process runs.
///
/// # Arguments
/// `wait` is the longest wait of one watch. A watch that the service has swallowed is noticed only when it is over, so
/// this bounds how long changes may stay unseen.
pub async fn run<S: Store, O: Observer>(store: S, prefix: &str, wait: Duration, observer: O) {
    let mut pause = RETRY_PAUSE;
    let mut known = false;
    loop {
        if !observer.is_active() {
            sleep(PASSIVE_PAUSE).await;
            continue;
        }
        let start = Instant::now();
        let step = if known {
            watch(&store, prefix, wait, &observer).await
        } else {
            read(&store, prefix, &observer).await
        };
        match step {
            Ok(changed) => {
                known = true;
                pause = RETRY_PAUSE;
                observer.on_contact(Ok(()));
                if changed {
                    sleep(BATCH_PAUSE).await;
                }
            }
            // The service has dropped the history that the watch asked for.
            Err(Error::Compacted { .. }) => known = false,
            Err(error) => {
                // A watch that was cut may have missed changes that the history no longer holds.
                known = false;
                observer.on_contact(Err(&error));
                // A call that took its time has waited already.
                if start.elapsed() < pause {
                    sleep(jittered(pause)).await;
                }
                pause = (pause * 2).min(RETRY_PAUSE_MOST);
            }
        }
    }
}

async fn read<S: Store, O: Observer>(store: &S, prefix: &str, observer: &O) -> Result<bool, Error> {
    let start = Instant::now();
    let range = timeout(READ_TIMEOUT, store.range(prefix)).await;
    let range = range.unwrap_or_else(|_| {
        Err(Error::Unavailable {
            reason: "no answer in time".to_owned(),
        })
    })?;
    let bytes: usize = range.entries.iter().map(|entry| entry.value.len()).sum();
    let taken_ms = start.elapsed().as_millis() as u64;
    log::info!(prefix, revision = range.revision, rows = range.entries.len(), bytes, taken_ms; "rows read");
    let changes = observer.with_rows(|rows| rows.reset(range));
    observer.on_changes(changes);
    Ok(false)
}

async fn watch<S: Store, O: Observer>(
    store: &S,
    prefix: &str,
    wait: Duration,
    observer: &O,
) -> Result<bool, Error> {
    let after = observer.with_rows(|rows| rows.revision());
    let events = store.watch(prefix, after, wait).await?;
    let changes = observer.with_rows(|rows| rows.apply(events));
    let changed = !changes.is_empty();
    observer.on_changes(changes);
    Ok(changed)
}

fn jittered(pause: Duration) -> Duration {
    pause.mul_f64(rand::rng().random_range(0.5..1.0))
}
