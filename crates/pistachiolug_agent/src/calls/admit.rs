//! Admission control: checks arriving calls and puts them into the queue.

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
    suspect::suspect_fault,
    withdraw::withdrawn_fault,
};

/// Retry delay of a call whose service or version is not served here.
const VERSION_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry delay of a call that reached a leaving instance; it is short because another one can take the call at once.
const LEAVING_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Cost of a plain call, in the schedule's units.
const PLAIN_COST: u32 = 1;

impl<E: Engine, S: Service, C: Claims> Calls<E, S, C> {
    /// Returns the run of an arriving call: a new one, or the existing one that the call joins.
    ///
    /// # Errors
    /// Returns the fault of a refused call; every later send with its id is refused too.
    pub(super) async fn accept(&self, open: Open) -> Result<Arc<Run>, Fault> {
        if open.join {
            return self.join(&open);
        }
        if let Work::Model(generation) = &open.work
            && self.choose_version(generation).is_none()
        {
            self.inner.dependencies.monitor.refresh().await;
        }
        let now = self.now();
        let cost = estimate_cost(&open.work);
        let run = Arc::new(Run::new(open, cost, now));
        if let Some(known) = self.register(&run, now)? {
            return Ok(known);
        }
        if let Err(fault) = self.admit(&run).await {
            self.drop_queued(run.open.id, fault.clone());
            return Err(fault);
        }
        self.apply_schedule();
        Ok(run)
    }

    /// Adds a run to the table, or returns the existing run with its id.
    fn register(&self, run: &Arc<Run>, now: Duration) -> Result<Option<Arc<Run>>, Fault> {
        let mut state = self.lock();
        state.record_entry(run.open.entry, now);
        match state.table.register(run.open.id, Arc::clone(run)) {
            Arrival::New => Ok(None),
            Arrival::Known(_, known) => check_same(&known, &run.open).map(Some),
            Arrival::Evicted => Err(expired_fault()),
            Arrival::Withdrawn => Err(withdrawn_fault()),
        }
    }

    /// Returns the version that answers a generation; `None` if no suitable version is served here.
    pub(super) fn choose_version(&self, generation: &Generation) -> Option<String> {
        let lists = self.inner.dependencies.active_lists.current();
        let model = lists.model(&generation.model);
        let wanted = model.map(|model| model.version.as_str());
        let monitor = &self.inner.dependencies.monitor;
        monitor.choose_version(&generation.model, &generation.version, wanted)
    }

    /// Returns the engine priority of a call's plan; 0 if the active lists no longer allow the call.
    pub(super) fn priority(&self, open: &Open) -> u8 {
        let lists = self.inner.dependencies.active_lists.current();
        access::check(&lists, open).map_or(0, |access| access.priority)
    }

    fn join(&self, open: &Open) -> Result<Arc<Run>, Fault> {
        let state = self.lock();
        match state.table.get(open.id) {
            Some((Stage::Withdrawn, _)) => Err(withdrawn_fault()),
            Some((_, Some(run))) => check_same(run, open),
            Some((_, None)) => Err(expired_fault()),
            None => Err(Fault::unknown(
                Code::Unavailable,
                "call is not known to this process",
            )),
        }
    }

    async fn admit(&self, run: &Run) -> Result<(), Fault> {
        let open = &run.open;
        if self.lock().is_leaving {
            let message = "instance is leaving";
            return Err(Fault::not_run(Code::Leaving, LEAVING_RETRY_AFTER, message));
        }
        if open.service != self.inner.options.service {
            let message = "instance does not run the service";
            return Err(Fault::not_run(
                Code::Unavailable,
                VERSION_RETRY_AFTER,
                message,
            ));
        }
        let access = access::check(&self.inner.dependencies.active_lists.current(), open)
            .map_err(|code| Fault::not_run(code, Duration::ZERO, "not in the lists in force"))?;
        let decision = suspect::decide(self.count_crashes(open));
        if decision == Decision::Refuse {
            return Err(suspect_fault(false));
        }
        if let Work::Model(generation) = &open.work {
            self.choose_version(generation).ok_or_else(|| {
                let message = "version is not served here";
                Fault::not_run(Code::Unavailable, VERSION_RETRY_AFTER, message)
            })?;
        }
        self.charge_limit(run, access.rate).await?;
        self.enqueue(run, access, decision == Decision::Isolate)
    }

    fn enqueue(&self, run: &Run, access: Access, alone: bool) -> Result<(), Fault> {
        let open = &run.open;
        let now = self.now();
        let mut state = self.lock();
        let call = Call {
            id: open.id,
            plan: open.plan.clone(),
            class: access.class,
            cost: run.cost,
            bytes: request_bytes(&open.work),
            start_deadline: run.arrived_at + Duration::from_millis(open.deadline_ms.into()),
            is_pausable: matches!(open.work, Work::Model(_)),
            is_isolated: alone,
        };
        state.schedule.admit(call, now).map_err(|refusal| {
            state.limits.settle(run, 0, now);
            overload_fault(&refusal, rand::random())
        })
    }
}

/// Returns the fault of a call that would not start before its deadline.
pub(super) fn overload_fault(refusal: &Refusal, random: f64) -> Fault {
    let retry_after = wait::retry_after(refusal.wait, refusal.time_left, random);
    if refusal.time_left.is_zero() {
        let message = "caller's time is over";
        return Fault::not_run(Code::DeadlineExceeded, retry_after, message);
    }
    let message = "predicted wait passes the caller's time";
    Fault::not_run(Code::Overloaded, retry_after, message)
}

fn check_same(run: &Arc<Run>, open: &Open) -> Result<Arc<Run>, Fault> {
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

fn expired_fault() -> Fault {
    Fault::unknown(Code::BackendFailed, "call ended and its answer is not kept")
}

fn estimate_cost(work: &Work) -> u32 {
    match work {
        Work::Model(generation) => generation.estimate.max(1),
        Work::Plain(_) => PLAIN_COST,
    }
}

/// Returns the size of a call's request body in bytes.
pub(super) fn request_bytes(work: &Work) -> usize {
    match work {
        Work::Model(generation) => generation.body.len(),
        Work::Plain(plain) => plain.body.len(),
    }
}
