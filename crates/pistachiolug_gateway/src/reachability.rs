//! Reachability of the key-value service, and how it affects servers that disappear from the list.

use std::time::Duration;

use pistachiolug_platform::kv;

/// Time for which servers that disappeared while the service was unreachable are still used. Live servers are in the
/// list again within two seconds of its recovery.
const RECOVERY_GRACE: Duration = Duration::from_millis(2500);

/// Share of a service's servers whose simultaneous removal looks like expired leases rather than an intended change.
const EXPIRY_SHARE: f64 = 0.5;

/// Reachability of the service; times are those of the process's clock.
#[derive(Debug, Default)]
pub struct Reachability {
    /// When the service stopped answering; `None` while it answers.
    unreachable_since: Option<Duration>,
    /// Whether the last call was refused because there were too many calls, which is no fault of the service.
    is_throttled: bool,
    /// When the service last answered again after an outage, or was found to have come back from an earlier copy.
    recovered_at: Option<Duration>,
}

impl Reachability {
    /// Returns whether the service answered the last call.
    pub fn is_reachable(&self) -> bool {
        self.unreachable_since.is_none()
    }

    /// Returns whether the last call failed for another reason than the rate of calls.
    pub fn fails(&self) -> bool {
        !self.is_reachable() && !self.is_throttled
    }

    /// Records that the key-value service answered.
    pub fn record_success(&mut self, now: Duration) {
        self.is_throttled = false;
        if let Some(since) = self.unreachable_since.take() {
            let away_ms = now.saturating_sub(since).as_millis() as u64;
            log::info!(away_ms; "key-value service reachable again");
            self.recovered_at = Some(now);
        }
    }

    /// Records that the service has come back from an earlier copy, from which live servers may be missing.
    pub fn record_restore(&mut self, now: Duration) {
        self.recovered_at = Some(now);
    }

    /// Records that the service did not answer, or refused a call.
    pub fn record_failure(&mut self, error: &kv::Error, now: Duration) {
        self.is_throttled = matches!(error, kv::Error::Throttled { .. });
        if self.unreachable_since.is_none() {
            log::warn!(reason:% = error; "key-value service unreachable");
            self.unreachable_since = Some(now);
        }
    }

    /// Returns until when servers that have just disappeared from the list are still used.
    ///
    /// While the service is reachable, the removal of a single server takes effect at once.
    ///
    /// # Arguments
    /// `dropped` of the `listed` servers of a service disappeared together.
    pub fn usable_until(&self, dropped: usize, listed: usize, now: Duration) -> Duration {
        if self.unreachable_since.is_some() {
            return now + RECOVERY_GRACE;
        }
        if let Some(recovered_at) = self.recovered_at
            && now < recovered_at + RECOVERY_GRACE
        {
            return recovered_at + RECOVERY_GRACE;
        }
        let looks_expired = dropped > 1 && dropped as f64 >= listed as f64 * EXPIRY_SHARE;
        if looks_expired {
            now + RECOVERY_GRACE
        } else {
            now
        }
    }
}
