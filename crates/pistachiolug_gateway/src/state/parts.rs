//! Parts of prompts that crash servers, as an entry knows them.

use std::time::Duration;

use pistachiolug_routing::attribution::{Limit, Part, Span};
use pistachiolug_weights::order::Key;
use pistachiolug_wire::datagram::{Crash, Culprit};
use rustc_hash::FxHashMap;

use super::{SUSPECT_RETENTION, State};
use crate::{
    fingerprint::Fingerprint,
    losses::Loss,
    metrics::{CLEARED, NAMED, RERUN},
};

/// Bounds of the attribution: 128 crashes with 128 parts each take about 0.5 MiB.
pub(super) const LIMIT: Limit = Limit {
    retention: SUSPECT_RETENTION,
    answer_retention: Duration::from_secs(30),
    max_crashes: 128,
    max_parts: 128,
    max_answers: 8192,
    max_named: 32,
    min_moments: 3,
    min_silence: Duration::from_secs(2),
    min_crashes: 5,
    settle_time: Duration::from_millis(500),
    moment: Duration::from_millis(200),
    max_reruns: 2,
    rerun_delay: Duration::from_secs(30),
};

impl State {
    fn attribution_now(&self) -> Duration {
        attribution_time(self.now())
    }

    /// Records the parts of the requests that were lost when a server crashed.
    pub(super) fn record_crashed_parts(&self, incarnation: u64, losses: &[Loss]) {
        let parts = losses.iter().flat_map(|loss| loss.fingerprint.parts.iter());
        let parts: Vec<Part> = parts.copied().collect();
        let heard_at = losses.iter().map(|loss| loss.heard_at).max();
        let Some(heard_at) = heard_at.filter(|_| !parts.is_empty()) else {
            return;
        };
        // An answer may have been lost before, while the server went on.
        let lost_at = losses.iter().map(|loss| loss.lost_at);
        let lost_at = lost_at.filter(|lost_at| *lost_at >= heard_at).min();
        let span = Span {
            heard_at: attribution_time(heard_at),
            lost_at: attribution_time(lost_at.unwrap_or(heard_at)),
        };
        let now = self.attribution_now();
        self.attribution
            .borrow_mut()
            .record_crash(incarnation, span, &parts, now);
        self.report_part_changes();
    }

    /// Records that a request with this fingerprint got a complete answer at `at`.
    pub(super) fn record_answered_parts(&self, fingerprint: &Fingerprint, at: Duration) {
        let (at, now) = (attribution_time(at), self.attribution_now());
        self.attribution
            .borrow_mut()
            .record_answer(&fingerprint.parts, at, now);
        self.report_part_changes();
    }

    /// Returns the time until requests with these parts may run; `None` if they may run now.
    pub(super) fn part_delay(&self, fingerprint: &Fingerprint) -> Option<Duration> {
        let may_rerun = |part| self.is_first_for(part);
        let mut attribution = self.attribution.borrow_mut();
        attribution.delay(&fingerprint.parts, may_rerun, self.attribution_now())
    }

    /// Returns whether a request with these parts may be sent now; one with a named part uses up a rerun.
    pub(super) fn try_run_parts(&self, fingerprint: &Fingerprint) -> bool {
        let may_rerun = |part| self.is_first_for(part);
        let mut attribution = self.attribution.borrow_mut();
        let is_allowed = attribution.try_run(&fingerprint.parts, may_rerun, self.attribution_now());
        let named = attribution.find_named(&fingerprint.parts);
        drop(attribution);
        if let Some(part) = named.filter(|_| is_allowed) {
            log::warn!(part:% = hex(part.id); "request with a named part is tried again");
            self.metrics.parts.get(RERUN).inc();
        }
        is_allowed
    }

    /// Returns the named part because of which a request is refused; `None` if it has none.
    pub fn find_named_part(&self, fingerprint: &Fingerprint) -> Option<Part> {
        self.attribution.borrow().find_named(&fingerprint.parts)
    }

    /// Adds crashes that another entry reported; [`State::update_named_parts`] has to follow.
    pub fn merge_crashes(&self, crashes: &[Crash]) {
        let now = self.attribution_now();
        self.attribution.borrow_mut().merge_crashes(crashes, now);
    }

    /// Names parts by the crashes that other entries have reported.
    pub fn update_named_parts(&self) {
        let now = self.attribution_now();
        self.attribution.borrow_mut().update(now);
        self.report_part_changes();
    }

    /// Adds named parts that another entry reported.
    pub fn merge_culprits(&self, culprits: &[Culprit]) {
        let now = self.attribution_now();
        self.attribution.borrow_mut().merge_culprits(culprits, now);
        self.report_part_changes();
    }

    /// Adds what the key-value service holds of a part.
    pub fn merge_saved_culprit(&self, culprit: &Culprit) {
        record_saved(&mut self.saved_reruns.borrow_mut(), culprit);
        self.merge_culprits(std::slice::from_ref(culprit));
    }

    /// Records that the row of a part is gone from the key-value service; it is written again if the part is named.
    pub fn forget_saved_culprit(&self, part: u64) {
        self.saved_reruns.borrow_mut().remove(&part);
    }

