//! Calls at an entry: opening at an agent, relaying of the answer, and recovery after a loss.

mod event;
mod recover;

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use pistachiolug_routing::retry::Budget;
use pistachiolug_wire::{
    call::{Finish, Open, Response, Work},
    fault::{Code, Fault},
    outcome::Outcome,
};
use tokio::time::{Instant, timeout_at};

use crate::{
    agent_client::{self, AgentClient, Connection, EventStream},
    metrics::Metrics,
    progress::Progress,
    router::{Assignment, Requirements, Router},
};

/// Time after which a caller may retry if no agent could take its call.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Extra time after the deadline in which the agent's own report that it passed may arrive.
const DEADLINE_GRACE: Duration = Duration::from_millis(250);

/// Opens calls; clones share the view, the connections and the retry budget.
#[derive(Debug, Clone)]
pub struct Runner {
    /// Router that chooses the agents.
    pub router: Router,
    /// Client for the exchanges with agents.
    pub agent_client: AgentClient,
    /// Metrics of calls.
    pub metrics: Metrics,
    /// Internal address of this entry, to which leaving agents send their notice; `None` for no notices.
    pub address: Option<SocketAddr>,
    retry_budget: Arc<Mutex<Budget>>,
}

/// Part of a call that has to be over by the deadline.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeadlineScope {
    /// Until the call starts. A streamed answer has no deadline from then on.
    Start,
    /// Until the answer is complete.
    Answer,
}

/// Part of an answer, in the order of the answer.
#[derive(Debug)]
pub enum Part {
    /// Start of the answer, with the model version that generates it; empty for plain services.
    Started(String),
    /// Texts of generated tokens that follow those of the previous part.
    Text(Vec<String>),
    /// Complete answer of a plain service.
    Response(Response),
    /// End of a generated answer that is complete.
    Finished(Finish),
}

/// Call that is open at an agent; dropping it before its end cancels it there.
#[derive(Debug)]
pub struct Call {
    runner: Runner,
    /// Message that opens or joins the call; [`Call::prepare_open`] updates it before each use.
    open: Open,
    deadline_scope: DeadlineScope,
    deadline: Instant,
    progress: Progress,
    /// Agent that has the call; `None` between two agents and after the end.
    attempt: Option<Attempt>,
    /// Names of the agents at which the call was opened under its present id.
    tried: Vec<String>,
    /// Number of instances and backend servers that were lost while they may have been running the call.
    losses: u8,
    /// Number of backend servers that earlier requests with the same content crashed, by the lists at the start.
    earlier_crashes: u8,
    /// Number of times that the call was joined since its last new token.
    joins_since_token: u8,
    /// Whether the call follows the run of an earlier request with the same idempotency key.
    ///
    /// That run belongs to the earlier request, so this one must neither withdraw nor cancel it.
    is_follower: bool,
}

/// Agent at which a call is open.
#[derive(Debug)]
struct Attempt {
    assignment: Assignment,
    events: EventStream,
    /// Time at which the call was first sent to the agent.
    first_sent_at: Instant,
}

impl Runner {
    /// Creates a runner.
    pub fn new(
        router: Router,
        agent_client: AgentClient,
        metrics: Metrics,
        address: Option<SocketAddr>,
    ) -> Self {
        Self {
            router,
            agent_client,
            metrics,
            address,
            retry_budget: Arc::default(),
        }
    }

    /// Opens a call at an agent of its service.
    ///
    /// # Errors
    /// Returns the fault for the caller if no agent can be reached or the deadline has passed.
    pub async fn open(&self, open: Open, deadline_scope: DeadlineScope) -> Result<Call, Fault> {
        let time_limit = Duration::from_millis(open.deadline_ms.into());
        self.lock_budget().record_attempt();
        self.metrics.open_calls.inc();
        let mut call = Call {
            runner: self.clone(),
            earlier_crashes: open.crashes,
            open,
            deadline_scope,
            deadline: Instant::now() + time_limit,
            progress: Progress::default(),
            attempt: None,
            tried: Vec::new(),
            losses: 0,
            joins_since_token: 0,
            is_follower: false,
        };
        call.open.entry = self.address;
        match call.open_at_agent().await {
            Ok(()) => Ok(call),
            Err(fault) => Err(self.record_fault(call.correct_outcome(fault))),
        }
    }

    /// Returns the number of retries that the budget allows now.
    pub fn available_retries(&self) -> f64 {
        self.lock_budget().available()
    }

