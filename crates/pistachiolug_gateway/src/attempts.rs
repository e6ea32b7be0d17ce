//! Attempts of one request: at one server after another, and beside a server that falls silent.

use std::{rc::Rc, sync::Arc, time::Duration};

use http::{Response, StatusCode};
use hyper::body::Incoming;
use tokio::time::{Instant, timeout_at};

use crate::{
    acquire::{self, RESUME_WAIT},
    call::Call,
    hedge::{Arrival, Begun, Hedge, Run, Stage, log_asked_beside},
    metrics::CALLER_LEFT,
    permit::Permit,
    reply::Reason,
    send::Outcome,
    silence::{self, Denial, Progress, Side, Silence},
    state::State,
    upstream::Connection,
};

/// Largest number of servers that could not be reached for one request. Nothing was sent to them, so they don't count
/// as attempts.
pub const MAX_UNSENT: u32 = 4;

/// Multiple of the target latency after which another server is asked beside one that does not answer.
const SILENCE_PER_TARGET: f64 = 2.5;

/// Time without the head of a stream after which another server is asked beside the silent one.
const HEAD_SILENCE: Duration = Duration::from_millis(1200);

/// Longest wait for a slot at a server that is asked beside a silent one; less than the time to the next ask.
const ASK_WAIT: Duration = Duration::from_secs(1);

/// Attempts of one request.
#[derive(Debug)]
pub struct Attempts<F, A> {
    state: Rc<State>,
    call: Rc<Call>,
    /// Servers that have the request.
    hedge: Hedge<F, A>,
    silence: Silence,
    /// Ids of the servers that were sent the request.
    tried: Vec<Arc<str>>,
    /// Number of servers that could not be reached.
    unsent: u32,
    /// Whether a server may have run the request.
    may_have_run: bool,
    /// Number of retries taken from the budget for which nothing was sent yet.
    unused_retries: u32,
    /// Number of servers whose answer is being read; no other server is asked meanwhile.
    reading: u32,
    /// Whether a server has sent the head of a stream.
    has_head: bool,
    /// Whether the caller gets an answer; otherwise it has left when this is dropped.
    is_ended: bool,
}

impl<F: Future<Output = (Rc<Permit>, Arrival)>, A: Fn(Run) -> F> Attempts<F, A> {
    /// Creates the attempts of a request that no server has yet.
    ///
    /// # Arguments
    /// `advance` is [`crate::hedge::advance`] for the request.
    pub fn new(state: Rc<State>, call: Rc<Call>, advance: A) -> Self {
        Self {
            silence: begin_silence(&call),
            state,
            call,
            hedge: Hedge::new(advance),
            tried: Vec::new(),
            unsent: 0,
            may_have_run: false,
            unused_retries: 0,
            reading: 0,
            has_head: false,
            is_ended: false,
        }
    }

    /// Returns whether a server may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Ends the attempts with an answer or a refusal; returns the ids of the servers that were sent the request.
    pub fn end(mut self) -> Vec<Arc<str>> {
        self.hedge.withdraw(&self.call);
        self.is_ended = true;
        std::mem::take(&mut self.tried)
    }

    /// Waits further for the events of a stream whose head has arrived.
    pub fn wait_for_events(&mut self, permit: Rc<Permit>, stream: Begun) {
        self.has_head = true;
        self.silence = stream.source.silence;
        self.hedge.add(Run {
            permit,
            started_at: self.call.arrived,
            stage: Stage::Stream(stream),
        });
    }

    /// Reads the body of an answer whose head has arrived. Other servers keep the request until it is whole.
    pub fn read_body(
        &mut self,
        permit: Rc<Permit>,
        response: Response<Incoming>,
        connection: Connection,
    ) {
        self.reading += 1;
        self.hedge.add(Run {
            permit,
            started_at: self.call.arrived,
            stage: Stage::Answer(response, connection),
        });
    }

    /// Waits for what comes next from a server. Sends the request if no server has it, and beside silent servers.
    ///
    /// # Errors
    /// Returns the reason if no server can be sent the request and none has it.
    pub async fn next(&mut self) -> Result<(Rc<Permit>, Arrival), Reason> {
        loop {
            if self.hedge.permits().is_empty() {
                let permit = self.acquire_permit().await?;
                self.start(permit);
            }
            let may_ask = self.reading == 0 && self.may_repeat();
            let next = match self.silence.ask_at().filter(|_| may_ask) {
                Some(ask_at) => timeout_at(ask_at, self.hedge.next()).await,
                None => Ok(self.hedge.next().await),
            };
            let next = match next {
                Ok(next) => next,
                Err(_) => self.ask_beside().await,
            };
            if let Some((permit, arrival)) = next {
                self.may_have_run |= matches!(arrival, Arrival::Answer(..) | Arrival::Head(_));
                let arrival = self.check_end(&permit, arrival);
                return Ok((permit, arrival));
            }
        }
    }

