//! Polling of the platform's instance list.

use std::time::Duration;

use pistachiolug_kernel::timer::Timer;
use pistachiolug_platform::directory::Directory;
use tokio::time::sleep;

use crate::view::View;

/// Interval between two polls of the list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Upper estimate of the size of one row of the list in bytes.
const ROW_BYTES: u64 = 256;

/// Budget for reading changed lists, as part of a process's control traffic, in bytes a second.
const LIST_BYTES_PER_SECOND: u64 = 6 * 1024;

/// Keeps `view` up to date with the list; never returns.
///
/// If the list can't be read, `view` keeps the last one.
pub async fn run<D: Directory>(directory: D, view: View, timer: Timer) {
    let mut ticks = timer.subscribe(POLL_INTERVAL, POLL_INTERVAL / 4);
    loop {
        match directory.read(view.snapshot().version).await {
            Ok(Some(snapshot)) => {
                let rows = snapshot.instances.len();
                view.replace(snapshot);
                sleep(list_pause(rows)).await;
            }
            Ok(None) => {}
            Err(error) => log::warn!(error:% = error; "failed to read the instance list"),
        }
        ticks.next().await;
    }
}

/// Returns the extra pause after a list of `rows` rows was read.
///
/// It keeps the traffic in the budget even if the list changes before every poll.
pub fn list_pause(rows: usize) -> Duration {
    let bytes = rows as u64 * ROW_BYTES;
    let pause = Duration::from_millis(bytes * 1000 / LIST_BYTES_PER_SECOND);
    pause.saturating_sub(POLL_INTERVAL)
}
