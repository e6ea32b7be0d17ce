//! When an engine loads a new version, so that its service keeps capacity.
//!
//! An engine that loads breaks its streams off, which go on elsewhere, and takes nothing new meanwhile. Engines load one
//! after the other over the time that is left; one that serves nothing yet loads at once.

use std::time::Duration;

use tokio::time::sleep;

use crate::state::{State, Target};

/// Time that is kept for the last engine's load, and for entries that hold the version to be due a little earlier.
const LOAD_TIME: Duration = Duration::from_millis(1400);

/// Longest time over which loads are spread while a newer version waits for them.
const AWAITED_SPREAD: Duration = Duration::from_millis(2500);

/// Returns how long an engine that has all pieces waits before it loads.
///
/// # Arguments
/// `left` is the time until no older version may begin a request, `position` the agent's among `members`. `awaited`
/// tells that a newer version waits for this one.
pub fn load_delay(left: Duration, position: usize, members: usize, awaited: bool) -> Duration {
    let most = if awaited { AWAITED_SPREAD } else { left };
    let spread = left.saturating_sub(LOAD_TIME).min(most);
    spread.mul_f64(position as f64 / members.max(1) as f64)
}

/// Waits until it is an agent's turn to load; the turn is planned anew when a newer version is named meanwhile.
pub async fn wait_for_turn(state: &State, want: &Target) {
    loop {
        let name = format!("{}/{}", want.model, want.version);
        let (position, members) = state.position(&name);
        let left = want.deadline.saturating_sub(state.now());
        let awaited = state.has_newer_version(want);
        let delay = load_delay(left, position, members, awaited);
        let (left_ms, wait_ms) = (left.as_millis() as u64, delay.as_millis() as u64);
        log::info!(model = want.model.as_str(), version = want.version, position, awaited, left_ms, wait_ms; "load planned");
        if awaited {
            return sleep(delay).await;
        }
        tokio::select! {
            () = sleep(delay) => return,
            () = state.wait_for_newer_version(want) => {}
        }
    }
}