    fn lock_budget(&self) -> std::sync::MutexGuard<'_, Budget> {
        self.retry_budget
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn record_fault(&self, fault: Fault) -> Fault {
        self.metrics.record_fault(&fault);
        fault
    }
}

impl Call {
    /// Waits for the next part of the answer.
    ///
    /// # Errors
    /// Returns the fault for the caller if the call fails; the call has then ended.
    pub async fn next(&mut self) -> Result<Part, Fault> {
        loop {
            match self.handle_next_event().await {
                Ok(Some(part)) => return Ok(part),
                Ok(None) => {}
                Err(fault) => {
                    self.attempt = None;
                    return Err(self.runner.record_fault(self.correct_outcome(fault)));
                }
            }
        }
    }

    /// Waits for the start and returns the model version that generates the answer; empty for plain services.
    ///
    /// # Errors
    /// Returns the fault for the caller if the call fails or its answer has no start.
    pub async fn started(&mut self) -> Result<String, Fault> {
        match self.next().await? {
            Part::Started(version) => Ok(version),
            _ => Err(Fault::unknown(Code::BackendFailed, "answer without start")),
        }
    }

    async fn handle_next_event(&mut self) -> Result<Option<Part>, Fault> {
        let deadline = self.deadline + DEADLINE_GRACE;
        let is_bounded =
            self.deadline_scope == DeadlineScope::Answer || self.progress.version().is_none();
        let Some(attempt) = &mut self.attempt else {
            return Err(Fault::unknown(Code::BackendFailed, "the call has ended"));
        };
        let event = if is_bounded {
            match timeout_at(deadline, attempt.events.next()).await {
                Ok(event) => event,
                Err(_) => return Err(self.end_at_deadline().await),
            }
        } else {
            attempt.events.next().await
        };
        match event {
            Ok(body) => self.handle_event(body).await,
            Err(error) => self.recover(&error.to_string()).await.map(|()| None),
        }
    }

    /// Changes the outcome `not-run` of the last agent to `unknown` if the call may have run at an earlier one.
    fn correct_outcome(&self, mut fault: Fault) -> Fault {
        let may_have_run = self.progress.sent_tokens() > 0 || self.losses > 0;
        if may_have_run && fault.outcome == Outcome::NotRun {
            fault.outcome = Outcome::Unknown;
        }
        fault
    }

    fn is_repeatable(&self) -> bool {
        match &self.open.work {
            Work::Model(_) => true,
            Work::Plain(plain) => plain.idempotent,
        }
    }

    fn requirements(&self) -> Requirements<'_> {
        let (model, prompt) = match &self.open.work {
            Work::Model(generation) => (generation.model.as_str(), &generation.body[..]),
            Work::Plain(_) => ("", &[][..]),
        };
        Requirements {
            service: &self.open.service,
            model,
            prompt,
        }
    }

    /// Updates the time left and the tokens sent so far in the message that opens or joins the call.
    fn prepare_open(&mut self, join: bool) -> &Open {
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let has_started = self.progress.version().is_some();
        // A streamed answer that has started has no deadline. Its resume repeats the last time limit, which then only
        // serves for admission.
        if !(has_started && self.deadline_scope == DeadlineScope::Start) {
            self.open.deadline_ms = u32::try_from(time_left.as_millis()).unwrap_or(u32::MAX);
        }
        self.open.join = join;
        if let Work::Model(generation) = &mut self.open.work {
            generation.reached = self.progress.sent_tokens();
            self.progress.sent_text().clone_into(&mut generation.prefix);
        }
        &self.open
    }

    /// Chooses a new connection for a call that must not run twice: if a pooled one had failed without notice, it would
    /// be unknown whether the call ran.
    fn choose_connection(&self) -> Connection {
        if self.is_repeatable() {
            Connection::Pooled
        } else {
            Connection::Fresh
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.runner.metrics.open_calls.dec();
        let Some(attempt) = self.attempt.take().filter(|_| !self.is_follower) else {
            return;
        };
        let agent_client = self.runner.agent_client.clone();
        let id = self.open.id;
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            // Best effort: an agent that the message doesn't reach runs the call to its end.
            runtime.spawn(async move { agent_client.cancel(attempt.assignment.address, id).await });
        }
    }
}

impl From<agent_client::Error> for Fault {
    fn from(error: agent_client::Error) -> Self {
        let message = error.to_string();
        match error {
            agent_client::Error::Unsent { .. } => {
                Self::not_run(Code::Unavailable, RETRY_AFTER, &message)
            }
            _ => Self::unknown(Code::BackendFailed, &message),
        }
    }
}
