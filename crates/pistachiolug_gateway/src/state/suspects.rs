//! Crash suspects of an entry: lost requests, checks of their servers, and requests that are refused.

use std::time::Duration;

use pistachiolug_routing::suspect::Limit;
use pistachiolug_wire::{datagram::Suspect, digest::Digest};

use super::State;
use crate::{
    fingerprint::Fingerprint,
    losses::{Check, Loss, Verdict},
    metrics::{ALLOWED, REFUSED},
    pool::Server,
    prober,
    server::Record,
};

/// Time for which a crash suspect is remembered; the platform's leases last no longer.
pub const SUSPECT_RETENTION: Duration = Duration::from_secs(600);

/// Longest time until missing rows of suspects are written. The followers of all regions find out at about the same
/// moment, and a row that one has written need not be written by another.
const MAX_REWRITE_DELAY: Duration = Duration::from_secs(2);

/// Bounds of the crash suspects. An entry can't run a suspect alone, so that more crashes than at an agent are needed to
/// tell the cause from the requests that ran beside it.
pub(super) const LIMIT: Limit = Limit {
    retention: SUSPECT_RETENTION,
    max_digests: 1024,
    max_crashes: 3,
    max_reruns: 2,
    rerun_delay: Duration::from_secs(30),
};

impl State {
    /// Records that a server gave no complete answer to a request, or one that ended with its connection; the server is
    /// checked.
    pub fn record_loss(&self, record: &Record, loss: Loss) {
        // The list or the server may have said that it is leaving since it was chosen.
        let is_leaving = self.with_pool(|pool| {
            let server = pool.get(&record.id);
            server.is_some_and(Server::is_leaving)
        });
        if !is_leaving {
            self.losses.borrow_mut().record(record, loss);
            self.loss_recorded.notify_one();
        }
    }

    /// Waits until a loss was recorded.
    pub async fn wait_for_loss(&self) {
        self.loss_recorded.notified().await;
    }

    /// Returns the servers to check because of losses.
    pub fn start_checks(&self) -> Vec<Check> {
        self.losses.borrow_mut().start_checks(self.now())
    }

    /// Ends the check of a server; returns the number of requests that were running when it crashed.
    pub fn finish_check(&self, check: &Check, verdict: Verdict) -> usize {
        let mut losses = self.losses.borrow_mut();
        let crashed = losses.finish_check(check.incarnation, verdict);
        let answered = losses.take_answered(check.incarnation);
        drop(losses);
        for loss in answered {
            self.record_answer(&loss.fingerprint, loss.lost_at);
        }
        self.record_crashes(&check.server, check.incarnation, &crashed);
        // Losses that were recorded during the check need another one.
        self.loss_recorded.notify_one();
        crashed.len()
    }

    /// Records that another incarnation is listed in the place of a server.
    pub fn record_server_end(&self, record: &Record) {
        let incarnation = record.incarnation();
        let crashed = self.losses.borrow_mut().end_server(incarnation);
        self.record_crashes(&record.id, incarnation, &crashed);
    }

    fn record_crashes(&self, server: &str, incarnation: u64, crashed: &[Loss]) {
        let now = self.now();
        self.record_crashed_parts(incarnation, crashed);
        for loss in crashed {
            let content = loss.fingerprint.content;
            let mut suspects = self.suspects.borrow_mut();
            let crashes = suspects.record_crash(content, incarnation, now);
            drop(suspects);
            log::warn!(content:% = content.short(), parts:% = loss.fingerprint, server, crashes; "server crashed while it had the request");
            let outcome = if crashes < LIMIT.max_crashes {
                ALLOWED
            } else {
                self.unsaved_suspects.borrow_mut().insert(content);
                REFUSED
            };
            self.metrics.crashes.get(outcome).inc();
        }
    }

    /// Records that a server answered a request successfully, which proves that neither its content nor a part of its
    /// prompt crashes servers.
    pub fn record_success(&self, fingerprint: &Fingerprint) {
        self.record_answer(fingerprint, self.now());
    }

