//! Runs of calls: start, pause, resume and end as the schedule decides.

use std::{sync::Arc, time::Duration};

use pistachiolug_ledger::claim::Claims;
use pistachiolug_lists::lists::Lists;
use pistachiolug_platform::{engine::Engine, plain::Service};
use pistachiolug_routing::{
    schedule::{Action, Schedule},
    table::Stage,
};
use pistachiolug_wire::call::{Body, Id, Work};

use super::{
    Calls, Stop, admit,
    run::{self, Order, Run},
};

impl<E: Engine, S: Service, C: Claims> Calls<E, S, C> {
    /// Does all that the schedule wants done now.
    pub(super) fn pump(&self) {
        loop {
            let now = self.now();
            let mut desk = self.desk();
            let Some(action) = desk.schedule.next(now) else {
                return;
            };
            let (Action::Start(id) | Action::Pause(id)) = action;
            let Some((_, Some(run))) = desk.table.find(id) else {
                desk.schedule.end(id, now);
                continue;
            };
            let run = Arc::clone(run);
            if matches!(action, Action::Start(_)) {
                // Under the lock, so that a pause decided later is not undone.
                run.order(Order::Go);
            }
            drop(desk);
            match action {
                Action::Start(_) => self.drive(run),
                Action::Pause(_) => {
                    self.inner.parts.metrics.pause();
                    run.order(Order::Pause);
                }
            }
        }
    }

    fn drive(&self, run: Arc<Run>) {
        let calls = self.clone();
        tokio::spawn(async move {
            let stop = match (calls.check_suspect(&run), &run.open.work) {
                (Some(stop), _) => stop,
                (None, Work::Model(generation)) => calls.generate(&run, generation).await,
                (None, Work::Plain(plain)) => Stop::Ended(calls.call_plain(&run, plain).await),
            };
            match stop {
                Stop::Ended(end) => calls.end(&run, end),
                Stop::Paused => calls.rest(&run, Schedule::pause),
                Stop::Isolated => calls.rest(&run, Schedule::isolate),
            }
        });
    }

    /// Gives a run's slot back, unless it was told to stop meanwhile.
    fn rest(&self, run: &Arc<Run>, yield_slot: fn(&mut Schedule, Id, Duration)) {
        let now = self.now();
        yield_slot(&mut self.desk().schedule, run.open.id, now);
        if *run.orders().borrow() > Order::Isolate {
            self.end_if_paused(run);
        }
        self.pump();
    }

    /// Claims the right to start a call's work; `false` means that it must not run.
    pub(super) fn begin(&self, run: &Run) -> bool {
        let mut desk = self.desk();
        let id = run.open.id;
        match desk.table.find(id) {
            Some((Stage::Queued, _)) => desk.table.start(id),
            Some((Stage::Started, _)) => true,
            _ => false,
        }
    }

    /// Ends a call with its last event.
    pub(super) fn end(&self, run: &Arc<Run>, end: Body) {
        if self.conclude(run, end) {
            let now = self.now();
            let id = run.open.id;
            let bytes = run.read(run::Log::bytes) + admit::bytes(&run.open.work);
            let real = Self::real_cost(run);
            let mut desk = self.desk();
            desk.table.finish(id, bytes, now);
            desk.schedule.end(id, now);
            desk.limits.settle(run, real, now);
        }
        self.pump();
    }

    /// Gives the readers their last event and counts the call; `false` if it has ended before.
    pub(super) fn conclude(&self, run: &Run, end: Body) -> bool {
        let tokens = run.read(|log| log.reached() - log.base());
        let first = run.finish(end.clone());
        if first {
            let lists = self.inner.parts.force.current();
            let plan = plan_label(&lists, run);
            self.inner.parts.metrics.end(plan, &end, tokens);
        }
        first
    }

    /// Tokens that a run has cost, prompt included; units for plain calls.
    fn real_cost(run: &Run) -> u32 {
        run.read(|log| match (&log.end, &run.open.work) {
            (Some(Body::Finished(finish)), _) => {
                finish.prompt_tokens + (log.reached() - log.base())
            }
            (_, Work::Model(_)) => log.reached() - log.base(),
            (Some(Body::Response(_)), Work::Plain(_)) => run.cost,
            (_, Work::Plain(_)) => 0,
        })
    }
}

/// Returns the metrics label of a run's plan, which is never text from outside the lists.
pub(super) fn plan_label<'a>(lists: &'a Lists, run: &Run) -> &'a str {
    let plan = lists.plan(&run.open.plan);
    plan.map_or("other", |plan| &plan.name)
}
