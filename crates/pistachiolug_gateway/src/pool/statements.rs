//! What servers state of themselves, as the pool knows it.

use std::time::Duration;

use pistachiolug_routing::rate_limit;

use super::Pool;
use crate::server::Record;

impl Pool {
    /// Records that a server has asked for no requests for a time; returns whether a backoff begins.
    pub fn record_backoff(
        &mut self,
        record: &Record,
        retry_after: Duration,
        now: Duration,
    ) -> bool {
        let statement = self.statement_mut(record);
        statement.is_some_and(|statement| statement.backoff.extend(retry_after, now))
    }

    /// Records that a server has stated that it is draining; returns whether that is new.
    pub fn record_draining(&mut self, record: &Record) -> bool {
        let statement = self.statement_mut(record);
        statement.is_some_and(|statement| !std::mem::replace(&mut statement.is_draining, true))
    }

    /// Records what an answer of a server states of its limit; returns whether the limit changes.
    pub fn record_limit(
        &mut self,
        record: &Record,
        limit: rate_limit::Statement,
        now: Duration,
    ) -> bool {
        let entry = self.sharing.entry();
        let server = self.servers.get_mut(&record.id);
        if let Some(server) = server.filter(|server| server.is_incarnation(record)) {
            return server.change_limits(entry, now, |server| {
                server.statement.record_limit(limit, now)
            });
        }
        let statement = self.statement_mut(record);
        statement.is_some_and(|statement| statement.record_limit(limit, now))
    }
}
