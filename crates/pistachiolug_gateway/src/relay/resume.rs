//! Resumption of a stream at another server, beside a silent one or in place of one that broke off.

use std::{pin::pin, rc::Rc, sync::Arc};

use http::{Response, StatusCode};
use http_body_util::Either;
use tokio::time::Instant;

use super::Relay;
use crate::{
    acquire::{self, RESUME_WAIT},
    attempts::MAX_UNSENT,
    call::Call,
    headers,
    hedge::{log_asked_beside, withdraw},
    permit::Permit,
    send::{self, Outcome},
    silence::{self, Denial, Progress, Side},
    source::{Source, Step},
};

/// Result of asking one other server to resume the stream.
enum Resumption {
    /// What came first from the server that goes on.
    Step(Step),
    /// The source is to be read; there may be none any more.
    Source,
    /// The server with this id failed for this reason, and there is no source.
    Failed(Arc<str>, String),
}

impl Relay {
    /// Asks another server to resume the stream, beside the source if there still is one. Without a source, further
    /// servers are asked while one fails. Returns what came first from the server that goes on; `None` if the source is
    /// to be read, or if there is none any more.
    ///
    /// # Arguments
    /// `server` is the one that is silent or has broken off, as its `step` says.
    pub(super) async fn ask(&mut self, server: Arc<str>, step: Step) -> Option<Step> {
        if let Some(source) = &mut self.source {
            source.silence.record_ask(Instant::now());
        }
        let (mut server, mut step) = (server, step);
        for _ in 0..=MAX_UNSENT {
            let taken = self.take_retry();
            self.log_interruption(&server, &step, taken);
            taken.ok()?;
            match self.try_resume(cause(&step)).await {
                Resumption::Step(first) => return Some(first),
                Resumption::Source => return None,
                Resumption::Failed(failed, reason) => {
                    (server, step) = (failed, Step::Interrupted(reason));
                }
            }
        }
        None
    }

    /// Asks one other server to resume the stream.
    async fn try_resume(&mut self, cause: &'static str) -> Resumption {
        let (state, call) = (Rc::clone(&self.state), Rc::clone(&self.call));
        let tried = self.tried.clone();
        let acquiring = acquire::acquire_resuming_permit(&state, &call, &tried, RESUME_WAIT);
        let permit = match self.race(acquiring).await {
            Either::Left(step) => return Resumption::Step(step),
            Either::Right(permit) => permit,
        };
        let Some(permit) = permit.map(Rc::new) else {
            log::info!(call = call.id.as_str(), age_ms = call.age_ms(); "no slot to resume the stream");
            return Resumption::Source;
        };
        if !state.try_run(&call.fingerprint) {
            log::info!(call = call.id.as_str(), content:% = call.content.short(), parts:% = call.prefix, age_ms = call.age_ms(); "stream not resumed because servers crash under it");
            return Resumption::Source;
        }
        state.metrics.retries.get(cause).inc();
        self.unused_retries = 0;
        self.tried.push(Arc::clone(&permit.choice.record.id));
        if let Some(source) = &self.source {
            log_asked_beside(&call, &source.permit, &permit, self.events());
            source.permit.record_failure();
        }
        let sent_at = Instant::now();
        let sending = send::send(&state, &call, &permit, self.last_event_id(), call.deadline);
        let outcome = match self.race(sending).await {
            Either::Left(step) => {
                // At the deadline no server went on, and dropping the permit records a loss if this one was silent.
                if !matches!(step, Step::DeadlinePassed) {
                    withdraw(&call, &permit, "another server went on", self.events());
                }
                return Resumption::Step(step);
            }
            Either::Right(outcome) => outcome,
        };
        match outcome {
            Outcome::Answer(response, connection)
                if response.status() == StatusCode::OK && self.has_own_type(&response) =>
            {
                let (_, other) = Source::new(
                    &call,
                    permit,
                    response,
                    connection,
                    sent_at,
                    self.last_event,
                );
                let step = self.compare(other).await;
                step.map_or(Resumption::Source, Resumption::Step)
            }
            outcome => self.end_resumption(&permit, &outcome),
        }
    }

    /// Records that a server could not resume the stream.
    fn end_resumption(&mut self, permit: &Permit, outcome: &Outcome) -> Resumption {
        let call = &self.call;
        let server = &permit.choice.record.id;
        log::info!(call = call.id.as_str(), server = &**server, outcome:?; "resuming the stream failed");
        match outcome {
            Outcome::Answer(..) => permit.record_outcome(),
            Outcome::Unsent(_) | Outcome::Withheld => {
                if matches!(outcome, Outcome::Unsent(_)) {
                    permit.record_failure();
                }
                // Nothing was sent, so that the retry is left, and the server is no attempt.
                self.unused_retries = 1;
                self.tried.retain(|tried| tried != server);
            }
            Outcome::NotRun(StatusCode::MISDIRECTED_REQUEST) => permit.record_mismatch(),
            Outcome::NotRun(_) => permit.record_full(),
            Outcome::Lost(_) | Outcome::Silent => {
                permit.record_failure();
                permit.record_answer(false);
            }
            Outcome::Outdated => {}
        }
        if self.source.is_some() || call.time_left().is_zero() {
            return Resumption::Source;
        }
        let reason = "resuming the stream failed".to_owned();
        Resumption::Failed(Arc::clone(server), reason)
    }

