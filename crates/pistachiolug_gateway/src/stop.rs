//! Order of a stop: unready at once, new connections for a while, then only what is open.

use std::time::Duration;

/// Time after a stop signal for which new connections are still taken: the balancer looks once a second and needs two
/// looks to notice. A balancer without another entry goes on sending; what it sends later could not be finished.
const LINGER: Duration = Duration::from_millis(2600);

/// Stage of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// New connections are taken, each for one request.
    Accepting,
    /// No connection is taken; open requests go on.
    Finishing,
    /// The process may end.
    Done,
}

/// Returns the stage of a stop.
///
/// # Arguments
/// `elapsed` is the time since the stop signal, `open` the number of open requests.
pub fn stage(elapsed: Duration, open: usize) -> Stage {
    if elapsed < LINGER {
        Stage::Accepting
    } else if open > 0 {
        Stage::Finishing
    } else {
        Stage::Done
    }
}
