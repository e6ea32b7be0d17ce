//! Life of a call at an entry: choose an agent, open, relay, and recover what is lost on the way.

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

/// Time after which a caller may come back when no agent is reached.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Time by which an agent's own word on a deadline is waited for.
const DEADLINE_GRACE: Duration = Duration::from_millis(250);

/// Runs calls; clones share the view, connections and budget.
#[derive(Debug, Clone)]
pub struct Runner {
    /// Choice of agents.
    pub router: Router,
    /// Connections to agents.
    pub remote: AgentClient,
    /// Counters.
    pub metrics: Metrics,
    /// Internal address of this entry, for notices of leaving agents.
    pub address: Option<SocketAddr>,
    budget: Arc<Mutex<Budget>>,
}

/// How far a deadline reaches.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeadlineScope {
    /// Until the call starts; a streamed answer then takes what it takes.
    Start,
    /// Until the answer is whole.
    Answer,
}

/// Part of an answer, in the order of the answer.
#[derive(Debug)]
pub enum Part {
    /// The call started on a version.
    Started(String),
    /// Generated text.
    Text(Vec<String>),
    /// Whole answer of a plain service.
    Response(Response),
    /// The answer is complete.
    Finished(Finish),
}

/// Call that an agent has taken up; dropping it before its end tells the agent that the caller is gone.
#[derive(Debug)]
pub struct Call {
    runner: Runner,
    /// Message that opens the call at the next agent.
    open: Open,
    patience: DeadlineScope,
    deadline: Instant,
    progress: Progress,
    /// Where the call runs; `None` between two agents and after the end.
    place: Option<Place>,
    /// Agents that have had this call's id.
    tried: Vec<String>,
    /// Instances or backend servers lost while they may have been running the call.
    losses: u8,
    /// Backend servers that earlier sends of the same content crashed, as the lists knew at the start.
    crashed_before: u8,
    /// Joins since the last token.
    joins: u8,
    /// Whether the call is another send of the same idempotency key, which this one must not withdraw or cancel.
    borrowed: bool,
}

/// Agent that has a call.
#[derive(Debug)]
struct Place {
    ticket: Assignment,
    events: EventStream,
    /// Time at which the call was first sent there.
    since: Instant,
}

impl Runner {
    /// Creates a runner.
    pub fn new(
        router: Router,
        remote: AgentClient,
        metrics: Metrics,
        address: Option<SocketAddr>,
    ) -> Self {
        Self {
            router,
            remote,
            metrics,
            address,
            budget: Arc::default(),
        }
    }

    /// Opens a call at an agent of its service.
    ///
    /// # Errors
    /// Returns the final answer when no agent takes the call.
    pub async fn open(&self, open: Open, patience: DeadlineScope) -> Result<Call, Fault> {
        let within = Duration::from_millis(open.deadline_ms.into());
        self.budget().record_attempt();
        self.metrics.open_calls.inc();
        let mut running = Call {
            runner: self.clone(),
            crashed_before: open.crashes,
            open,
            patience,
            deadline: Instant::now() + within,
            progress: Progress::default(),
            place: None,
            tried: Vec::new(),
            losses: 0,
            joins: 0,
            borrowed: false,
        };
        running.open.entry = self.address;
        match running.connect().await {
            Ok(()) => Ok(running),
            Err(fault) => Err(self.count(running.truthful(fault))),
        }
    }

    /// Returns the calls that retries may still be made for.
    pub fn available_retries(&self) -> f64 {
        self.budget().available()
    }

    fn budget(&self) -> std::sync::MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, fault: Fault) -> Fault {
        self.metrics.record_fault(&fault);
        fault
    }
}

impl Call {
    /// Waits for the next part of the answer; after an error the call has ended.
    ///
    /// # Errors
    /// Returns the final answer of a call that fails.
    pub async fn next(&mut self) -> Result<Part, Fault> {
        loop {
            match self.step().await {
                Ok(Some(part)) => return Ok(part),
                Ok(None) => {}
                Err(fault) => {
                    self.place = None;
                    return Err(self.runner.count(self.truthful(fault)));
                }
            }
        }
    }

    /// Waits for the start and returns the version that answers.
    ///
    /// # Errors
    /// Returns the final answer of a call that fails.
    pub async fn started(&mut self) -> Result<String, Fault> {
        match self.next().await? {
            Part::Started(version) => Ok(version),
            _ => Err(Fault::unknown(Code::BackendFailed, "answer without start")),
        }
    }

    async fn step(&mut self) -> Result<Option<Part>, Fault> {
        let deadline = self.deadline + DEADLINE_GRACE;
        let bounded = self.patience == DeadlineScope::Answer || self.progress.version().is_none();
        let Some(place) = &mut self.place else {
            return Err(Fault::unknown(Code::BackendFailed, "the call has ended"));
        };
        let event = if bounded {
            match timeout_at(deadline, place.events.next()).await {
                Ok(event) => event,
                Err(_) => return Err(self.give_up().await),
            }
        } else {
            place.events.next().await
        };
        match event {
            Ok(body) => self.take(body).await,
            Err(error) => self.recover(&error.to_string()).await.map(|()| None),
        }
    }

    /// Corrects the word of the last agent by what happened at earlier ones.
    fn truthful(&self, mut fault: Fault) -> Fault {
        let may_have_run = self.progress.sent_tokens() > 0 || self.losses > 0;
        if may_have_run && fault.outcome == Outcome::NotRun {
            fault.outcome = Outcome::Unknown;
        }
        fault
    }

    fn idempotent(&self) -> bool {
        match &self.open.work {
            Work::Model(_) => true,
            Work::Plain(plain) => plain.idempotent,
        }
    }

    fn need(&self) -> Requirements<'_> {
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

    /// Returns the message that opens or joins the call now, with the time left and the tokens reached.
    fn message(&mut self, join: bool) -> &Open {
        let left = self.deadline.saturating_duration_since(Instant::now());
        let started = self.progress.version().is_some();
        // A streamed answer that has started has no deadline any more; its resume only has to be admitted.
        if !(started && self.patience == DeadlineScope::Start) {
            self.open.deadline_ms = u32::try_from(left.as_millis()).unwrap_or(u32::MAX);
        }
        self.open.join = join;
        if let Work::Model(generation) = &mut self.open.work {
            generation.reached = self.progress.sent_tokens();
            self.progress.text().clone_into(&mut generation.prefix);
        }
        &self.open
    }

    fn connection(&self) -> Connection {
        if self.idempotent() {
            Connection::Pooled
        } else {
            Connection::Fresh
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.runner.metrics.open_calls.dec();
        let Some(place) = self.place.take().filter(|_| !self.borrowed) else {
            return;
        };
        let remote = self.runner.remote.clone();
        let call = self.open.id;
        if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            // Best effort: an agent that can't be told runs the call to its end.
            runtime.spawn(async move { remote.cancel(place.ticket.address, call).await });
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
