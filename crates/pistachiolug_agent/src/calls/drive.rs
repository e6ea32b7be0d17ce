//! Drivers of runs: start, pause, resume and end calls as the schedule decides.

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
    run::{self, Command, Run},
};

impl<E: Engine, S: Service, C: Claims> Calls<E, S, C> {
    /// Carries out every action that is due in the schedule.
    pub(super) fn apply_schedule(&self) {
        loop {
            let now = self.now();
            let mut state = self.lock();
            let Some(action) = state.schedule.next_action(now) else {
                return;
            };
            let (Action::Start(id) | Action::Pause(id)) = action;
            let Some((_, Some(run))) = state.table.get(id) else {
                state.schedule.end(id, now);
                continue;
            };
            let run = Arc::clone(run);
            if matches!(action, Action::Start(_)) {
                // Sent under the lock, so that it can't undo a pause that the schedule decides later.
                run.send_command(Command::Proceed);
            }
            drop(state);
            match action {
                Action::Start(_) => self.spawn_driver(run),
                Action::Pause(_) => {
                    self.inner.dependencies.metrics.record_pause();
                    run.send_command(Command::Pause);
                }
            }
        }
    }

    fn spawn_driver(&self, run: Arc<Run>) {
        let calls = self.clone();
        tokio::spawn(async move {
            let stop = match (calls.check_suspect(&run), &run.open.work) {
                (Some(stop), _) => stop,
                (None, Work::Model(generation)) => calls.generate(&run, generation).await,
                (None, Work::Plain(plain)) => Stop::Ended(calls.call_plain(&run, plain).await),
            };
            match stop {
                Stop::Ended(end) => calls.end_call(&run, end),
                Stop::Paused => calls.release_slot(&run, Schedule::requeue),
                Stop::Isolated => calls.release_slot(&run, Schedule::isolate),
            }
        });
    }

    /// Releases the slot of a run; ends the run if it was moved or cancelled meanwhile.
    fn release_slot(&self, run: &Arc<Run>, yield_slot: fn(&mut Schedule, Id, Duration)) {
        let now = self.now();
        yield_slot(&mut self.lock().schedule, run.open.id, now);
        if *run.commands().borrow() > Command::Isolate {
            self.end_if_paused(run);
        }
        self.apply_schedule();
    }

    /// Marks a call as started, if it was not yet; returns `false` if it was withdrawn or has ended and must not run.
    pub(super) fn try_start(&self, run: &Run) -> bool {
        let mut state = self.lock();
        let id = run.open.id;
        match state.table.get(id) {
            Some((Stage::Queued, _)) => state.table.start(id),
            Some((Stage::Started, _)) => true,
            _ => false,
        }
    }

    /// Ends a call with its last event and settles its slot and its customer's limit.
    pub(super) fn end_call(&self, run: &Arc<Run>, end: Body) {
        if self.publish_end(run, end) {
            let now = self.now();
            let id = run.open.id;
            let bytes = run.read(run::Output::size_bytes) + admit::request_bytes(&run.open.work);
            let actual = Self::actual_cost(run);
            let mut state = self.lock();
            state.table.finish(id, bytes, now);
            state.schedule.end(id, now);
            state.limits.settle(run, actual, now);
        }
        self.apply_schedule();
    }

    /// Publishes the last event to the readers and counts the call; returns `false` if it had already ended.
    pub(super) fn publish_end(&self, run: &Run, end: Body) -> bool {
        let tokens = run.read(|output| output.next_index() - output.first_index());
        let first = run.finish(end.clone());
        if first {
            let lists = self.inner.dependencies.active_lists.current();
            let plan = plan_label(&lists, run);
            self.inner
                .dependencies
                .metrics
                .record_end(plan, &end, tokens);
        }
        first
    }

    /// Returns the tokens that a run used, with those of the prompt once it has finished; units for a plain call.
    fn actual_cost(run: &Run) -> u32 {
        run.read(|output| match (&output.end, &run.open.work) {
            (Some(Body::Finished(finish)), _) => {
                finish.prompt_tokens + (output.next_index() - output.first_index())
            }
            (_, Work::Model(_)) => output.next_index() - output.first_index(),
            (Some(Body::Response(_)), Work::Plain(_)) => run.cost,
            (_, Work::Plain(_)) => 0,
        })
    }
}

/// Returns the metrics label of a run's plan: its name, or `other` if the lists don't contain it.
///
/// Text from a request is never used as a label, so that the number of labels stays bounded.
pub(super) fn plan_label<'a>(lists: &'a Lists, run: &Run) -> &'a str {
    let plan = lists.plan(&run.open.plan);
    plan.map_or("other", |plan| &plan.name)
}