    /// Takes a retry from the budget to ask another server, unless one that was taken before has not been used.
    fn take_retry(&mut self) -> Result<(), Denial> {
        let call = &self.call;
        if self.last_event.is_none() {
            return Err(Denial::NoEventId);
        }
        if !self.may_resume() {
            return Err(Denial::Attempts);
        }
        if self.state.suspect_delay(&call.fingerprint).is_some() {
            return Err(Denial::CrashSuspect);
        }
        // A stream without a source waits for one that may be listed yet.
        if self.source.is_some() && !acquire::has_other_server(&self.state, call, &self.tried) {
            return Err(Denial::NoServer);
        }
        if self.unused_retries == 0 {
            if !self.state.take_retry(&call.service) {
                return Err(Denial::RetryBudget);
            }
            self.unused_retries = 1;
        }
        Ok(())
    }

    /// Returns whether an answer has the content type of the one that the caller has got the head of.
    fn has_own_type<T>(&self, response: &Response<T>) -> bool {
        self.content_type.is_none()
            || headers::content_type(response.headers()) == self.content_type
    }

    /// Waits for `other` while the source may go on; returns what came first. A source that breaks off meanwhile ends.
    async fn race<T>(&mut self, other: impl Future<Output = T>) -> Either<Step, T> {
        let call = Rc::clone(&self.call);
        let mut other = pin!(other);
        while let Some(source) = &mut self.source {
            let step = tokio::select! {
                biased;
                step = source.read(&call) => step,
                result = &mut other => return Either::Right(result),
            };
            let server = Arc::clone(source.server());
            if source.progress(&step) != Some(Progress::Failed) {
                return Either::Left(step);
            }
            self.end_source(Some(&step));
            self.log_interruption(&server, &step, Ok(()));
        }
        Either::Right(other.await)
    }

    /// Lets the server that does something first go on alone; `other` has sent the head of its answer.
    async fn compare(&mut self, mut other: Source) -> Option<Step> {
        let call = Rc::clone(&self.call);
        let Some(source) = &mut self.source else {
            self.replace_source(other);
            return None;
        };
        let (side, step) = tokio::select! {
            biased;
            step = source.read(&call) => (Side::Former, step),
            step = other.read(&call) => (Side::Other, step),
        };
        let progress = match side {
            Side::Former => source.progress(&step),
            Side::Other => other.progress(&step),
        };
        let chosen = progress.map_or(side, |progress| silence::choose(side, progress));
        let loser_step = (chosen != side).then_some(&step);
        match chosen {
            // As above, both servers are dropped at the deadline.
            _ if progress.is_none() => {}
            Side::Former => {
                if let Some(step) = loser_step {
                    let server = &**other.server();
                    log::info!(call = call.id.as_str(), server, step:?, age_ms = call.age_ms(); "resuming the stream failed");
                }
                end(&call, &other, loser_step, self.events());
            }
            Side::Other => {
                let server = Arc::clone(source.server());
                self.end_source(loser_step);
                if let Some(step) = loser_step {
                    self.log_interruption(&server, step, Ok(()));
                }
                self.replace_source(other);
            }
        }
        (chosen == side).then_some(step)
    }

    /// Takes a server that resumes the stream as its source.
    fn replace_source(&mut self, other: Source) {
        let call = &self.call;
        log::info!(call = call.id.as_str(), server = &**other.server(), last_event:? = self.last_event_id(), age_ms = call.age_ms(); "stream resumed");
        self.source = Some(other);
    }

    /// Ends the source; `step` is how it ended, `None` if another server went on.
    pub(super) fn end_source(&mut self, step: Option<&Step>) {
        let events = self.events();
        if let Some(source) = self.source.take() {
            end(&self.call, &source, step, events);
        }
        self.former_events = events;
    }

    /// Logs that a server is silent or has broken off, and whether another one may be asked.
    fn log_interruption(&self, server: &str, step: &Step, taken: Result<(), Denial>) {
        let call = &self.call;
        let (content, parts) = (call.content.short(), &call.prefix);
        let (events, last_event) = (self.events(), self.last_event_id());
        let allowed = taken.is_ok();
        let denied = taken.err().map_or("", Denial::as_str);
        if let Step::Silent = step {
            log::info!(call = call.id.as_str(), content:%, parts:%, server, events, last_event:?, allowed, denied, age_ms = call.age_ms(); "server silent");
            return;
        }
        let reason = match step {
            Step::Interrupted(reason) => reason,
            _ => cause(step),
        };
        log::info!(call = call.id.as_str(), content:%, parts:%, server, reason, events, last_event:?, allowed, denied, age_ms = call.age_ms(); "stream interrupted");
    }
}

/// Records how a server's part of a stream ended: by `step`, or because another server went on.
fn end(call: &Call, source: &Source, step: Option<&Step>, events: u64) {
    let reason = match step {
        Some(Step::Interrupted(_)) => return source.record_loss(),
        Some(Step::Outdated) => "outdated",
        Some(_) => "ended without events",
        None => "another server went on",
    };
    withdraw(call, &source.permit, reason, events);
}

/// Returns the cause of a further send, for metrics.
fn cause(step: &Step) -> &'static str {
    match step {
        Step::Silent => "silent",
        Step::Outdated => "outdated",
        _ => "lost",
    }
}
