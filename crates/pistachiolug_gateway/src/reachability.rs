//! Reach of the key-value service, and what its absence means for servers that vanish from the list.

use std::time::Duration;

/// Time for which servers that vanished while the service was away are still used: those that live are back in the
/// list within two seconds of its return.
const RETURN_GRACE: Duration = Duration::from_millis(2500);

/// Share of a service's servers whose removal at one time looks like lapsed leases rather than a change of the fleet.
const LAPSE_SHARE: f64 = 0.5;

/// Reach of the service; times are those of the process's clock.
#[derive(Debug, Default)]
pub struct Reachability {
    /// Since when it does not answer.
    away_since: Option<Duration>,
    /// When it came back.
    back_at: Option<Duration>,
}

impl Reachability {
    /// Tells whether the service answered last time.
    pub fn is_reachable(&self) -> bool {
        self.away_since.is_none()
    }

    /// Notes that the service answered.
    pub fn record_success(&mut self, now: Duration) {
        if let Some(since) = self.away_since.take() {
            let away_ms = now.saturating_sub(since).as_millis() as u64;
            log::info!(away_ms; "key-value service regained");
            self.back_at = Some(now);
        }
    }

    /// Notes that the service did not answer.
    pub fn record_failure(&mut self, reason: &str, now: Duration) {
        if self.away_since.is_none() {
            log::warn!(reason; "key-value service lost");
            self.away_since = Some(now);
        }
    }

    /// Returns until when servers that the list has just dropped are still used.
    ///
    /// A single removal while the service is well is an order to stop sending.
    ///
    /// # Arguments
    /// `dropped` of the `listed` servers of a service vanished together.
    pub fn usable_until(&self, dropped: usize, listed: usize, now: Duration) -> Duration {
        if self.away_since.is_some() {
            return now + RETURN_GRACE;
        }
        if let Some(back_at) = self.back_at
            && now < back_at + RETURN_GRACE
        {
            return back_at + RETURN_GRACE;
        }
        let lapse = dropped > 1 && dropped as f64 >= listed as f64 * LAPSE_SHARE;
        if lapse { now + RETURN_GRACE } else { now }
    }
}
