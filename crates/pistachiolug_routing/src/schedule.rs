//! Schedule of one agent: decides which call starts next, which run is paused for it, and which waiting calls are shed.
//!
//! Costs are in units. For a model call, a unit is a token, as in [`crate::fair_queue`]; a plain call has a fixed cost.

use std::time::Duration;

use pistachiolug_wire::{call::Id, load::Load};
use rustc_hash::FxHashMap;

use crate::{
    fair_queue::{Class, Queue, QueuedCall},
    throughput::Throughput,
    wait::{self, Backlog},
};

/// Largest number of pauses of one call; bounds the work spent on resuming it.
const MAX_PAUSES: u8 = 4;

/// Factor by which the predicted wait of an admitted call must exceed its remaining time before the call is shed.
///
/// Without the margin, a prediction that fluctuates would shed calls that would have started in time.
const SHED_FACTOR: u32 = 2;

/// Capacity of one backend server and bounds of its queue.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Number of calls that can run at once; at least 1.
    pub slots: u32,
    /// Throughput in units a second that is assumed until it has been measured.
    pub initial_rate: f64,
    /// Largest number of waiting calls.
    pub max_queued_calls: usize,
    /// Largest total size of all calls, waiting and running, in bytes.
    pub max_bytes: usize,
    /// Slots in which no trial call starts; meant for servers whose runs can't be paused.
    pub reserved_slots: u32,
}

/// Call that is to be scheduled.
#[derive(Debug, Clone)]
pub struct Call {
    /// Unique id.
    pub id: Id,
    /// Plan, in whose lane the call waits.
    pub plan: String,
    /// Class with which the plan is served.
    pub class: Class,
    /// Estimated cost in units.
    pub cost: u32,
    /// Size in memory in bytes.
    pub bytes: usize,
    /// Time by which the call must start.
    pub start_deadline: Duration,
    /// Whether its run can be paused and resumed later.
    pub is_pausable: bool,
    /// Whether no other call may run at the same time.
    pub is_isolated: bool,
}

/// Action that the agent has to take next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Start or resume the call.
    Start(Id),
    /// Pause the run of the call, then call [`Schedule::requeue`].
    Pause(Id),
}

/// Refusal of a call that would not start in time, or for which the queue has no room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Predicted time until the call would start.
    pub wait: Duration,
    /// Time within which the call had to start.
    pub time_left: Duration,
}

/// Schedule of one agent.
#[derive(Debug)]
pub struct Schedule {
    capacity: Capacity,
    throughput: Throughput,
    queue: Queue<Id>,
    /// Waiting calls that must run alone. They start before all calls of `queue`, once no call is running.
    isolated_queue: Queue<Id>,
    /// All calls, waiting and running.
    calls: FxHashMap<Id, ScheduledCall>,
    /// Estimated cost units that are left of the running calls.
    owed_units: u64,
    /// Number of running calls, including those that are being paused.
    running: u32,
    /// Number of running calls that can be paused or are being paused.
    pausable: u32,
    /// Number of running calls that are being paused.
    pausing: u32,
    /// Whether the running call is isolated.
    is_isolated_running: bool,
    /// Size of all calls in bytes.
    total_bytes: usize,
}

/// Waiting or running call with what its lane was charged.
#[derive(Debug)]
struct ScheduledCall {
    call: Call,
    state: State,
    /// Units charged to the lane for the current or next run.
    charged_units: u32,
    /// Units completed in the current run.
    done_units: u32,
    pauses: u8,
    /// Whether the call has left a slot after a run; such a call is not shed.
    was_requeued: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Waiting,
    Running { started_at: Duration },
    Pausing,
}

impl Schedule {
    /// Creates a schedule without calls.
    pub fn new(capacity: Capacity) -> Self {
        Self {
            capacity,
            throughput: Throughput::new(capacity.initial_rate),
            queue: Queue::default(),
            isolated_queue: Queue::default(),
            calls: FxHashMap::default(),
            owed_units: 0,
            running: 0,
            pausable: 0,
            pausing: 0,
            is_isolated_running: false,
            total_bytes: 0,
        }
    }

    /// Queues a call.
    ///
    /// # Errors
    /// Returns a [`Refusal`] if the call is predicted to start too late, or if the queue has no room for it.
    pub fn admit(&mut self, call: Call, now: Duration) -> Result<(), Refusal> {
        let time_left = call.start_deadline.saturating_sub(now);
        let lane_tokens = self.queue.plan_tokens(&call.plan);
        let wait = self.predict_wait(&call.plan, call.class, lane_tokens);
        let is_full = self.waiting_count() >= self.capacity.max_queued_calls
            || self.total_bytes + call.bytes > self.capacity.max_bytes;
        if is_full || wait >= time_left {
            return Err(Refusal { wait, time_left });
        }
        self.total_bytes += call.bytes;
        let queued = QueuedCall {
            id: call.id,
            cost: call.cost,
        };
        self.queue_of(call.is_isolated)
            .push(&call.plan, call.class, queued);
        let scheduled = ScheduledCall {
            charged_units: call.cost,
            call,
            state: State::Waiting,
            done_units: 0,
            pauses: 0,
            was_requeued: false,
        };
        self.calls.insert(scheduled.call.id, scheduled);
        Ok(())
    }

