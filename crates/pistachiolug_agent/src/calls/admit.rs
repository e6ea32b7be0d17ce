//! Admission of calls.

use std::{sync::Arc, time::Duration};

use pistachiolug_ledger::claim::Claims;
use pistachiolug_platform::{engine::Engine, plain::Service};
use pistachiolug_routing::{
    schedule::{Call, Refusal},
    suspect::{self, Decision},
    table::{Arrival, Stage},
    wait,
};
use pistachiolug_wire::{
    call::{Generation, Open, Work},
    fault::{Code, Fault},
};

use super::{
    Calls,
    access::{self, Access},
    run::Run,
    suspect::refused,
    withdraw::withdrawn,
};

/// Time after which a call may come back that found no served version.
const VERSION_RETRY: Duration = Duration::from_secs(1);

/// Time after which a call may come back that met a leaving instance; another one takes it at once.
const LEAVING_RETRY: Duration = Duration::from_secs(1);

/// Cost of a plain call in units.
const PLAIN_COST: u32 = 1;

impl<E: Engine, S: Service, C: Claims> Calls<E, S, C> {
    /// Finds the run of an arriving call: a new one, or the one it joins.
    ///
    /// # Errors
    /// The final answer of a call that is refused; its id is then refused for good.
    pub(super) async fn arrive(&self, open: Open) -> Result<Arc<Run>, Fault> {
        if open.join {
            return self.join(&open);
        }
        if let Work::Model(generation) = &open.work
            && self.version(generation).is_none()
        {
            self.inner.parts.serving.refresh().await;
        }
        let now = self.now();
        let cost = cost(&open.work);
        let run = Arc::new(Run::new(open, cost, now));
        if let Some(known) = self.enter(&run, now)? {
            return Ok(known);
        }
        if let Err(fault) = self.admit(&run).await {
            self.drop_queued(run.open.id, fault.clone());
            return Err(fault);
        }
        self.pump();
        Ok(run)
    }

    /// Enters a run into the table, or returns the one that has its id.
    fn enter(&self, run: &Arc<Run>, now: Duration) -> Result<Option<Arc<Run>>, Fault> {
        let mut desk = self.desk();
        desk.meet(run.open.entry, now);
        match desk.table.arrive(run.open.id, Arc::clone(run)) {
            Arrival::New => Ok(None),
            Arrival::Known(_, known) => same(&known, &run.open).map(Some),
            Arrival::Forgotten => Err(forgotten()),
            Arrival::Withdrawn => Err(withdrawn()),
        }
    }

    /// Chooses the version for a generation.
    pub(super) fn version(&self, generation: &Generation) -> Option<String> {
        let lists = self.inner.parts.force.current();
        let model = lists.model(&generation.model);
        let wanted = model.map(|model| model.version.as_str());
        let serving = &self.inner.parts.serving;
        serving.choose(&generation.model, &generation.version, wanted)
    }

    /// Returns the engine priority of a call's plan by the lists in force; 0 once they no longer know it.
    pub(super) fn priority(&self, open: &Open) -> u8 {
        let lists = self.inner.parts.force.current();
        access::check(&lists, open).map_or(0, |access| access.priority)
    }

    fn join(&self, open: &Open) -> Result<Arc<Run>, Fault> {
        let desk = self.desk();
        match desk.table.find(open.id) {
            Some((Stage::Withdrawn, _)) => Err(withdrawn()),
            Some((_, Some(run))) => same(run, open),
            Some((_, None)) => Err(forgotten()),
            None => Err(Fault::unknown(
                Code::Unavailable,
                "call is not known to this process",
            )),
        }
    }

    async fn admit(&self, run: &Run) -> Result<(), Fault> {
        let open = &run.open;
        if self.desk().leaving {
            let message = "instance is leaving";
            return Err(Fault::not_run(Code::Leaving, LEAVING_RETRY, message));
        }
        if open.service != self.inner.options.service {
            let message = "instance does not run the service";
            return Err(Fault::not_run(Code::Unavailable, VERSION_RETRY, message));
        }
        let access = access::check(&self.inner.parts.force.current(), open)
            .map_err(|code| Fault::not_run(code, Duration::ZERO, "not in the lists in force"))?;
        let decision = suspect::decide(self.crashes(open));
        if decision == Decision::Refuse {
            return Err(refused(false));
        }
        if let Work::Model(generation) = &open.work {
            self.version(generation).ok_or_else(|| {
                let message = "version is not served here";
                Fault::not_run(Code::Unavailable, VERSION_RETRY, message)
            })?;
        }
        self.allow(run, access.rate).await?;
        self.enqueue(run, access, decision == Decision::Alone)
    }

    fn enqueue(&self, run: &Run, access: Access, alone: bool) -> Result<(), Fault> {
        let open = &run.open;
        let now = self.now();
        let mut desk = self.desk();
        let call = Call {
            id: open.id,
            plan: open.plan.clone(),
            class: access.class,
            cost: run.cost,
            bytes: bytes(&open.work),
            due: run.arrived + Duration::from_millis(open.deadline_ms.into()),
            pausable: matches!(open.work, Work::Model(_)),
            alone,
        };
        desk.schedule.offer(call, now).map_err(|refusal| {
            desk.limits.settle(run, 0, now);
            overloaded(&refusal, rand::random())
        })
    }
}

/// Final answer of a call that would not start in its time.
pub(super) fn overloaded(refusal: &Refusal, random: f64) -> Fault {
    let retry_after = wait::retry_after(refusal.wait, refusal.time_left, random);
    if refusal.time_left.is_zero() {
        let message = "caller's time is over";
        return Fault::not_run(Code::DeadlineExceeded, retry_after, message);
    }
    let message = "predicted wait passes the caller's time";
    Fault::not_run(Code::Overloaded, retry_after, message)
}

fn same(run: &Arc<Run>, open: &Open) -> Result<Arc<Run>, Fault> {
    if run.is_same(open) {
        return Ok(Arc::clone(run));
    }
    let message = "call id belongs to another call";
    Err(Fault::not_run(
        Code::InvalidRequest,
        Duration::ZERO,
        message,
    ))
}

fn forgotten() -> Fault {
    Fault::unknown(Code::BackendFailed, "call ended and its answer is not kept")
}

fn cost(work: &Work) -> u32 {
    match work {
        Work::Model(generation) => generation.estimate.max(1),
        Work::Plain(_) => PLAIN_COST,
    }
}

/// Size of a call's request in bytes.
pub(super) fn bytes(work: &Work) -> usize {
    match work {
        Work::Model(generation) => generation.body.len(),
        Work::Plain(plain) => plain.body.len(),
    }
}
