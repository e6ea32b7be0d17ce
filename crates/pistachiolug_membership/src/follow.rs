//! Following of the platform's instance list.

use std::time::Duration;

use pistachiolug_kernel::timer::Timer;
use pistachiolug_platform::directory::Directory;
use tokio::time::sleep;

use crate::view::View;

/// Interval between two reads of the list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes of one row of the list, rounded up.
const ROW_BYTES: u64 = 256;

/// Part of a process's control traffic that whole lists may take, in bytes a second.
const LIST_BYTES_PER_SECOND: u64 = 6 * 1024;

/// Keeps `view` in line with the list until the process stops; an outage leaves the last list in place.
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
            Err(error) => log::warn!(error:% = error; "instance list not read"),
        }
        ticks.next().await;
    }
}

/// Returns how long to wait after a whole list of `rows` so that lists which change all the time stay in budget.
pub fn list_pause(rows: usize) -> Duration {
    let bytes = rows as u64 * ROW_BYTES;
    let pause = Duration::from_millis(bytes * 1000 / LIST_BYTES_PER_SECOND);
    pause.saturating_sub(POLL_INTERVAL)
}
