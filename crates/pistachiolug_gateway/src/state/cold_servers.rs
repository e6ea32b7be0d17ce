//! Cold servers, which all entries together send few requests.

use std::{hash::Hasher, time::Duration};

use rustc_hash::FxHasher;

use super::State;
use crate::{config::Config, pool::Pool};

impl State {
    /// Applies the limits of cold servers in a configuration.
    pub(super) fn apply_cold_limits(&self, config: &Config) {
        let mut hasher = FxHasher::default();
        hasher.write(self.options.name.as_bytes());
        let (entry, now) = (hasher.finish(), self.now());
        let bound = self.options.cold_bound.as_ref();
        self.with_pool(|pool| pool.apply_config(config, entry, bound, now));
        self.count_cold_servers(now);
    }

    /// Sets the metric of cold servers.
    pub(super) fn count_cold_servers(&self, now: Duration) {
        let count = self.pool.borrow().count_cold(now);
        let count = i64::try_from(count.unwrap_or(0)).unwrap_or(i64::MAX);
        self.metrics.cold_servers.set(count);
    }
}

/// Records that the entry runs, and logs if it was suspended before.
pub(super) fn record_round(pool: &mut Pool, now: Duration) {
    if pool.record_round(now) {
        log::info!("servers count as cold after a suspension of this entry");
    }
}
