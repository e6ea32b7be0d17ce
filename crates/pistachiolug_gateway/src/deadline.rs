//! Deadlines on the clock of an entry, which suspensions of its machine and the end of the process bring closer.

use std::time::Duration;

use tokio::time::sleep;

use crate::state::State;

/// Error for a future that was not ready at its deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Passed;

/// Waits until a time of [`State::now`], or until the last answers before the process ends.
pub async fn sleep_until(state: &State, time: Duration) {
    loop {
        // Created first, so that no suspension is missed after the clock was read.
        let deadlines_moved = state.wait_for_moved_deadlines();
        let left = state.bound_by_stop(time).saturating_sub(state.now());
        if left.is_zero() {
            return;
        }
        tokio::select! {
            () = sleep(left) => {}
            () = deadlines_moved => {}
        }
    }
}

/// Waits for a future until a time of [`State::now`], or until the last answers before the process ends.
///
/// # Errors
/// [`Passed`] if the future is not ready then.
pub async fn run_until<T>(
    state: &State,
    time: Duration,
    future: impl Future<Output = T>,
) -> Result<T, Passed> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until(state, time) => Err(Passed),
    }
}