    /// Turns the end of a stream without events into a failure if it is not believed beside a server that still has the
    /// request.
    fn check_end(&self, permit: &Permit, arrival: Arrival) -> Arrival {
        let Arrival::Stream(stream, step) = &arrival else {
            return arrival;
        };
        let progress = stream.source.progress(step).unwrap_or(Progress::Failed);
        let is_alone = self.hedge.permits().is_empty();
        if is_alone || silence::choose(Side::Other, progress) == Side::Other {
            return arrival;
        }
        let outcome = Outcome::Lost("stream ended without events".to_owned());
        outcome.record(permit);
        Arrival::Failure(outcome)
    }

    /// Sends the request to another server beside silent ones, if that is allowed; returns what comes from one of them
    /// meanwhile.
    async fn ask_beside(&mut self) -> Option<(Rc<Permit>, Arrival)> {
        self.silence.record_ask(Instant::now());
        let taken = self.take_retry_beside();
        self.log_silent(taken);
        taken.ok()?;
        // The request is older than those that arrive, and its caller won't wait much longer.
        let wait = Some(ASK_WAIT);
        let acquiring = acquire_permit(&self.state, &self.call, &self.tried, wait);
        let permit = tokio::select! {
            biased;
            next = self.hedge.next() => return next,
            permit = acquiring => permit,
        };
        if let Ok(permit) = permit {
            self.state.metrics.retries.get("silent").inc();
            for silent in self.hedge.permits() {
                silent.record_failure();
                log_asked_beside(&self.call, silent, &permit, 0);
            }
            self.start(permit);
        }
        None
    }

    fn start(&mut self, permit: Permit) {
        let now = Instant::now();
        let is_first = self.tried.is_empty();
        self.tried.push(Arc::clone(&permit.choice.record.id));
        self.silence = begin_silence(&self.call);
        self.unused_retries = 0;
        self.hedge.add(Run {
            permit: Rc::new(permit),
            started_at: if is_first { self.call.arrived } else { now },
            stage: Stage::Send,
        });
    }

    async fn acquire_permit(&self) -> Result<Permit, Reason> {
        let resume_wait = self.has_head.then_some(RESUME_WAIT);
        acquire_permit(&self.state, &self.call, &self.tried, resume_wait).await
    }

    /// Returns whether the request may be sent again although it may have run.
    fn may_repeat(&self) -> bool {
        let route = &self.call.authorized.route;
        route.is_repeatable()
            && (self.tried.len() as u32) < route.attempts
            && !self.call.time_left().is_zero()
    }

    /// Takes a retry from the budget to ask another server beside a silent one.
    fn take_retry_beside(&mut self) -> Result<(), Denial> {
        if self.state.suspect_delay(&self.call.fingerprint).is_some() {
            return Err(Denial::CrashSuspect);
        }
        if !acquire::has_other_server(&self.state, &self.call, &self.tried) {
            return Err(Denial::NoServer);
        }
        if !self.take_retry() {
            return Err(Denial::RetryBudget);
        }
        Ok(())
    }

    /// Takes a retry from the budget, unless one that was taken before has not been used; returns whether there is one.
    fn take_retry(&mut self) -> bool {
        if self.unused_retries == 0 && self.state.take_retry(&self.call.service) {
            self.unused_retries = 1;
        }
        self.unused_retries > 0
    }

    /// Logs an attempt without a usable answer, and returns whether the request goes on: at a server that still has it,
    /// or by a retry, which is taken from the budget.
    pub fn try_repeat(&mut self, permit: &Permit, cause: &'static str, detail: &str) -> bool {
        self.may_have_run = true;
        let is_pending = !self.hedge.permits().is_empty();
        let may_retry = !is_pending
            && self.may_repeat()
            && !acquire::is_backoff_too_long(&self.state, &self.call, &self.tried)
            && self.take_retry();
        if cause != "failed" || is_pending || may_retry {
            log_failed_attempt(&self.call, permit, cause, detail);
        }
        if may_retry {
            self.state.metrics.retries.get(cause).inc();
        }
        is_pending || may_retry
    }

    /// Handles an attempt without an answer. Returns `None` if the request goes on, or the reason of the final answer.
    pub fn handle_failure(&mut self, permit: &Permit, outcome: Outcome) -> Option<Reason> {
        let (cause, detail) = match outcome {
            Outcome::Answer(..) => return None,
            Outcome::Withheld => {
                self.handle_withheld(permit);
                return None;
            }
            Outcome::Unsent(reason) => return self.handle_unsent(permit, &reason),
            Outcome::NotRun(status) => return self.handle_not_run(permit, status),
            Outcome::Lost(reason) => ("lost", reason),
            Outcome::Silent => ("silent", String::new()),
            Outcome::Outdated => ("outdated", String::new()),
        };
        if cause != "outdated" {
            permit.record_failure();
            permit.record_answer(false);
        }
        let goes_on = self.try_repeat(permit, cause, &detail);
        (!goes_on).then(|| lost_or_late(&self.call))
    }

