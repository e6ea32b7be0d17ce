//! What servers state of themselves in their answers.

use std::time::Duration;

use http::{HeaderMap, StatusCode};
use pistachiolug_routing::rate_limit;

use super::State;
use crate::{
    headers,
    metrics::{BACKOFF, DRAINING, LIMITED},
    server::Record,
};

impl State {
    /// Records that a server wants no requests for a time.
    pub fn record_backoff(&self, record: &Record, status: StatusCode, retry_after: Duration) {
        let now = self.now();
        let begins = self.with_pool(|pool| pool.record_backoff(record, retry_after, now));
        if begins {
            let retry_after_ms = retry_after.as_millis() as u64;
            log::info!(server = &*record.id, service = &*record.service, status = status.as_u16(), retry_after_ms; "server asked for a backoff");
            self.metrics.servers_withdrawn.get(BACKOFF).inc();
        }
    }

    /// Records that a server has stated that it is draining.
    pub fn record_draining(&self, record: &Record, status: StatusCode) {
        let is_new = self.with_pool(|pool| pool.record_draining(record));
        if is_new {
            log::info!(server = &*record.id, service = &*record.service, status = status.as_u16(); "server stated that it is draining");
            self.metrics.servers_withdrawn.get(DRAINING).inc();
        }
    }

    /// Records the limit that an answer states, or that it states none. The request was sent at `sent_at`.
    pub fn record_limit(&self, record: &Record, headers: &HeaderMap, sent_at: Duration) {
        let per_second = match headers::limit(headers, &self.options.names) {
            Ok(per_second) => per_second,
            Err(value) => {
                log::warn!(server = &*record.id, value; "limit of a server is not a number of requests per second");
                return;
            }
        };
        let now = self.now();
        let limit = rate_limit::Statement {
            per_second,
            made_after: sent_at,
            made_before: now,
        };
        if self.with_pool(|pool| pool.record_limit(record, limit, now)) {
            self.log_limit(record, per_second, "answer");
        }
    }

    pub(super) fn log_limit(&self, record: &Record, per_second: Option<f64>, from: &str) {
        log::info!(server = &*record.id, service = &*record.service, per_second:?, from; "server's limit changed");
        if per_second.is_some() {
            self.metrics.servers_withdrawn.get(LIMITED).inc();
        }
    }

    /// Logs headers of an answer that this version does not know, each once.
    pub fn record_headers(&self, record: &Record, headers: &HeaderMap) {
        let mut unknown = self.unknown_headers.borrow_mut();
        for name in unknown.find_new(headers, &self.options.names) {
            let value = headers::text(headers, &name).unwrap_or_default();
            log::warn!(server = &*record.id, header = name.as_str(), value; "unknown header in a server's answer");
            self.metrics.unknown_headers.inc();
        }
    }
}
