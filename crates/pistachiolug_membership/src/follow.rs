//! Following of the platform's instance list.

use std::time::Duration;

use pistachiolug_platform::directory::Directory;
use tokio::time::sleep;

use crate::view::View;

/// Interval between two reads of the list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps `view` in line with the list until the process stops.
pub async fn run<D: Directory>(directory: D, view: View) {
    loop {
        match directory.read(view.now().version).await {
            Ok(Some(snapshot)) => view.replace(snapshot),
            Ok(None) => {}
            Err(error) => log::warn!(error:% = error; "instance list not read"),
        }
        sleep(POLL_INTERVAL).await;
    }
}
