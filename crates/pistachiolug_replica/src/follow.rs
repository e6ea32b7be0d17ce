//! Keeps [`Rows`] up to date with a key-value service.

use std::{pin::pin, time::Duration};

use pistachiolug_platform::kv::{Error, Position, Store};
use rand::RngExt;
use tokio::time::{Instant, sleep, timeout};

use crate::rows::{Change, Rows};

/// Pause after a watch that returned changes, so that further changes in quick succession are read with one call.
const BATCH_PAUSE: Duration = Duration::from_millis(300);

/// Initial backoff after a failed call.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);

/// Longest backoff after a failed call; a tenth of the time within which a change must take effect.
const MAX_BACKOFF: Duration = Duration::from_millis(600);

/// Interval at which a passive follower checks whether it has to become active, and a watching one whether a new era has
/// begun.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a process notes that a call has not been answered.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

/// Longest wait before all rows are read again because the service doesn't have the events. All followers find that out
/// at the same moment.
const MAX_REREAD_DELAY: Duration = Duration::from_millis(250);

/// Timeout of one read of all rows; long, because several processes may read over the same narrow link at once.
const READ_TIMEOUT: Duration = Duration::from_millis(2500);

/// Receiver of the changes and of the state of the connection.
pub trait Observer {
    /// Runs `act` on the rows, which peers may update as well.
    fn with_rows<T>(&self, act: impl FnOnce(&mut Rows) -> T) -> T;

    /// Handles changes that were made to the rows, in order; `changes` may be empty.
    ///
    /// # Arguments
    /// `made_after` is a time after which all of them were made, by [`Observer::now`]; `None` if they may have been made at
    /// any time before.
    fn on_changes(&self, changes: Vec<Change>, made_after: Option<Duration>);

    /// Returns the time of the process's clock.
    fn now(&self) -> Duration;

    /// Returns whether to call the service now; `false` while another process follows it on behalf of this one.
    fn is_active(&self) -> bool;

    /// Handles the outcome of a call: the service answered, or the error says why not.
    fn on_contact(&self, result: Result<(), &Error>);
}

/// Follows the rows under `prefix`; never returns.
///
/// All rows are read first. After that, changes are watched. All rows are read again after a watch that failed, and once
/// the service has named a newer era than that of the rows.
///
/// # Arguments
/// `wait` chooses the longest time of one watch. If the service loses a watch without an error, this is noticed only when
/// the time is over, so it bounds how long changes can be missed.
pub async fn run<S: Store, O: Observer>(
    store: S,
    prefix: &str,
    wait: impl Fn() -> Duration,
    observer: O,
) {
    let mut backoff = INITIAL_BACKOFF;
    let mut has_rows = false;
    loop {
        if !observer.is_active() {
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        let start = Instant::now();
        let is_outdated = observer.with_rows(|rows| rows.position().era < store.era());
        let result = if has_rows && !is_outdated {
            watch(&store, prefix, wait(), &observer).await
        } else {
            read(&store, prefix, &observer).await
        };
        match result {
            Ok(has_changes) => {
                has_rows = true;
                backoff = INITIAL_BACKOFF;
                observer.on_contact(Ok(()));
                if has_changes {
                    sleep(BATCH_PAUSE).await;
                }
            }
            // The service has dropped the history that the watch starts from, or is in another era.
            Err(Error::Compacted { .. }) => {
                has_rows = false;
                sleep(MAX_REREAD_DELAY.mul_f64(rand::random())).await;
            }
            Err(error) => {
                // A failed watch may have missed changes, and the history may no longer have them.
                has_rows = false;
                observer.on_contact(Err(&error));
                // A call that took longer than the backoff needs no further wait.
                if start.elapsed() < backoff {
                    sleep(with_jitter(backoff)).await;
                }
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Reads all rows; returns `false`, because no pause for further changes is needed.
async fn read<S: Store, O: Observer>(store: &S, prefix: &str, observer: &O) -> Result<bool, Error> {
    let start = Instant::now();
    let asked_at = observer.now();
    let range = timeout(READ_TIMEOUT, store.range(prefix)).await;
    let range = range.unwrap_or_else(|_| {
        Err(Error::Unavailable {
            reason: "read of all rows timed out".to_owned(),
        })
    })?;
    if range.position.era < store.era() {
        return Err(Error::unavailable("the answer is of an earlier era"));
    }
    let bytes: usize = range.entries.iter().map(|entry| entry.value.len()).sum();
    let taken_ms = start.elapsed().as_millis() as u64;
    let Position { era, revision } = range.position;
    log::info!(prefix, era, revision, rows = range.entries.len(), bytes, taken_ms; "read all rows under the prefix");
    let (changes, made_after) = observer.with_rows(|rows| {
        let made_after = rows.complete_at();
        let position = range.position;
        let changes = rows.reset(range);
        rows.confirm(position, asked_at);
        (changes, made_after)
    });
    observer.on_changes(changes, made_after);
    Ok(false)
}

/// Waits for changes and applies them; returns whether there were any.
async fn watch<S: Store, O: Observer>(
    store: &S,
    prefix: &str,
    wait: Duration,
    observer: &O,
) -> Result<bool, Error> {
    let after = observer.with_rows(|rows| rows.position());
    let asked_at = observer.now();
    let watching = async {
        tokio::select! {
            events = store.watch(prefix, after, wait) => events,
            () = wait_for_later_era(store, after.era) => Err(Error::Compacted { oldest: 0 }),
        }
    };
    let (events, unanswered_at) = run_looking(watching, observer).await;
    let events = events?;
    // A watch without events is answered once its wait is over, or earlier if it is cut.
    let answered_at = if events.is_empty() {
        unanswered_at.min(asked_at + wait)
    } else {
        asked_at
    };
    let (changes, made_after) = observer.with_rows(|rows| {
        let made_after = rows.complete_at();
        let changes = rows.apply(after.era, events);
        let position = rows.position();
        if position.era == after.era {
            rows.confirm(position, answered_at);
        }
        (changes, made_after)
    });
    let has_changes = !changes.is_empty();
    observer.on_changes(changes, made_after);
    Ok(has_changes)
}

/// Runs a call and returns a time at which its answer had not arrived. If the process stood still before the answer was
/// read, that may be long ago.
async fn run_looking<T, O: Observer>(call: impl Future<Output = T>, observer: &O) -> (T, Duration) {
    let mut call = pin!(call);
    let mut unanswered_at = observer.now();
    loop {
        let looked_at = observer.now();
        match timeout(LOOK_INTERVAL, &mut call).await {
            Ok(answer) => return (answer, unanswered_at),
            // The timer fires after a look at the connection, and the process may have stood still since.
            Err(_) => unanswered_at = looked_at + LOOK_INTERVAL,
        }
    }
}

/// Waits until an answer to another call has named a later era.
async fn wait_for_later_era<S: Store>(store: &S, era: u64) {
    while store.era() <= era {
        sleep(CHECK_INTERVAL).await;
    }
}

/// Returns a random duration between half of `duration` and all of it.
fn with_jitter(duration: Duration) -> Duration {
    duration.mul_f64(rand::rng().random_range(0.5..1.0))
}
