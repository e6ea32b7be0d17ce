//! Withdrawal of calls: by an entry, by a caller that is gone, or because the instance leaves.

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

/// Time after which the caller of a withdrawn call may send it again.
const RETRY_AFTER: Duration = Duration::from_secs(1);

impl<E: Engine, S: Service, C: Claims> Calls<E, S, C> {
    pub(super) fn withdraw(&self, id: Id) -> Verdict {
        match self.drop_queued(id, withdrawn()) {
            Stage::Withdrawn | Stage::Queued => Verdict::Withdrawn,
            Stage::Started => Verdict::Started,
            Stage::Finished => Verdict::Finished,
        }
    }

    /// Ends a call that has not started; returns the stage it has then.
    pub(super) fn drop_queued(&self, id: Id, fault: Fault) -> Stage {
        let now = self.now();
        let mut desk = self.desk();
        let withdrawal = desk.table.withdraw(id, now);
        let Some(run) = withdrawal.dropped else {
            return withdrawal.stage;
        };
        if desk.schedule.end(id, now) {
            desk.limits.settle(&run, 0, now);
        }
        drop(desk);
        self.conclude(&run, Body::Failed(fault));
        self.pump();
        withdrawal.stage
    }

    /// Withdraws a waiting call and stops a started one that may be repeated.
    pub(super) fn abandon(&self, id: Id) -> Verdict {
        let verdict = self.withdraw(id);
        if verdict == Verdict::Started
            && let Some(run) = self.known_run(id).filter(|run| run.is_repeatable())
        {
            run.send_command(Command::Cancel);
            self.end_if_paused(&run);
        }
        verdict
    }

    pub(super) fn known_run(&self, id: Id) -> Option<Arc<Run>> {
        let desk = self.desk();
        let (_, run) = desk.table.find(id)?;
        run.cloned()
    }

    /// Ends a run that has no driver now and so can't see its order.
    pub(super) fn end_if_paused(&self, run: &Arc<Run>) {
        let paused = self.desk().schedule.is_waiting(run.open.id);
        if paused {
            let order = *run.commands().borrow();
            self.end(run, stopped(order));
        }
    }
}

/// Answer to whoever still reads or sends a withdrawn call, such as the twin of a booking whose entry lost touch.
pub(super) fn withdrawn() -> Fault {
    Fault::not_run(Code::Revoked, RETRY_AFTER, "call was withdrawn")
}

/// Last event of a run that was told to stop.
pub(super) fn stopped(order: Command) -> Body {
    let fault = match order {
        Command::Move => Fault::not_run(
            Code::Leaving,
            RETRY_AFTER,
            "instance leaves, resume the rest elsewhere",
        ),
        _ => Fault::unknown(Code::Revoked, "caller is gone"),
    };
    Body::Failed(fault)
}
