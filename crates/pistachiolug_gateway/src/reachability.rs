//! Reachability of the key-value service, and how it affects servers that disappear from the list.

use std::time::Duration;

use pistachiolug_platform::kv;

/// Time for which servers that disappeared while the service was unreachable are still used. Live servers are in the
/// list again within two seconds of its recovery.
const RECOVERY_GRACE: Duration = Duration::from_millis(2500);

/// Longest time between two answers to entries that is no outage. Their watches are answered at least this often, and the row of
/// a live server expires only after a longer silence of the service.
const MAX_ANSWER_GAP: Duration = Duration::from_secs(2);

/// Reachability of the service; times are those of the process's clock.
#[derive(Debug, Default)]
pub struct Reachability {
    /// When the service stopped answering; `None` while it answers.
    unreachable_since: Option<Duration>,
    /// Whether the last call was refused because there were too many calls, which is no fault of the service.
    is_throttled: bool,
    /// When the service last answered any entry, as far as this one has heard.
    answered_at: Option<Duration>,
    /// When the service last answered another entry, as far as this one has heard.
    answered_others_at: Option<Duration>,
    /// Whether the service, since it stopped answering this entry, did not answer the others either for a while.
    is_away_for_all: bool,
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

    /// Records that the key-value service answered this entry.
    pub fn record_success(&mut self, now: Duration) {
        self.record_answer(now);
        self.end_failure(now);
    }

    /// Records that the key-value service has made changes to the rows, of which this entry may have heard from another one.
    pub fn record_changes(&mut self, now: Duration) {
        self.record_answer(now);
    }

    /// Records that another entry, which makes the calls in place of this one, reaches the service.
    pub fn record_contact_of_other(&mut self, now: Duration) {
        self.end_failure(now);
    }

    fn end_failure(&mut self, now: Duration) {
        self.is_throttled = false;
        let is_away_for_all = self.is_away_for_all(now);
        if let Some(since) = self.unreachable_since.take() {
            let away_ms = now.saturating_sub(since).as_millis() as u64;
            log::info!(away_ms, is_away_for_all; "key-value service reachable again");
            // While the service answered others, servers kept their rows.
            if is_away_for_all {
                self.recovered_at = Some(now);
            }
        }
        self.is_away_for_all = false;
    }

    /// Records an answer of the service to any entry. One that comes after a silence ends an outage, also if no call failed.
    fn record_answer(&mut self, at: Duration) {
        if let Some(answered_at) = self.answered_at
            && self.is_silent(at)
        {
            let silent_ms = at.saturating_sub(answered_at).as_millis() as u64;
            log::info!(silent_ms; "key-value service answers again after a silence");
            self.recovered_at = self.recovered_at.max(Some(at));
        }
        self.answered_at = self.answered_at.max(Some(at));
    }

    /// Returns whether the service has answered no entry for a while, as far as this one has heard.
    fn is_silent(&self, now: Duration) -> bool {
        let answered = self.answered_at;
        answered.is_some_and(|answered| now.saturating_sub(answered) > MAX_ANSWER_GAP)
    }

    /// Records that the service has answered another entry at a time.
    pub fn record_answer_to_other(&mut self, at: Duration) {
        self.record_answer(at);
        self.is_away_for_all |= self.is_away_for_all(at);
        self.answered_others_at = self.answered_others_at.max(Some(at));
    }

    /// Returns whether the service did not answer other entries for a while until `at` either, in an outage of this one. If
    /// this entry hears of no answers to others, it can't tell, and the service counts as away for all.
    fn is_away_for_all(&self, at: Duration) -> bool {
        let answered = self.answered_others_at;
        let is_gap = answered.is_none_or(|answered| at.saturating_sub(answered) > MAX_ANSWER_GAP);
        self.unreachable_since.is_some() && (self.is_away_for_all || is_gap)
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
    /// A removal takes effect at once, however many servers disappear together, unless their leases may have expired because the
    /// service is, or was until shortly before, away for all. Called before the answer is recorded that brings the removal.
    pub fn usable_until(&self, now: Duration) -> Duration {
        if self.is_away_for_all(now) || self.is_silent(now) {
            return now + RECOVERY_GRACE;
        }
        let recovered_at = self.recovered_at;
        recovered_at.map_or(now, |recovered_at| now.max(recovered_at + RECOVERY_GRACE))
    }
}
