//! Recovery of a call that an agent refused, or that was lost on its way or where it ran.

use std::net::SocketAddr;

use pistachiolug_membership::exclusion::Cause;
use pistachiolug_wire::{
    call::{Elsewhere, Id, Work},
    fault::{Code, Fault},
    outcome::Outcome,
    revoke::{Revoke, Verdict},
};
use tokio::time::Instant;

use super::{Call, Place, RETRY_AFTER};
use crate::{
    agent_client::{self, Connection, EventStream},
    metrics::MoveReason,
    router::Assignment,
};

/// Agents that one call is opened at, at the most.
const AGENTS: usize = 6;

/// Instances or backend servers that may be lost while they run one content, earlier sends included.
///
/// A request that kills its server so reaches two servers and no third, even when nobody is left to report it.
const LOSSES: u8 = 2;

/// Joins without a new token after which a call counts as lost.
const JOINS: u8 = 3;

/// Attempts to learn what became of a call that may not be repeated.
const VERDICTS: u32 = 2;

impl Call {
    /// Opens the call at an agent that has not had it.
    ///
    /// # Errors
    /// Returns the final answer when there is none or the deadline has passed.
    pub(super) async fn connect(&mut self) -> Result<(), Fault> {
        loop {
            let ticket = self.take_ticket()?;
            self.tried.push(ticket.name.clone());
            let since = Instant::now();
            let connection = self.connection();
            let remote = self.runner.remote.clone();
            let opened = remote
                .open(ticket.address, self.message(false), connection)
                .await;
            match opened {
                Ok(events) => {
                    self.place = Some(Place {
                        ticket,
                        events,
                        since,
                    });
                    return Ok(());
                }
                Err(agent_client::Error::Unsent { .. }) => {
                    self.runner.router.view.exclude(&ticket.name, Cause::Lost);
                    self.runner.metrics.record_move(MoveReason::Unsent);
                    self.spend(RETRY_AFTER.as_millis() as u32)?;
                }
                Err(error) => {
                    if self.settle(ticket, since, &error.to_string()).await? {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Goes on after the exchange with the agent broke.
    pub(super) async fn recover(&mut self, reason: &str) -> Result<(), Fault> {
        let Some(place) = self.place.take() else {
            return Err(Fault::unknown(Code::BackendFailed, reason));
        };
        drop(place.events);
        if self.settle(place.ticket, place.since, reason).await? {
            return Ok(());
        }
        self.connect().await
    }

    /// Goes on after an agent's refusal or its report of a failure.
    pub(super) async fn refused(&mut self, fault: Fault) -> Result<(), Fault> {
        let Some(place) = self.place.take().filter(|_| !self.borrowed) else {
            return Err(fault);
        };
        self.point_to_cache(None);
        let name = &place.ticket.name;
        let router = self.runner.router.clone();
        let moved = match (fault.outcome, fault.code) {
            (Outcome::NotRun, Code::Leaving) => {
                router.view.exclude(name, Cause::Left);
                self.point_to_cache(Some(place.ticket.address));
                MoveReason::Refused
            }
            (Outcome::NotRun, Code::Unavailable | Code::Overloaded) => {
                router.avoid(name, self.need().model);
                MoveReason::Refused
            }
            (Outcome::Unknown, Code::CrashSuspect | Code::BackendFailed) if self.idempotent() => {
                self.lose(&fault)?;
                MoveReason::Resumed
            }
            _ => return Err(fault),
        };
        drop(place);
        self.spend(fault.retry_after_ms)?;
        self.runner.metrics.record_move(moved);
        // The refusal says more than that no other agent is left.
        self.connect().await.map_err(|last| match last.outcome {
            Outcome::NotRun if last.code == Code::Unavailable => fault,
            _ => last,
        })
    }

    /// Joins an earlier call with the same idempotency key.
    pub(super) async fn follow(&mut self, elsewhere: &Elsewhere) -> Result<(), Fault> {
        self.place = None;
        let unknown = || {
            let message =
                "an earlier call with the key may be running at an instance that is out of reach";
            Fault::unknown(Code::BackendFailed, message)
        };
        if self.tried.contains(&elsewhere.instance) && self.open.id == elsewhere.call {
            return Err(unknown());
        }
        let named = self.runner.router.assign_to(&elsewhere.instance);
        let ticket = named.ok_or_else(unknown)?;
        self.open.id = elsewhere.call;
        self.borrowed = true;
        self.tried.push(ticket.name.clone());
        let events = self.join(ticket.address).await.map_err(|_| unknown())?;
        self.place = Some(Place {
            ticket,
            events,
            since: Instant::now(),
        });
        Ok(())
    }

    /// Ends a call whose deadline has passed.
    pub(super) async fn give_up(&mut self) -> Fault {
        let late = "the deadline passed";
        let Some(place) = self.place.take() else {
            return Fault::unknown(Code::DeadlineExceeded, late);
        };
        if self.borrowed {
            return Fault::unknown(Code::DeadlineExceeded, late);
        }
        let verdict = self.verdict(place.ticket.address, place.since, 1).await;
        if verdict == Some(Verdict::Withdrawn) {
            return Fault::not_run(Code::DeadlineExceeded, RETRY_AFTER, late);
        }
        // Best effort: an agent that can't be told runs the call to its end.
        let _ = self
            .runner
            .remote
            .cancel(place.ticket.address, self.open.id)
            .await;
        Fault::unknown(Code::DeadlineExceeded, late)
    }

    /// Learns what became of a lost call; `true` if it was joined, `false` if it may be opened elsewhere.
    async fn settle(
        &mut self,
        ticket: Assignment,
        since: Instant,
        reason: &str,
    ) -> Result<bool, Fault> {
        match self.fate(&ticket, since).await {
            Some(Verdict::Withdrawn) => {
                self.spend(RETRY_AFTER.as_millis() as u32)?;
                self.runner.metrics.record_move(MoveReason::Withdrawn);
                return Ok(false);
            }
            Some(Verdict::Started | Verdict::Finished) if self.joins < JOINS => {
                self.joins += 1;
                if let Ok(events) = self.join(ticket.address).await {
                    self.runner.metrics.record_move(MoveReason::Joined);
                    self.place = Some(Place {
                        ticket,
                        events,
                        since,
                    });
                    return Ok(true);
                }
            }
            Some(_) => {}
            None => self.runner.router.view.exclude(&ticket.name, Cause::Lost),
        }
        let fault = Fault::unknown(Code::BackendFailed, reason);
        if self.borrowed || !self.idempotent() {
            return Err(fault);
        }
        self.lose(&fault)?;
        self.spend(0)?;
        self.runner.metrics.record_move(MoveReason::Resumed);
        Ok(false)
    }

    /// Learns how far a lost call came, without withdrawing one that is not this entry's.
    async fn fate(&self, ticket: &Assignment, since: Instant) -> Option<Verdict> {
        if self.borrowed {
            return Some(Verdict::Started);
        }
        let attempts = if self.idempotent() { 1 } else { VERDICTS };
        self.verdict(ticket.address, since, attempts).await
    }

    async fn verdict(&self, agent: SocketAddr, since: Instant, attempts: u32) -> Option<Verdict> {
        let age = since.elapsed();
        let revoke = Revoke {
            call: self.open.id,
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
        };
        for _ in 0..attempts {
            if let Ok(verdict) = self.runner.remote.revoke(agent, &revoke).await {
                return Some(verdict);
            }
        }
        None
    }

    async fn join(&mut self, agent: SocketAddr) -> Result<EventStream, agent_client::Error> {
        let remote = self.runner.remote.clone();
        let message = self.message(true);
        remote.open(agent, message, Connection::Fresh).await
    }

    fn take_ticket(&mut self) -> Result<Assignment, Fault> {
        let started = self.progress.version().is_some();
        if !started && Instant::now() >= self.deadline {
            let late = "the deadline passed";
            return Err(Fault::not_run(Code::DeadlineExceeded, RETRY_AFTER, late));
        }
        let router = self.runner.router.clone();
        let tried = if self.tried.len() < AGENTS {
            router.assign(self.need(), &self.tried)
        } else {
            None
        };
        if tried.is_none() && self.losses > 0 {
            // Only an idempotent call goes on after a loss, so it may run again where it ran, as another call.
            self.open.id = Id(rand::random());
            self.tried.clear();
            return router.assign(self.need(), &[]).ok_or_else(unavailable);
        }
        tried.ok_or_else(unavailable)
    }

    /// Counts a server that was lost with the call.
    fn lose(&mut self, fault: &Fault) -> Result<(), Fault> {
        self.losses += 1;
        if fault.code == Code::CrashSuspect {
            self.open.crashes = self.open.crashes.saturating_add(1);
        }
        if self.losses.saturating_add(self.crashed_before) >= LOSSES {
            return Err(fault.clone());
        }
        Ok(())
    }

    /// Takes a retry from the budget.
    fn spend(&self, retry_after_ms: u32) -> Result<(), Fault> {
        if self.runner.budget().try_spend() {
            return Ok(());
        }
        self.runner.metrics.record_budget_refusal();
        let mut fault = unavailable();
        fault.retry_after_ms = retry_after_ms.max(fault.retry_after_ms);
        Err(fault)
    }

    fn point_to_cache(&mut self, agent: Option<SocketAddr>) {
        let resumes = self.progress.sent_tokens() > 0;
        if let Work::Model(generation) = &mut self.open.work {
            generation.cache = agent.filter(|_| resumes);
        }
    }
}

fn unavailable() -> Fault {
    let message = "no instance that could run the call is within reach";
    Fault::not_run(Code::Unavailable, RETRY_AFTER, message)
}
