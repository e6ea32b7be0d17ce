//! Recovery of calls that an agent refused, whose connection was lost, or whose backend server failed.

use std::net::SocketAddr;

use pistachiolug_membership::exclusion::Cause;
use pistachiolug_wire::{
    call::{Elsewhere, Id, Work},
    fault::{Code, Fault},
    outcome::Outcome,
    revoke::{Revoke, Verdict},
};
use tokio::time::Instant;

use super::{Attempt, Call, RETRY_AFTER};
use crate::{
    agent_client::{self, Connection, EventStream},
    metrics::MoveReason,
    router::Assignment,
};

/// Largest number of agents at which one call is opened.
const MAX_AGENTS: usize = 6;

/// Number of losses at which a call fails. A loss is an instance or backend server lost while it ran the same content.
///
/// Losses of earlier requests count too. A request that crashes its backend server thus reaches two servers and no
/// third one, even if no agent is left that could report the crashes.
const MAX_LOSSES: u8 = 2;

/// Number of joins without a new token after which a call counts as lost.
const MAX_JOINS: u8 = 3;

/// Number of attempts to revoke a lost call that must not run twice.
const REVOKE_ATTEMPTS: u32 = 2;

impl Call {
    /// Opens the call at an agent at which it was not open yet.
    ///
    /// # Errors
    /// Returns the fault for the caller if there is no such agent, the deadline has passed or no retry is left.
    pub(super) async fn open_at_agent(&mut self) -> Result<(), Fault> {
        loop {
            let assignment = self.assign_agent()?;
            self.tried.push(assignment.name.clone());
            let first_sent_at = Instant::now();
            let connection = self.choose_connection();
            let agent_client = self.runner.agent_client.clone();
            let opened = agent_client
                .open(assignment.address, self.prepare_open(false), connection)
                .await;
            match opened {
                Ok(events) => {
                    self.attempt = Some(Attempt {
                        assignment,
                        events,
                        first_sent_at,
                    });
                    return Ok(());
                }
                Err(agent_client::Error::Unsent { .. }) => {
                    self.runner
                        .router
                        .view
                        .exclude(&assignment.name, Cause::Lost);
                    self.runner.metrics.record_move(MoveReason::Unsent);
                    self.spend_retry(RETRY_AFTER.as_millis() as u32)?;
                }
                Err(error) => {
                    if self
                        .resolve_loss(assignment, first_sent_at, &error.to_string())
                        .await?
                    {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Joins the call again or opens it at another agent after the exchange with its agent failed.
    pub(super) async fn recover(&mut self, reason: &str) -> Result<(), Fault> {
        let Some(attempt) = self.attempt.take() else {
            return Err(Fault::unknown(Code::BackendFailed, reason));
        };
        drop(attempt.events);
        if self
            .resolve_loss(attempt.assignment, attempt.first_sent_at, reason)
            .await?
        {
            return Ok(());
        }
        self.open_at_agent().await
    }

    /// Opens the call at another agent after its agent reported a fault, if it may run again.
    pub(super) async fn handle_fault(&mut self, fault: Fault) -> Result<(), Fault> {
        let Some(attempt) = self.attempt.take().filter(|_| !self.is_follower) else {
            return Err(fault);
        };
        self.set_cache_agent(None);
        let name = &attempt.assignment.name;
        let router = self.runner.router.clone();
        let reason = match (fault.outcome, fault.code) {
            (Outcome::NotRun, Code::Leaving) => {
                router.view.exclude(name, Cause::Left);
                self.set_cache_agent(Some(attempt.assignment.address));
                MoveReason::Refused
            }
            (Outcome::NotRun, Code::Unavailable | Code::Overloaded) => {
                router.avoid(name, self.requirements().model);
                MoveReason::Refused
            }
            (Outcome::Unknown, Code::CrashSuspect | Code::BackendFailed)
                if self.is_repeatable() =>
            {
                self.record_loss(&fault)?;
                MoveReason::Resumed
            }
            _ => return Err(fault),
        };
        drop(attempt);
        self.spend_retry(fault.retry_after_ms)?;
        self.runner.metrics.record_move(reason);
        // The agent's fault tells the caller more than the fault that no other agent is left.
        self.open_at_agent()
            .await
            .map_err(|last| match last.outcome {
                Outcome::NotRun if last.code == Code::Unavailable => fault,
                _ => last,
            })
    }

    /// Joins the run of an earlier request with the same idempotency key.
    pub(super) async fn join_earlier_call(&mut self, elsewhere: &Elsewhere) -> Result<(), Fault> {
        self.attempt = None;
        let unknown = || {
            let message =
                "an earlier call with the key may be running at an instance that is out of reach";
            Fault::unknown(Code::BackendFailed, message)
        };
        if self.tried.contains(&elsewhere.instance) && self.open.id == elsewhere.call {
            return Err(unknown());
        }
        let assignment = self.runner.router.assign_to(&elsewhere.instance);
        let assignment = assignment.ok_or_else(unknown)?;
        self.open.id = elsewhere.call;
        self.is_follower = true;
        self.tried.push(assignment.name.clone());
        let events = self.join(assignment.address).await.map_err(|_| unknown())?;
        self.attempt = Some(Attempt {
            assignment,
            events,
            first_sent_at: Instant::now(),
        });
        Ok(())
    }

    /// Withdraws or cancels the call after its deadline and returns the fault for the caller.
    pub(super) async fn end_at_deadline(&mut self) -> Fault {
        let message = "the deadline passed";
        let Some(attempt) = self.attempt.take() else {
            return Fault::unknown(Code::DeadlineExceeded, message);
        };
        if self.is_follower {
            return Fault::unknown(Code::DeadlineExceeded, message);
        }
        let verdict = self
            .revoke(attempt.assignment.address, attempt.first_sent_at, 1)
            .await;
        if verdict == Some(Verdict::Withdrawn) {
            return Fault::not_run(Code::DeadlineExceeded, RETRY_AFTER, message);
        }
        // Best effort: an agent that the message doesn't reach runs the call to its end.
        let _ = self
            .runner
            .agent_client
            .cancel(attempt.assignment.address, self.open.id)
            .await;
        Fault::unknown(Code::DeadlineExceeded, message)
    }

    /// Finds out how far a lost call came; returns `true` if it was joined, `false` if it can be opened elsewhere.
    async fn resolve_loss(
        &mut self,
        assignment: Assignment,
        first_sent_at: Instant,
        reason: &str,
    ) -> Result<bool, Fault> {
        match self.query_verdict(&assignment, first_sent_at).await {
            Some(Verdict::Withdrawn) => {
                self.spend_retry(RETRY_AFTER.as_millis() as u32)?;
                self.runner.metrics.record_move(MoveReason::Withdrawn);
                return Ok(false);
            }
            Some(Verdict::Started | Verdict::Finished) if self.joins_since_token < MAX_JOINS => {
                self.joins_since_token += 1;
                if let Ok(events) = self.join(assignment.address).await {
                    self.runner.metrics.record_move(MoveReason::Joined);
                    self.attempt = Some(Attempt {
                        assignment,
                        events,
                        first_sent_at,
                    });
                    return Ok(true);
                }
            }
            Some(_) => {}
            None => self
                .runner
                .router
                .view
                .exclude(&assignment.name, Cause::Lost),
        }
        let fault = Fault::unknown(Code::BackendFailed, reason);
        if self.is_follower || !self.is_repeatable() {
            return Err(fault);
        }
        self.record_loss(&fault)?;
        self.spend_retry(0)?;
        self.runner.metrics.record_move(MoveReason::Resumed);
        Ok(false)
    }

    /// Asks the agent to revoke the call, unless the run belongs to an earlier request; `None` without an answer.
    async fn query_verdict(
        &self,
        assignment: &Assignment,
        first_sent_at: Instant,
    ) -> Option<Verdict> {
        if self.is_follower {
            return Some(Verdict::Started);
        }
        let attempts = if self.is_repeatable() {
            1
        } else {
            REVOKE_ATTEMPTS
        };
        self.revoke(assignment.address, first_sent_at, attempts)
            .await
    }

    async fn revoke(
        &self,
        address: SocketAddr,
        first_sent_at: Instant,
        attempts: u32,
    ) -> Option<Verdict> {
        let age = first_sent_at.elapsed();
        let revoke = Revoke {
            call: self.open.id,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        };
        for _ in 0..attempts {
            if let Ok(verdict) = self.runner.agent_client.revoke(address, &revoke).await {
                return Some(verdict);
            }
        }
        None
    }

    async fn join(&mut self, address: SocketAddr) -> Result<EventStream, agent_client::Error> {
        let agent_client = self.runner.agent_client.clone();
        let open = self.prepare_open(true);
        agent_client.open(address, open, Connection::Fresh).await
    }

    /// Chooses the next agent; after a loss, under a new call id, one that was tried before may be chosen again.
    fn assign_agent(&mut self) -> Result<Assignment, Fault> {
        let has_started = self.progress.version().is_some();
        if !has_started && Instant::now() >= self.deadline {
            let message = "the deadline passed";
            return Err(Fault::not_run(Code::DeadlineExceeded, RETRY_AFTER, message));
        }
        let router = self.runner.router.clone();
        let assignment = if self.tried.len() < MAX_AGENTS {
            router.assign(self.requirements(), &self.tried)
        } else {
            None
        };
        if assignment.is_none() && self.losses > 0 {
            // Only repeatable calls get here after a loss. They may run again at the same agents, as a new call.
            self.open.id = Id(rand::random());
            self.tried.clear();
            return router
                .assign(self.requirements(), &[])
                .ok_or_else(unavailable);
        }
        assignment.ok_or_else(unavailable)
    }

    /// Records the loss of the instance or backend server that ran the call.
    ///
    /// # Errors
    /// Returns `fault` if the content has caused [`MAX_LOSSES`] losses.
    fn record_loss(&mut self, fault: &Fault) -> Result<(), Fault> {
        self.losses += 1;
        if fault.code == Code::CrashSuspect {
            self.open.crashes = self.open.crashes.saturating_add(1);
        }
        if self.losses.saturating_add(self.earlier_crashes) >= MAX_LOSSES {
            return Err(fault.clone());
        }
        Ok(())
    }

    /// Takes a retry from the budget.
    ///
    /// # Errors
    /// Returns a fault that asks the caller to retry after `retry_after_ms` or later if no retry is left.
    fn spend_retry(&self, retry_after_ms: u32) -> Result<(), Fault> {
        if self.runner.lock_budget().try_spend() {
            return Ok(());
        }
        self.runner.metrics.record_budget_refusal();
        let mut fault = unavailable();
        fault.retry_after_ms = retry_after_ms.max(fault.retry_after_ms);
        Err(fault)
    }

    /// Sets or clears the agent that keeps the engine cache of the tokens sent so far.
    fn set_cache_agent(&mut self, address: Option<SocketAddr>) {
        let is_resume = self.progress.sent_tokens() > 0;
        if let Work::Model(generation) = &mut self.open.work {
            generation.cache = address.filter(|_| is_resume);
        }
    }
}

fn unavailable() -> Fault {
    let message = "no instance that could run the call is within reach";
    Fault::not_run(Code::Unavailable, RETRY_AFTER, message)
}
