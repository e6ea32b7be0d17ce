//! Calls to the plain service.

use std::{sync::Arc, time::Duration};

use http::header;
use pistachiolug_ledger::claim::Claims;
use pistachiolug_platform::{
    engine::Engine,
    plain::{self, Service},
};
use pistachiolug_wire::{
    call::{Body, Plain, Response as Answer},
    fault::{Code, Fault},
};

use tokio::sync::watch;

use super::{
    Calls,
    run::{Command, Run},
    withdraw::stop_event,
};

/// Retry delay of a call that did not reach the service.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Result of one run at the plain service.
pub(super) enum RunResult {
    /// The service answered.
    Answered(Answer),
    /// The call certainly did not run.
    NotRun(Fault),
    /// The call may have run.
    Unknown(Fault),
}

impl<E: Engine, S: Service, C: Claims> Calls<E, S, C> {
    /// Runs a plain call; claims its idempotency key first if the call must not run twice.
    ///
    /// A call without a key needs no claim. Only its id identifies it, an entry sends the id elsewhere only after
    /// this agent has answered `not-run` with certainty, and the table of this process starts an id at most once.
    pub(super) async fn call_plain(&self, run: &Arc<Run>, plain: &Plain) -> Body {
        if let Some(key) = plain.key.as_ref().filter(|_| !plain.idempotent) {
            return self.run_with_claim(run, plain, key).await;
        }
        if !self.try_start(run) {
            return stop_event(Command::Cancel);
        }
        match self.run_plain(run, plain).await {
            RunResult::Answered(answer) => Body::Response(answer),
            RunResult::NotRun(fault) | RunResult::Unknown(fault) => Body::Failed(fault),
        }
    }

    /// Sends a call that has been marked as started to the service, unless its deadline has passed.
    pub(super) async fn run_plain(&self, run: &Run, plain: &Plain) -> RunResult {
        let time_limit = Duration::from_millis(run.open.deadline_ms.into());
        let remaining = (run.arrived_at + time_limit).saturating_sub(self.now());
        if remaining.is_zero() {
            let message = "caller's time is over";
            let fault = Fault::not_run(Code::DeadlineExceeded, UNREACHABLE_RETRY_AFTER, message);
            return RunResult::NotRun(fault);
        }
        self.record_start(run, "");
        let mut commands = run.commands();
        let result = tokio::select! {
            result = self.inner.dependencies.service.call(plain, remaining) => result,
            () = wait_for_cancel(&mut commands), if plain.idempotent => {
                return RunResult::Unknown(Fault::unknown(Code::Revoked, "caller is gone"));
            }
        };
        match result {
            Ok(response) => RunResult::Answered(to_answer(response)),
            Err(error) => self.handle_error(run, plain, error).await,
        }
    }

    async fn handle_error(&self, run: &Run, plain: &Plain, error: plain::Error) -> RunResult {
        let message = error.to_string();
        match error {
            plain::Error::Unreachable { .. } => RunResult::NotRun(Fault::not_run(
                Code::Unavailable,
                UNREACHABLE_RETRY_AFTER,
                &message,
            )),
            plain::Error::Broken { .. } => {
                // A plain service reports no incarnation, so each broken connection counts as a crash of its own.
                self.record_crash(run, rand::random()).await;
                let code = if plain.idempotent {
                    Code::CrashSuspect
                } else {
                    Code::BackendFailed
                };
                RunResult::Unknown(Fault::unknown(code, &message))
            }
            plain::Error::Unknown { .. } => {
                RunResult::Unknown(Fault::unknown(Code::BackendFailed, &message))
            }
        }
    }
}

/// Waits until the call is cancelled because nobody needs the answer.
async fn wait_for_cancel(commands: &mut watch::Receiver<Command>) {
    // Can't fail: the run owns the sender and exists as long as its driver.
    let _ = commands
        .wait_for(|command| *command == Command::Cancel)
        .await;
}

fn to_answer(response: http::Response<bytes::Bytes>) -> Answer {
    let content_type = response.headers().get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    Answer {
        status: response.status().as_u16(),
        content_type: content_type.unwrap_or_default().to_owned(),
        body: response.into_body(),
        replayed: false,
    }
}
