//! Calls that must not run twice: their idempotency key is claimed in the ledger before they start.

use std::{sync::Arc, time::Duration};

use pistachiolug_ledger::claim::{Claim, Claims, Decision, Key};
use pistachiolug_platform::{engine::Engine, plain::Service};
use pistachiolug_routing::table::Stage;
use pistachiolug_wire::{
    call::{Body, Elsewhere, Id, Plain, Response as Answer},
    fault::{Code, Fault},
};
use tokio::time::{sleep, timeout};

use super::{
    Calls,
    plain::RunResult,
    run::{Command, Run},
    withdraw::stop_event,
};

/// Timeout of one request to the ledger.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after the start of a claim within which its call must start; a process that was paused for longer must not
/// start the call.
const START_TIMEOUT: Duration = Duration::from_secs(4);

/// Retry delay of a call whose claim is uncertain.
const CLAIM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Delay before a failed write to the ledger is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Number of attempts to write to the ledger after a claim.
const WRITE_ATTEMPTS: u32 = 40;

/// Write to the ledger that follows a claim.
#[derive(Debug)]
enum Write {
    /// The call ran; stores its answer under the key.
    Finish(Answer),
    /// The call certainly did not run; releases the key.
    Release,
}

impl<E: Engine, S: Service, C: Claims> Calls<E, S, C> {
    /// Claims the key of a call, then runs the call or answers it with the result of the earlier call with this key.
    pub(super) async fn run_with_claim(&self, run: &Arc<Run>, plain: &Plain, key: &str) -> Body {
        let claim = self.build_claim(run, key);
        let claimed_at = self.now();
        let verdict = timeout(CLAIM_TIMEOUT, self.inner.dependencies.claims.claim(&claim)).await;
        match verdict {
            Ok(Ok(Decision::Granted)) => self.run_claimed(run, plain, claim, claimed_at).await,
            Ok(Ok(Decision::Held(existing))) => self.join_existing(run, &existing).await,
            Ok(Ok(Decision::Finished(answer))) => Body::Response(Answer {
                replayed: true,
                ..answer
            }),
            Ok(Ok(Decision::Spent)) => spent_key(),
            Ok(Ok(Decision::KeyReused)) => Body::Failed(Fault::not_run(
                Code::KeyReused,
                Duration::ZERO,
                "idempotency key was used for another request",
            )),
            Ok(Err(error)) => self.fail_uncertain(run, claim, &error.to_string()),
            Err(_) => self.fail_uncertain(run, claim, "no verdict in time"),
        }
    }

    fn build_claim(&self, run: &Run, key: &str) -> Claim {
        let options = &self.inner.options;
        Claim {
            key: Key {
                customer: run.open.customer.clone(),
                service: run.open.service.clone(),
                key: key.to_owned(),
            },
            content: run.open.content,
            call: run.open.id,
            holder: self.inner.dependencies.incarnation.get().unwrap_or(0),
            instance: options.instance.clone(),
        }
    }

    async fn run_claimed(
        &self,
        run: &Arc<Run>,
        plain: &Plain,
        claim: Claim,
        claimed_at: Duration,
    ) -> Body {
        // This check is the last step before the start, so that it notices every earlier pause of the process.
        let is_late = self.now().saturating_sub(claimed_at) > START_TIMEOUT;
        if is_late || !self.try_start(run) {
            self.spawn_write(claim, Write::Release);
            return if is_late {
                claim_unavailable("claim took too long")
            } else {
                stop_event(Command::Cancel)
            };
        }
        match self.run_plain(run, plain).await {
            RunResult::Answered(answer) => {
                self.spawn_write(claim, Write::Finish(answer.clone()));
                Body::Response(answer)
            }
            RunResult::NotRun(fault) => {
                self.spawn_write(claim, Write::Release);
                Body::Failed(fault)
            }
            RunResult::Unknown(fault) => Body::Failed(fault),
        }
    }

    /// Joins the earlier call with the key, which runs here or at another instance.
    async fn join_existing(&self, run: &Arc<Run>, existing: &Claim) -> Body {
        let options = &self.inner.options;
        if existing.instance != options.instance {
            return Body::Elsewhere(Elsewhere {
                instance: existing.instance.clone(),
                call: existing.call,
            });
        }
        if self.is_withdrawn(existing.call) {
            return claim_unavailable(
                "an earlier send was withdrawn and its claim is being given back",
            );
        }
        let earlier = self.find_run(existing.call);
        let Some(earlier) = earlier.filter(|earlier| earlier.is_same(&run.open)) else {
            return spent_key();
        };
        // The call needs no slot while it waits for the earlier run.
        let now = self.now();
        self.lock().schedule.end(run.open.id, now);
        self.apply_schedule();
        let mut output = earlier.subscribe();
        // Can't fail: the run owns the sender.
        let _ = output.wait_for(|output| output.end.is_some()).await;
        match earlier.read(|output| output.end.clone()) {
            Some(Body::Response(answer)) => Body::Response(Answer {
                replayed: true,
                ..answer
            }),
            Some(end) => end,
            None => spent_key(),
        }
    }

    fn is_withdrawn(&self, call: Id) -> bool {
        let state = self.lock();
        let known = state.table.get(call);
        known.is_some_and(|(stage, _)| stage == Stage::Withdrawn)
    }

    /// Ends a call whose claim may or may not have been written.
    ///
    /// The call never starts, so its claim is released as soon as the ledger answers. Until then a later send is told
    /// which instance holds the claim.
    fn fail_uncertain(&self, run: &Run, claim: Claim, reason: &str) -> Body {
        let now = self.now();
        self.lock().table.withdraw(run.open.id, now);
        self.spawn_write(claim, Write::Release);
        claim_unavailable(reason)
    }

    /// Writes to the ledger in the background, so that the caller does not wait for it.
    fn spawn_write(&self, claim: Claim, write: Write) {
        self.lock().pending_claim_writes += 1;
        let calls = self.clone();
        tokio::spawn(async move {
            calls.write_with_retries(&claim, &write).await;
            calls.lock().pending_claim_writes -= 1;
        });
    }

    async fn write_with_retries(&self, claim: &Claim, write: &Write) {
        let claims = &self.inner.dependencies.claims;
        for _ in 0..WRITE_ATTEMPTS {
            let result = match write {
                Write::Finish(answer) => timeout(CLAIM_TIMEOUT, claims.finish(claim, answer)).await,
                Write::Release => timeout(CLAIM_TIMEOUT, claims.release(claim)).await,
            };
            match result {
                Ok(Ok(())) => return,
                Ok(Err(error)) => log::warn!(call:% = claim.call, error:%; "ledger write failed"),
                Err(_) => log::warn!(call:% = claim.call; "ledger write timed out"),
            }
            sleep(WRITE_RETRY_DELAY).await;
        }
    }
}

fn spent_key() -> Body {
    let message = "an earlier call with the key ran or may have run";
    Body::Failed(Fault::unknown(Code::BackendFailed, message))
}

fn claim_unavailable(reason: &str) -> Body {
    Body::Failed(Fault::not_run(
        Code::ClaimUnavailable,
        CLAIM_RETRY_AFTER,
        reason,
    ))
}