    /// Returns the next action.
    ///
    /// After each change to the schedule, it has to be called until it returns `None`.
    pub fn next_action(&mut self, now: Duration) -> Option<Action> {
        if self.is_isolated_running {
            return None;
        }
        if !self.isolated_queue.is_empty() {
            return self.start_isolated(now);
        }
        if self.running < self.capacity.slots {
            let allow_trials = self.may_start_trial();
            let id = self.queue.pop(allow_trials)?;
            self.occupy_slot(id, now);
            return Some(Action::Start(id));
        }
        self.choose_run_to_pause().map(Action::Pause)
    }

    /// Records units that a run has completed; an unknown id is ignored.
    pub fn record_progress(&mut self, id: Id, units: u32) {
        let Some(scheduled) = self.calls.get_mut(&id) else {
            return;
        };
        let before = units_left(scheduled);
        scheduled.done_units = scheduled.done_units.saturating_add(units);
        self.owed_units -= before - units_left(scheduled);
        self.throughput.record_units(units.into());
    }

    /// Removes a call, waiting or running, and charges its lane for the units that its run has completed.
    ///
    /// Returns `false` for an unknown id.
    pub fn end(&mut self, id: Id, now: Duration) -> bool {
        let Some(scheduled) = self.calls.remove(&id) else {
            return false;
        };
        self.total_bytes -= scheduled.call.bytes;
        if scheduled.state == State::Waiting {
            let queue = self.queue_of(scheduled.call.is_isolated);
            queue.remove(&scheduled.call.plan, &id);
            return true;
        }
        self.release_slot(&scheduled, now);
        let queue = self.queue_of(scheduled.call.is_isolated);
        queue.settle(
            &scheduled.call.plan,
            scheduled.charged_units,
            scheduled.done_units,
        );
        queue.drop_idle_lanes();
        true
    }

    /// Takes a paused call out of its slot and puts it back at the front of its lane.
    ///
    /// A waiting call or an unknown id is ignored.
    pub fn requeue(&mut self, id: Id, now: Duration) {
        let Some(mut scheduled) = self.calls.remove(&id) else {
            return;
        };
        if scheduled.state != State::Waiting {
            self.release_slot(&scheduled, now);
            let (plan, class) = (scheduled.call.plan.clone(), scheduled.call.class);
            let queue = self.queue_of(scheduled.call.is_isolated);
            queue.settle(&plan, scheduled.charged_units, scheduled.done_units);
            scheduled.charged_units = scheduled
                .charged_units
                .saturating_sub(scheduled.done_units)
                .max(1);
            scheduled.done_units = 0;
            scheduled.pauses += 1;
            scheduled.was_requeued = true;
            scheduled.state = State::Waiting;
            let queued = QueuedCall {
                id,
                cost: scheduled.charged_units,
            };
            queue.push_front(&plan, class, queued);
        }
        self.calls.insert(id, scheduled);
    }

    /// Takes a call out of its slot or its lane and queues it to run alone; an unknown id is ignored.
    pub fn isolate(&mut self, id: Id, now: Duration) {
        self.requeue(id, now);
        let Some(mut scheduled) = self.calls.remove(&id) else {
            return;
        };
        if !scheduled.call.is_isolated {
            let (plan, class) = (scheduled.call.plan.clone(), scheduled.call.class);
            self.queue.remove(&plan, &id);
            scheduled.call.is_isolated = true;
            let cost = scheduled.charged_units;
            self.isolated_queue
                .push(&plan, class, QueuedCall { id, cost });
        }
        self.calls.insert(id, scheduled);
    }

    /// Returns whether a call, waiting or running, must run alone; `false` for an unknown id.
    pub fn is_isolated(&self, id: Id) -> bool {
        self.calls
            .get(&id)
            .is_some_and(|scheduled| scheduled.call.is_isolated)
    }

    /// Returns the waiting calls that are past their start deadline or are predicted to miss it by far.
    ///
    /// The agent has to remove each of them with [`Schedule::end`]. Calls that have run before are not shed.
    pub fn calls_to_shed(&self, now: Duration) -> Vec<(Id, Refusal)> {
        let waiting = self.queue.calls().chain(self.isolated_queue.calls());
        let shed = waiting.filter_map(|(plan, class, lane_tokens, queued)| {
            let scheduled = self.calls.get(&queued.id)?;
            if scheduled.was_requeued {
                return None;
            }
            let time_left = scheduled.call.start_deadline.saturating_sub(now);
            let wait = self.predict_wait(plan, class, lane_tokens);
            let is_late = time_left.is_zero() || wait > time_left * SHED_FACTOR;
            is_late.then_some((queued.id, Refusal { wait, time_left }))
        });
        shed.collect()
    }

