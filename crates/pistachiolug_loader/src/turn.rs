//! When an engine loads a new version, so that its service keeps capacity.
//!
//! An engine that loads finishes what it runs and takes nothing new meanwhile. Engines load in groups one after the
//! other; one that serves nothing yet loads at once.

use std::time::Duration;

/// Groups of a service.
const GROUPS: usize = 3;

/// Share of the time allowed for a version after which the first group loads: most agents then hold all pieces.
const FIRST_SHARE: f64 = 0.30;

/// Share of the time allowed between two groups.
const GROUP_SHARE: f64 = 0.17;

/// Returns how long after the naming of a version an engine loads it.
///
/// # Arguments
/// `position` is the agent's among the service's agents, `allowed` the time after which no other version may begin a
/// request.
pub fn delay(position: usize, allowed: Duration) -> Duration {
    let group = (position % GROUPS) as f64;
    allowed.mul_f64(FIRST_SHARE + GROUP_SHARE * group)
}
