//! Lease with an expiry time on the holder's monotonic clock; the service checks the lease again at each write.

use std::time::Duration;

use tokio::time::Instant;

use super::{Error, Lease, Precondition, Store, Swap};

/// Share of a lease's time that its holder does not use, because clocks run at different rates and answers may be slow.
const SAFETY_MARGIN: f64 = 0.25;

/// Lease and the time after which its holder no longer uses it.
#[derive(Debug, Clone, Copy)]
pub struct HeldLease {
    lease: Lease,
    ttl: Duration,
    /// Era of the service when the lease was granted; a later one does not know the lease.
    era: u64,
    /// Time that is earlier than the end of the lease at the service, since it counts from before the call that granted
    /// or renewed the lease.
    expires_at: Instant,
}

impl HeldLease {
    /// Requests a lease from the service.
    ///
    /// # Errors
    /// Returns the service's error.
    pub async fn grant<S: Store>(store: &S, ttl: Duration) -> Result<Self, Error> {
        let requested_at = Instant::now();
        let lease = store.grant(ttl).await?;
        Ok(Self {
            lease,
            ttl,
            era: store.era(),
            expires_at: requested_at + usable_time(ttl),
        })
    }

    /// Renews the lease, unless it has expired on the holder's clock, even if it is still valid at the service, or is of
    /// an earlier era of the service.
    ///
    /// # Errors
    /// [`Error::LeaseEnded`] or the service's error; the expiry time does not change then.
    pub async fn renew<S: Store>(&mut self, store: &S) -> Result<(), Error> {
        self.check_held(store)?;
        let requested_at = Instant::now();
        store.keep_alive(self.lease).await?;
        self.expires_at = requested_at + usable_time(self.ttl);
        Ok(())
    }

    /// Returns whether the lease is certainly still valid.
    pub fn is_held(&self) -> bool {
        Instant::now() < self.expires_at
    }

    fn check_held<S: Store>(&self, store: &S) -> Result<(), Error> {
        if self.is_held() && store.era() == self.era {
            Ok(())
        } else {
            Err(Error::LeaseEnded)
        }
    }

    /// Writes a key that is bound to the lease.
    ///
    /// The write has no effect if the holder is paused between the check of the expiry time and the write: the service
    /// refuses a write whose lease has ended, and the precondition does not hold if another holder has written the key.
    ///
    /// # Errors
    /// [`Error::LeaseEnded`] or the service's error.
    pub async fn swap<S: Store>(
        &self,
        store: &S,
        key: &str,
        precondition: Precondition,
        value: &[u8],
    ) -> Result<Swap, Error> {
        self.check_held(store)?;
        store
            .swap(key, precondition, Some(value), Some(self.lease))
            .await
    }
}

fn usable_time(ttl: Duration) -> Duration {
    ttl.mul_f64(1.0 - SAFETY_MARGIN)
}