    /// Returns whether a call waits to start or to be resumed; `false` for an unknown id.
    pub fn is_waiting(&self, id: Id) -> bool {
        let scheduled = self.calls.get(&id);
        scheduled.is_some_and(|scheduled| scheduled.state == State::Waiting)
    }

    /// Returns the load that the agent reports to entries; `leaving` is always `false` here.
    pub fn load(&self) -> Load {
        Load {
            queued: self.waiting_count() as u32,
            running: self.running,
            owed_tokens: self.owed_units
                + self.queue.total_tokens()
                + self.isolated_queue.total_tokens(),
            leaving: false,
        }
    }

    /// Returns the throughput with all slots busy, in units a second.
    pub fn rate(&self) -> f64 {
        self.throughput.rate()
    }

    fn waiting_count(&self) -> usize {
        self.calls.len() - self.running as usize
    }

    fn queue_of(&mut self, is_isolated: bool) -> &mut Queue<Id> {
        if is_isolated {
            &mut self.isolated_queue
        } else {
            &mut self.queue
        }
    }

    /// Predicts the time until a call starts that has `lane_tokens` in front of it in the lane of its plan.
    fn predict_wait(&self, plan: &str, class: Class, lane_tokens: u64) -> Duration {
        let can_pause_run = !class.is_trial && self.pausable > 0;
        let has_slot = can_pause_run || self.running < self.capacity.slots;
        let backlog = Backlog {
            queued: self.queue.tokens_ahead(plan, class, lane_tokens)
                + self.isolated_queue.total_tokens(),
            owed: self.owed_units,
            running: self.running,
            has_free_slot: has_slot && !self.is_isolated_running && self.isolated_queue.is_empty(),
        };
        wait::predict(&backlog, self.throughput.rate())
    }

    /// Starts the next isolated call; `None` while another call is running.
    fn start_isolated(&mut self, now: Duration) -> Option<Action> {
        if self.running > 0 {
            return None;
        }
        let id = self.isolated_queue.pop(true)?;
        self.occupy_slot(id, now);
        self.is_isolated_running = true;
        Some(Action::Start(id))
    }

    /// Returns whether more slots than the reserved ones are free; at least one slot is not reserved.
    fn may_start_trial(&self) -> bool {
        let reserved_slots = self.capacity.reserved_slots.min(self.capacity.slots - 1);
        self.running < self.capacity.slots - reserved_slots
    }

    fn occupy_slot(&mut self, id: Id, now: Duration) {
        let Some(scheduled) = self.calls.get_mut(&id) else {
            return;
        };
        scheduled.state = State::Running { started_at: now };
        self.owed_units += units_left(scheduled);
        self.running += 1;
        self.pausable += u32::from(can_pause(scheduled));
        self.throughput
            .set_busy(self.running >= self.capacity.slots, now);
    }

    fn release_slot(&mut self, scheduled: &ScheduledCall, now: Duration) {
        self.owed_units -= units_left(scheduled);
        self.running -= 1;
        self.pausable -= u32::from(can_pause(scheduled));
        self.pausing -= u32::from(scheduled.state == State::Pausing);
        self.is_isolated_running = self.is_isolated_running && !scheduled.call.is_isolated;
        self.throughput
            .set_busy(self.running >= self.capacity.slots, now);
    }

    /// Chooses the pausable run that started last, if more calls of other plans wait than runs are being paused.
    fn choose_run_to_pause(&mut self) -> Option<Id> {
        if self.queue.len(false) <= self.pausing as usize {
            return None;
        }
        let candidates = self
            .calls
            .values()
            .filter_map(|scheduled| match scheduled.state {
                State::Running { started_at } if can_pause(scheduled) => {
                    Some((started_at, scheduled.call.id))
                }
                _ => None,
            });
        let (_, id) = candidates.max()?;
        if let Some(scheduled) = self.calls.get_mut(&id) {
            scheduled.state = State::Pausing;
            self.pausing += 1;
        }
        Some(id)
    }
}

fn can_pause(scheduled: &ScheduledCall) -> bool {
    scheduled.call.class.is_trial && scheduled.call.is_pausable && scheduled.pauses < MAX_PAUSES
}

/// Returns the estimated units that are left of a run; 0 if it has already cost more than estimated.
fn units_left(scheduled: &ScheduledCall) -> u64 {
    scheduled
        .charged_units
        .saturating_sub(scheduled.done_units)
        .into()
}
