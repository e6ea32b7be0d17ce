//! Withdrawal of calls: requested by an entry, because the caller has disconnected, or because the instance leaves.

use std::{sync::Arc, time::Duration};

use pistachiolug_ledger::claim::Claims;
use pistachiolug_platform::{engine::Engine, plain::Service};
use pistachiolug_routing::table::Stage;
use pistachiolug_wire::{
    call::{Body, Id},
    fault::{Code, Fault},
    revoke::Verdict,
};

use super::{
    Calls,
    run::{Command, Run},
};

/// Retry delay of a withdrawn call.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl<E: Engine, S: Service, C: Claims> Calls<E, S, C> {
    pub(super) fn withdraw(&self, id: Id) -> Verdict {
        match self.drop_queued(id, withdrawn_fault()) {
            Stage::Withdrawn | Stage::Queued => Verdict::Withdrawn,
            Stage::Started => Verdict::Started,
            Stage::Finished => Verdict::Finished,
        }
    }

    /// Withdraws a call that has not started; returns its stage afterwards.
    pub(super) fn drop_queued(&self, id: Id, fault: Fault) -> Stage {
        let now = self.now();
        let mut state = self.lock();
        let withdrawal = state.table.withdraw(id, now);
        let Some(run) = withdrawal.dropped else {
            return withdrawal.stage;
        };
        if state.schedule.end(id, now) {
            state.limits.settle(&run, 0, now);
        }
        drop(state);
        self.publish_end(&run, Body::Failed(fault));
        self.apply_schedule();
        withdrawal.stage
    }

    /// Withdraws a queued call; stops a started one if its work may be repeated.
    pub(super) fn cancel_call(&self, id: Id) -> Verdict {
        let verdict = self.withdraw(id);
        if verdict == Verdict::Started
            && let Some(run) = self.find_run(id).filter(|run| run.is_repeatable())
        {
            run.send_command(Command::Cancel);
            self.end_if_paused(&run);
        }
        verdict
    }

    pub(super) fn find_run(&self, id: Id) -> Option<Arc<Run>> {
        let state = self.lock();
        let (_, run) = state.table.get(id)?;
        run.cloned()
    }

    /// Ends a run that is paused, because it has no driver that would act on its command.
    pub(super) fn end_if_paused(&self, run: &Arc<Run>) {
        let is_paused = self.lock().schedule.is_waiting(run.open.id);
        if is_paused {
            let command = *run.commands().borrow();
            self.end_call(run, stop_event(command));
        }
    }
}

/// Returns the fault for readers and later sends of a withdrawn call.
///
/// Such a send is, for example, the late copy of a booking that its entry withdrew after a lost connection.
pub(super) fn withdrawn_fault() -> Fault {
    Fault::not_run(Code::Revoked, RETRY_AFTER, "call was withdrawn")
}

/// Returns the last event of a run that was told to stop.
pub(super) fn stop_event(command: Command) -> Body {
    let fault = match command {
        Command::Move => Fault::not_run(
            Code::Leaving,
            RETRY_AFTER,
            "instance leaves, resume the rest elsewhere",
        ),
        _ => Fault::unknown(Code::Revoked, "caller is gone"),
    };
    Body::Failed(fault)
}
