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
    withdraw::stopped,
};

/// Time after which a call may come back that the service did not take.
const UNREACHED_RETRY: Duration = Duration::from_secs(1);

/// Result of one run at the plain service.
pub(super) enum Ran {
    /// The service answered.
    Answered(Answer),
    /// The call surely did not run.
    NotRun(Fault),
    /// The call may have run.
    Unknown(Fault),
}

impl<E: Engine, S: Service, C: Claims> Calls<E, S, C> {
    /// Runs a plain call, with a claim if a later send with its key must not run again.
    ///
    /// A call without a key needs no claim: it is known by its id alone, an entry sends an id elsewhere only after a
    /// certain `not-run` from here, and within this process the table starts an id at most once.
    pub(super) async fn call_plain(&self, run: &Arc<Run>, plain: &Plain) -> Body {
        if let Some(key) = plain.key.as_ref().filter(|_| !plain.idempotent) {
            return self.call_claimed(run, plain, key).await;
        }
        if !self.begin(run) {
            return stopped(Command::Cancel);
        }
        match self.run_plain(run, plain).await {
            Ran::Answered(answer) => Body::Response(answer),
            Ran::NotRun(fault) | Ran::Unknown(fault) => Body::Failed(fault),
        }
    }

    /// Hands a call that has begun to the service.
    pub(super) async fn run_plain(&self, run: &Run, plain: &Plain) -> Ran {
        let within = Duration::from_millis(run.open.deadline_ms.into());
        let left = (run.arrived_at + within).saturating_sub(self.now());
        if left.is_zero() {
            let message = "caller's time is over";
            let fault = Fault::not_run(Code::DeadlineExceeded, UNREACHED_RETRY, message);
            return Ran::NotRun(fault);
        }
        self.note_start(run, "");
        let mut orders = run.commands();
        let called = tokio::select! {
            called = self.inner.dependencies.service.call(plain, left) => called,
            () = cancelled(&mut orders), if plain.idempotent => {
                return Ran::Unknown(Fault::unknown(Code::Revoked, "caller is gone"));
            }
        };
        match called {
            Ok(response) => Ran::Answered(answer(response)),
            Err(error) => self.plain_failed(run, plain, error).await,
        }
    }

    async fn plain_failed(&self, run: &Run, plain: &Plain, error: plain::Error) -> Ran {
        let message = error.to_string();
        match error {
            plain::Error::Unreachable { .. } => {
                Ran::NotRun(Fault::not_run(Code::Unavailable, UNREACHED_RETRY, &message))
            }
            plain::Error::Broken { .. } => {
                // Runs of one process can't be told apart here, so each break counts.
                self.suspect(run, rand::random()).await;
                let code = if plain.idempotent {
                    Code::CrashSuspect
                } else {
                    Code::BackendFailed
                };
                Ran::Unknown(Fault::unknown(code, &message))
            }
            plain::Error::Unknown { .. } => {
                Ran::Unknown(Fault::unknown(Code::BackendFailed, &message))
            }
        }
    }
}

/// Waits until nobody wants the answer.
async fn cancelled(orders: &mut watch::Receiver<Command>) {
    // The run holds the sender for as long as it is driven.
    let _ = orders.wait_for(|order| *order == Command::Cancel).await;
}

fn answer(response: http::Response<bytes::Bytes>) -> Answer {
    let content_type = response.headers().get(header::CONTENT_TYPE);
    let content_type = content_type.and_then(|value| value.to_str().ok());
    Answer {
        status: response.status().as_u16(),
        content_type: content_type.unwrap_or_default().to_owned(),
        body: response.into_body(),
        replayed: false,
    }
}