    /// Returns what this entry has found out about crashes within `age`.
    pub fn crash_updates(&self, age: Duration) -> Vec<Crash> {
        let now = self.attribution_now();
        let attribution = self.attribution.borrow();
        attribution.updates(now.saturating_sub(age), now)
    }

    /// Returns the named parts of which a request ran within `age`.
    pub fn rerun_culprits(&self, age: Duration) -> Vec<Culprit> {
        let mut culprits = self.culprits();
        culprits.retain(|culprit| {
            let rerun_age_ms = culprit.rerun_age_ms.map(u128::from);
            rerun_age_ms.is_some_and(|rerun_age_ms| rerun_age_ms < age.as_millis())
        });
        culprits
    }

    /// Returns all named parts.
    pub fn culprits(&self) -> Vec<Culprit> {
        self.attribution.borrow().culprits(self.attribution_now())
    }

    /// Removes crashes that have expired.
    pub fn expire_crashes(&self) {
        let now = self.attribution_now();
        self.attribution.borrow_mut().expire(now);
        self.report_part_changes();
    }

    /// Takes a part whose row in the key-value service is missing or outdated, if this entry has to write it; `None` if
    /// there is none.
    pub fn take_unsaved_culprit(&self) -> Option<Culprit> {
        let attribution = self.attribution.borrow();
        let mut saved_reruns = self.saved_reruns.borrow_mut();
        let is_outdated = |part: u64| {
            let is_named = attribution.is_named(part);
            let reruns = is_named.then(|| attribution.reruns(part));
            saved_reruns.get(&part).copied() != reruns
        };
        let named = attribution.named().map(|(part, _)| part);
        let mut parts = named.chain(saved_reruns.keys().copied());
        let part = parts.find(|part| is_outdated(*part) && self.is_first_for(*part))?;
        let culprit = without_age(attribution.culprit(part, self.attribution_now()));
        record_saved(&mut saved_reruns, &culprit);
        Some(culprit)
    }

    /// Records that the row of a part could not be written.
    pub fn restore_unsaved_culprit(&self, culprit: &Culprit) {
        let mut saved_reruns = self.saved_reruns.borrow_mut();
        if is_named(culprit) {
            saved_reruns.remove(&culprit.part);
        } else {
            saved_reruns.insert(culprit.part, culprit.reruns);
        }
    }

    /// Returns whether this entry does for a part what one entry does for all.
    fn is_first_for(&self, part: u64) -> bool {
        let peers = self.peers.borrow();
        peers.is_first_for(Key::of(&hex(part)), self.now())
    }

    /// Logs and counts the parts that were named or cleared.
    fn report_part_changes(&self) {
        let changes = self.attribution.borrow_mut().take_changes();
        for change in changes {
            let (part, moments) = (hex(change.part), change.moments);
            if change.is_named {
                let culprit = self
                    .attribution
                    .borrow()
                    .culprit(change.part, self.attribution_now());
                let servers = culprit.crashes.iter().map(|crash| hex(crash.incarnation));
                let servers: Vec<String> = servers.collect();
                log::warn!(part = part.as_str(), moments, servers:?; "part named as the cause of crashes");
                self.metrics.parts.get(NAMED).inc();
            } else {
                log::info!(part = part.as_str(), moments; "part no longer named");
                self.metrics.parts.get(CLEARED).inc();
            }
        }
    }
}

fn record_saved(saved_reruns: &mut FxHashMap<u64, u8>, culprit: &Culprit) {
    if is_named(culprit) {
        saved_reruns.insert(culprit.part, culprit.reruns);
    } else {
        saved_reruns.remove(&culprit.part);
    }
}

/// Returns whether a report names a part, and does not say that it was cleared.
fn is_named(culprit: &Culprit) -> bool {
    let mut parts = culprit.crashes.iter().flat_map(|crash| &crash.parts);
    parts.any(|part| !part.is_cleared)
}

/// Returns a time of the process's clock as one of the attribution's, in which crashes before the process's start have a
/// time too.
fn attribution_time(at: Duration) -> Duration {
    at + LIMIT.retention
}

/// Returns a named part as if its last crash had just settled and its last request and rerun were now, so that its row
/// does not change with time. Who reads the row takes it for recent, since it ends with its lease.
fn without_age(mut culprit: Culprit) -> Culprit {
    let settled_ms = LIMIT.settle_time.as_millis() as u32;
    let ages_ms = culprit.crashes.iter().map(|crash| crash.lost_age_ms);
    let last_age_ms = ages_ms.min().unwrap_or_default();
    for crash in &mut culprit.crashes {
        crash.heard_age_ms = crash.heard_age_ms - last_age_ms + settled_ms;
        crash.lost_age_ms = crash.lost_age_ms - last_age_ms + settled_ms;
    }
    culprit.rerun_age_ms = culprit.rerun_age_ms.map(|_| 0);
    culprit.age_ms = 0;
    culprit
}

/// Returns the form of a part's or an incarnation's hash in logs and names.
pub(crate) fn hex(hash: u64) -> String {
    format!("{hash:016x}")
}
