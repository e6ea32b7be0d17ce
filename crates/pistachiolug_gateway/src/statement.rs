//! What a backend server states of itself in its answers.

use std::time::Duration;

use pistachiolug_routing::rate_limit;

use crate::backoff::Backoff;

/// What one incarnation of a server has stated. Only its answers change it, here or at another entry.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Statement {
    /// Time for which it wants no requests.
    pub backoff: Backoff,
    /// Whether it is draining; it never takes that back.
    pub is_draining: bool,
    /// Rate to which it limits requests, by its answers here and at other entries.
    pub limit: rate_limit::Statement,
    /// The same by its answers here, which is what this entry tells others; `None` before the first answer. News that went on from entry to entry would
    /// seem later at each of them, and so outlast the end of the limit.
    pub own_limit: Option<rate_limit::Statement>,
    /// When the limit last changed; `None` if there never was one.
    pub limit_changed_at: Option<Duration>,
}

impl Statement {
    /// Merges a statement of the limit in an answer here, and returns whether the limit changes.
    pub(crate) fn record_limit(&mut self, limit: rate_limit::Statement, now: Duration) -> bool {
        match &mut self.own_limit {
            Some(own) => {
                own.merge(limit);
            }
            None => self.own_limit = Some(limit),
        }
        self.merge_limit(limit, now)
    }

    /// Merges a statement of the limit, and returns whether the limit changes.
    pub(crate) fn merge_limit(&mut self, limit: rate_limit::Statement, now: Duration) -> bool {
        let is_changed = self.limit.merge(limit);
        if is_changed {
            self.limit_changed_at = Some(now);
        }
        is_changed
    }
}
