//! Lease as its holder sees it: held only while the monotonic clock says so, and checked again at each write.

use std::time::Duration;

use tokio::time::Instant;

use super::{Error, Lease, Precondition, Store, Swap};

/// Part of the lease's time that is left unused, for clocks that run at different rates and for slow answers.
const MARGIN: f64 = 0.25;

/// Lease with the time at which its holder gives it up.
#[derive(Debug, Clone, Copy)]
pub struct HeldLease {
    lease: Lease,
    ttl: Duration,
    /// Before the service ends the lease: counted from before the call that granted or renewed it.
    ends: Instant,
}

impl HeldLease {
    /// Grants a lease.
    ///
    /// # Errors
    /// Returns the service's error.
    pub async fn grant<S: Store>(store: &S, ttl: Duration) -> Result<Self, Error> {
        let asked = Instant::now();
        let lease = store.grant(ttl).await?;
        Ok(Self {
            lease,
            ttl,
            ends: asked + usable(ttl),
        })
    }

    /// Renews the lease; one that has lapsed here is not renewed even if the service still knows it.
    ///
    /// # Errors
    /// [`Error::LeaseEnded`] or the service's error; the old end then stays.
    pub async fn renew<S: Store>(&mut self, store: &S) -> Result<(), Error> {
        if !self.is_held() {
            return Err(Error::LeaseEnded);
        }
        let asked = Instant::now();
        store.keep_alive(self.lease).await?;
        self.ends = asked + usable(self.ttl);
        Ok(())
    }

    /// Tells whether the lease is surely held now.
    pub fn is_held(&self) -> bool {
        Instant::now() < self.ends
    }

    /// Writes a key bound to the lease.
    ///
    /// The service refuses it when the lease has ended meanwhile, and the condition refuses it when another holder has
    /// written, so a holder that was paused between the check and the write changes nothing.
    ///
    /// # Errors
    /// [`Error::LeaseEnded`] or the service's error.
    pub async fn swap<S: Store>(
        &self,
        store: &S,
        key: &str,
        expect: Precondition,
        value: &[u8],
    ) -> Result<Swap, Error> {
        if !self.is_held() {
            return Err(Error::LeaseEnded);
        }
        store.swap(key, expect, Some(value), Some(self.lease)).await
    }
}

fn usable(ttl: Duration) -> Duration {
    ttl.mul_f64(1.0 - MARGIN)
}
