//! Schedule of the load orders of a service's engines, so that the service keeps capacity during a rollout.
//!
//! An engine that loads aborts its streams, which are resumed on other engines, and accepts no requests until it is
//! done. Engines therefore load one after the other within the remaining time. An engine that serves nothing yet loads
//! immediately.

use std::time::Duration;

use tokio::time::sleep;

use crate::{
    plan::LOAD_RESERVE,
    state::{State, Target},
};

/// Longest time over which loads are spread while a newer version is waiting.
const MAX_AWAITED_SPREAD: Duration = Duration::from_millis(2500);

/// Returns how long an engine that has all pieces waits before it loads.
///
/// # Arguments
/// `left` is the time until requests may no longer start on an older version, `position` the agent's rank among
/// `members` agents, and `awaited` whether a newer version waits for this one to be loaded.
pub fn load_delay(left: Duration, position: usize, members: usize, awaited: bool) -> Duration {
    let max_spread = if awaited { MAX_AWAITED_SPREAD } else { left };
    let spread = left.saturating_sub(LOAD_RESERVE).min(max_spread);
    spread.mul_f64(position as f64 / members.max(1) as f64)
}

/// Waits until it is the agent's turn to load. The delay is computed again if a newer version is announced meanwhile, if it
/// becomes known when this one was announced, and after a suspension of the machine.
pub async fn wait_for_turn(state: &State, target: &Target) {
    loop {
        let name = format!("{}/{}", target.model, target.version);
        let (position, members) = state.position(&name);
        let newest = state.newest_target();
        let deadline = newest.map_or(target.deadline, |newest| newest.deadline);
        let left = deadline.saturating_sub(state.now());
        let awaited = state.has_newer_version(target);
        let delay = load_delay(left, position, members, awaited);
        let (left_ms, wait_ms) = (left.as_millis() as u64, delay.as_millis() as u64);
        log::info!(model = target.model.as_str(), version = target.version, position, awaited, left_ms, wait_ms; "load planned");
        if awaited {
            return sleep(delay).await;
        }
        tokio::select! {
            () = sleep(delay) => return,
            () = state.wait_for_announcement() => {}
        }
    }
}
