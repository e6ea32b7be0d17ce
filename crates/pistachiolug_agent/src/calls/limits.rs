//! Limits of customers in tokens a minute, as far as this agent enforces them.

use std::time::Duration;

use pistachiolug_routing::limit::Bucket;
use rustc_hash::FxHashMap;

/// Part of a minute that may be spent at once.
const BURST_PART: u64 = 6;

/// Buckets by customer.
#[derive(Debug, Default)]
pub(super) struct Limits {
    /// Buckets that are not full; a full one is as good as none.
    buckets: FxHashMap<String, (u64, Bucket)>,
}

impl Limits {
    /// Takes a call's cost from the customer's bucket of `rate` tokens a minute; 0 means no limit.
    ///
    /// # Errors
    /// The time after which the customer may come back.
    pub(super) fn take(
        &mut self,
        customer: &str,
        rate: u64,
        cost: u32,
        now: Duration,
    ) -> Result<(), Duration> {
        if rate == 0 {
            return Ok(());
        }
        if !self.buckets.contains_key(customer) {
            let bucket = Bucket::new(burst(rate), now);
            self.buckets.insert(customer.to_owned(), (rate, bucket));
        }
        let Some((known, bucket)) = self.buckets.get_mut(customer) else {
            return Ok(());
        };
        *known = rate;
        bucket.take(rate, burst(rate), cost.into(), now)
    }

    /// Corrects what a call was charged by what it cost.
    pub(super) fn settle(&mut self, customer: &str, estimated: u32, real: u32) {
        if let Some((_, bucket)) = self.buckets.get_mut(customer) {
            bucket.settle(estimated.into(), real.into());
        }
    }

    /// Forgets the full buckets.
    pub(super) fn trim(&mut self, now: Duration) {
        self.buckets
            .retain(|_, (rate, bucket)| !bucket.is_full(*rate, burst(*rate), now));
    }

    /// Returns the number of customers with a bucket.
    pub(super) fn len(&self) -> usize {
        self.buckets.len()
    }
}

fn burst(rate: u64) -> u64 {
    (rate / BURST_PART).max(1)
}
