//! Calls that may not be repeated: a claim in the ledger before the start.

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
    plain::Ran,
    run::{Order, Run},
    withdraw::stopped,
};

/// Longest wait for the ledger's verdict.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(3);

/// Time from the start of a claim within which its call must start; a process that was paused for longer must not.
const START_TIME: Duration = Duration::from_secs(4);

/// Time after which a call may come back whose claim is not certain.
const CLAIM_RETRY: Duration = Duration::from_secs(2);

/// Wait before a failed write to the ledger is tried again.
const WRITE_RETRY: Duration = Duration::from_millis(500);

/// Attempts of a write to the ledger that follows a claim.
const WRITE_ATTEMPTS: u32 = 40;

/// Write that follows a claim.
#[derive(Debug)]
enum Write {
    /// The call ran and its answer is to be kept.
    Finish(Answer),
    /// The call surely did not run.
    Release,
}

impl<E: Engine, S: Service, C: Claims> Calls<E, S, C> {
    /// Claims a call by its key, then runs it or gives it what the earlier send of the key got.
    pub(super) async fn call_claimed(&self, run: &Arc<Run>, plain: &Plain, key: &str) -> Body {
        let claim = self.claim(run, key);
        let asked = self.now();
        let verdict = timeout(CLAIM_TIMEOUT, self.inner.parts.claims.claim(&claim)).await;
        match verdict {
            Ok(Ok(Decision::Granted)) => self.run_claimed(run, plain, claim, asked).await,
            Ok(Ok(Decision::Held(held))) => self.join_held(run, &held).await,
            Ok(Ok(Decision::Finished(answer))) => Body::Response(Answer {
                replayed: true,
                ..answer
            }),
            Ok(Ok(Decision::Spent)) => spent(),
            Ok(Ok(Decision::KeyReused)) => Body::Failed(Fault::not_run(
                Code::KeyReused,
                Duration::ZERO,
                "idempotency key was used for another request",
            )),
            Ok(Err(error)) => self.uncertain(run, claim, &error.to_string()),
            Err(_) => self.uncertain(run, claim, "no verdict in time"),
        }
    }

    fn claim(&self, run: &Run, key: &str) -> Claim {
        let options = &self.inner.options;
        Claim {
            key: Key {
                customer: run.open.customer.clone(),
                service: run.open.service.clone(),
                key: key.to_owned(),
            },
            content: run.open.content,
            call: run.open.id,
            holder: self.inner.parts.incarnation.get().unwrap_or(0),
            instance: options.instance.clone(),
        }
    }

    async fn run_claimed(
        &self,
        run: &Arc<Run>,
        plain: &Plain,
        claim: Claim,
        asked: Duration,
    ) -> Body {
        // The check is the last step before the start, so that a pause before it is seen.
        let late = self.now().saturating_sub(asked) > START_TIME;
        if late || !self.begin(run) {
            self.write_later(claim, Write::Release);
            return if late {
                not_claimed("claim took too long")
            } else {
                stopped(Order::Cancel)
            };
        }
        match self.run_plain(run, plain).await {
            Ran::Answered(answer) => {
                self.write_later(claim, Write::Finish(answer.clone()));
                Body::Response(answer)
            }
            Ran::NotRun(fault) => {
                self.write_later(claim, Write::Release);
                Body::Failed(fault)
            }
            Ran::Unknown(fault) => Body::Failed(fault),
        }
    }

    /// Joins the earlier send of the key, here or elsewhere.
    async fn join_held(&self, run: &Arc<Run>, held: &Claim) -> Body {
        let options = &self.inner.options;
        if held.instance != options.instance {
            return Body::Elsewhere(Elsewhere {
                instance: held.instance.clone(),
                call: held.call,
            });
        }
        if self.is_withdrawn(held.call) {
            return not_claimed("an earlier send was withdrawn and its claim is being given back");
        }
        let earlier = self.known_run(held.call);
        let Some(earlier) = earlier.filter(|earlier| earlier.is_same(&run.open)) else {
            return spent();
        };
        // The slot is of no use while the earlier run goes on.
        let now = self.now();
        self.desk().schedule.end(run.open.id, now);
        self.pump();
        let mut log = earlier.log();
        // The run holds the sender.
        let _ = log.wait_for(|log| log.end.is_some()).await;
        match earlier.read(|log| log.end.clone()) {
            Some(Body::Response(answer)) => Body::Response(Answer {
                replayed: true,
                ..answer
            }),
            Some(end) => end,
            None => spent(),
        }
    }

    fn is_withdrawn(&self, call: Id) -> bool {
        let desk = self.desk();
        let known = desk.table.find(call);
        known.is_some_and(|(stage, _)| stage == Stage::Withdrawn)
    }

    /// Gives up a call whose claim may or may not have been written.
    ///
    /// It never starts, so the claim is given back as soon as the ledger answers; until then a resend is told where the
    /// claim is held.
    fn uncertain(&self, run: &Run, claim: Claim, reason: &str) -> Body {
        let now = self.now();
        self.desk().table.withdraw(run.open.id, now);
        self.write_later(claim, Write::Release);
        not_claimed(reason)
    }

    /// Writes to the ledger beside the answer, so that the caller does not wait for it.
    fn write_later(&self, claim: Claim, write: Write) {
        self.desk().claims += 1;
        let calls = self.clone();
        tokio::spawn(async move {
            calls.write(&claim, &write).await;
            calls.desk().claims -= 1;
        });
    }

    async fn write(&self, claim: &Claim, write: &Write) {
        let claims = &self.inner.parts.claims;
        for _ in 0..WRITE_ATTEMPTS {
            let written = match write {
                Write::Finish(answer) => timeout(CLAIM_TIMEOUT, claims.finish(claim, answer)).await,
                Write::Release => timeout(CLAIM_TIMEOUT, claims.release(claim)).await,
            };
            match written {
                Ok(Ok(())) => return,
                Ok(Err(error)) => log::warn!(call:% = claim.call, error:%; "ledger not written"),
                Err(_) => log::warn!(call:% = claim.call; "ledger gave no answer in time"),
            }
            sleep(WRITE_RETRY).await;
        }
    }
}

fn spent() -> Body {
    let message = "an earlier call with the key ran or may have run";
    Body::Failed(Fault::unknown(Code::BackendFailed, message))
}

fn not_claimed(reason: &str) -> Body {
    Body::Failed(Fault::not_run(Code::ClaimUnavailable, CLAIM_RETRY, reason))
}