    /// Handles an answer whose body broke off; returns what [`Attempts::handle_failure`] does.
    pub fn handle_cut(&mut self, permit: &Permit, reason: String) -> Option<Reason> {
        self.reading -= 1;
        self.handle_failure(permit, Outcome::Lost(reason))
    }

    fn handle_unsent(&mut self, permit: &Permit, reason: &str) -> Option<Reason> {
        permit.record_failure();
        let server = &permit.choice.record.id;
        self.tried.retain(|tried| tried != server);
        self.unsent += 1;
        log_failed_attempt(&self.call, permit, "unsent", reason);
        self.state.metrics.retries.get("unsent").inc();
        let is_last = self.hedge.permits().is_empty() && self.unsent >= MAX_UNSENT;
        is_last.then_some(Reason::Unavailable)
    }

    /// Lets the request go on at another server, or be refused if there is none.
    fn handle_withheld(&mut self, permit: &Permit) {
        let server = &permit.choice.record.id;
        self.tried.retain(|tried| tried != server);
        log_failed_attempt(&self.call, permit, "withheld", "");
        self.state.metrics.retries.get("withheld").inc();
    }

    fn handle_not_run(&mut self, permit: &Permit, status: StatusCode) -> Option<Reason> {
        if status == StatusCode::MISDIRECTED_REQUEST {
            permit.record_mismatch();
        } else {
            permit.record_full();
        }
        log_failed_attempt(&self.call, permit, "not-run", status.as_str());
        if !self.hedge.permits().is_empty() {
            return None;
        }
        if acquire::is_backoff_too_long(&self.state, &self.call, &self.tried) {
            return Some(acquire::closed_reason(&self.state, &self.call, &self.tried));
        }
        let may_retry = (self.tried.len() as u32) < self.call.authorized.route.attempts
            && !self.call.time_left().is_zero()
            && self.take_retry();
        let retries = self.state.metrics.retries.get("not-run");
        retries.inc_by(may_retry.into());
        (!may_retry).then_some(Reason::Overloaded)
    }

    fn log_silent(&self, taken: Result<(), Denial>) {
        let call = &self.call;
        for permit in self.hedge.permits() {
            log::info!(
                    call = call.id.as_str(),
                    content:% = call.content.short(),
            parts:% = call.prefix,
                    server = &*permit.choice.record.id,
                    events = 0,
                    allowed = taken.is_ok(),
                    denied = taken.err().map_or("", Denial::as_str),
                    age_ms = call.age_ms();
                    "server silent"
                );
        }
    }
}

impl<F, A> Drop for Attempts<F, A> {
    fn drop(&mut self) {
        if self.is_ended {
            return;
        }
        let call = &self.call;
        let sends = self.tried.len();
        log::info!(call = call.id.as_str(), sends, age_ms = call.age_ms(); "caller left before the answer");
        self.state.metrics.outcomes.get(CALLER_LEFT).inc();
    }
}

/// Acquires a slot for a request that may run.
///
/// # Arguments
/// `resume_wait` is the longest wait of a request that is served before those that no server has had; `None` for one of
/// these.
async fn acquire_permit(
    state: &Rc<State>,
    call: &Call,
    tried: &[Arc<str>],
    resume_wait: Option<Duration>,
) -> Result<Permit, Reason> {
    if state.suspect_delay(&call.fingerprint).is_some() {
        return Err(Reason::CrashSuspect);
    }
    let permit = if let Some(max_wait) = resume_wait {
        let permit = acquire::acquire_resuming_permit(state, call, tried, max_wait).await;
        permit.ok_or(Reason::Overloaded)?
    } else {
        acquire::acquire_permit(state, call, tried).await?
    };
    // Another request with the content may have crashed a server while this one waited.
    if !state.try_run(&call.fingerprint) {
        return Err(Reason::CrashSuspect);
    }
    Ok(permit)
}

fn begin_silence(call: &Call) -> Silence {
    let bound = if call.is_stream() {
        HEAD_SILENCE
    } else {
        let target_latency = call.authorized.route.target_latency;
        target_latency.mul_f64(SILENCE_PER_TARGET)
    };
    Silence::new(bound, Instant::now())
}

/// Returns the reason for a request that may have run: late once its deadline has passed, otherwise lost.
pub fn lost_or_late(call: &Call) -> Reason {
    if call.time_left().is_zero() {
        Reason::Late
    } else {
        Reason::Lost
    }
}

fn log_failed_attempt(call: &Call, permit: &Permit, cause: &'static str, detail: &str) {
    log::info!(
        call = call.id.as_str(),
        content:% = call.content.short(),
        parts:% = call.prefix,
        server = &*permit.choice.record.id,
        cause,
        detail,
        age_ms = call.age_ms();
        "attempt without answer"
    );
}