    fn record_answer(&self, fingerprint: &Fingerprint, at: Duration) {
        self.record_answered_parts(fingerprint, at);
        let content = &fingerprint.content;
        let crashes = self
            .suspects
            .borrow_mut()
            .record_success(content, self.now());
        if crashes > 0 {
            log::info!(content:% = content.short(), crashes; "suspected request was answered");
        }
        if crashes >= LIMIT.max_crashes {
            self.unsaved_suspects.borrow_mut().insert(*content);
        }
    }

    /// Returns the time until requests with this content or these parts may run again; `None` if they may run now.
    ///
    /// Servers that are being checked count as crashed, because the caller may come again before the result is known.
    pub fn suspect_delay(&self, fingerprint: &Fingerprint) -> Option<Duration> {
        self.content_delay(&fingerprint.content)
            .max(self.part_delay(fingerprint))
    }

    fn content_delay(&self, content: &Digest) -> Option<Duration> {
        let now = self.now();
        let mut suspects = self.suspects.borrow_mut();
        if let Some(until) = suspects.refused_until(content, now) {
            return Some(until.saturating_sub(now));
        }
        let crashes = usize::from(suspects.crash_count(content, now));
        let max_crashes = usize::from(LIMIT.max_crashes);
        let unchecked = self.losses.borrow().count_unchecked(content);
        let is_refused = crashes < max_crashes && crashes + unchecked >= max_crashes;
        is_refused.then_some(prober::MAX_DURATION)
    }

    /// Returns whether a request may be sent to a server now; a suspect that may be tried again uses up a rerun.
    pub fn try_run(&self, fingerprint: &Fingerprint) -> bool {
        let now = self.now();
        let content = &fingerprint.content;
        let mut suspects = self.suspects.borrow_mut();
        // Both have to allow it before a rerun of either is used up.
        if suspects.refused_until(content, now).is_some() || !self.try_run_parts(fingerprint) {
            return false;
        }
        let is_allowed = suspects.try_run(content, now);
        let crashes = suspects.crash_count(content, now);
        if is_allowed && crashes >= LIMIT.max_crashes {
            log::warn!(content:% = content.short(), crashes; "suspected request is tried again");
            self.unsaved_suspects.borrow_mut().insert(*content);
        }
        is_allowed
    }

    /// Adds what another entry, or the key-value service, knows of a suspect.
    pub fn merge_suspect(&self, suspect: &Suspect) {
        self.suspects.borrow_mut().merge(suspect, self.now());
    }

    /// Returns what this entry has found out about suspects within `age`.
    pub fn suspect_updates(&self, age: Duration) -> Vec<Suspect> {
        let now = self.now();
        let suspects = self.suspects.borrow();
        suspects.updates(now.saturating_sub(age), now)
    }

    /// Returns the suspects that are refused.
    pub fn refused_suspects(&self) -> Vec<Suspect> {
        self.suspects.borrow().refused(self.now())
    }

    /// Lets the rows of refused suspects that are missing or outdated in the key-value service be written after a random
    /// time.
    pub(super) fn schedule_suspect_rows(&self) {
        let delay = MAX_REWRITE_DELAY.mul_f64(rand::random());
        self.suspects_missing_at.set(Some(self.now() + delay));
    }

    /// Returns the refused suspects whose rows may be missing or outdated, once after their time has come, if this entry
    /// follows the service.
    pub fn take_missing_suspects(&self) -> Vec<Suspect> {
        let due = self.suspects_missing_at.get();
        if due.is_none_or(|due| self.now() < due) {
            return Vec::new();
        }
        self.suspects_missing_at.set(None);
        if self.is_active() {
            self.refused_suspects()
        } else {
            Vec::new()
        }
    }

    /// Takes a suspect whose row in the key-value service is missing or outdated; `None` if there is none.
    pub fn take_unsaved_suspect(&self) -> Option<Suspect> {
        let digest = self.unsaved_suspects.borrow_mut().pop_first()?;
        self.suspects.borrow().report(&digest, self.now())
    }

    /// Records that the row of a suspect is missing or could not be written.
    pub fn restore_unsaved_suspect(&self, suspect: &Suspect) {
        let digest = Digest::from(suspect.content);
        self.unsaved_suspects.borrow_mut().insert(digest);
    }
}
