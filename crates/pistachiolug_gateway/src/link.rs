//! Congestion of the link to one server, as shown by the times that opening connections takes.
//!
//! It answers links that weights or a disruption fill: a request waits in their queues for seconds, and may begin at the server
//! long after it was withdrawn.

use std::time::Duration;

/// Time to open a connection from which the link counts as congested; many times the delay between regions.
const SLOW_CONNECT_TIME: Duration = Duration::from_millis(80);

/// Time for which a link counts as congested after a slow connection.
const CONGESTION_TIME: Duration = Duration::from_secs(3);

/// Time before a version is outdated from which it begins no more requests behind a congested link; requests were seen to
/// arrive up to 2.5 s late.
pub const CONGESTION_MARGIN: Duration = Duration::from_millis(2500);

/// Link to one server; times are those of the process's clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct Link {
    /// When the last slow connection was opened, or given up; `None` if there was none.
    slow_at: Option<Duration>,
}

impl Link {
    /// Records how long opening a connection took, or how long it was waited for.
    pub fn record_connect(&mut self, connect_time: Duration, now: Duration) {
        if connect_time >= SLOW_CONNECT_TIME {
            self.slow_at = Some(now);
        }
    }

    /// Returns whether requests may wait on the link.
    pub fn is_congested(&self, now: Duration) -> bool {
        self.slow_at
            .is_some_and(|slow_at| now < slow_at + CONGESTION_TIME)
    }
}
