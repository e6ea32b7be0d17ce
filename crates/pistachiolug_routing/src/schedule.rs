//! Schedule of one agent: which call starts next, which run is paused for it, and which calls are given up.

use std::time::Duration;

use pistachiolug_wire::{call::Id, load::Load};
use rustc_hash::FxHashMap;

use crate::{
    fair_queue::{Class, Queue, QueuedCall},
    throughput::Throughput,
    wait::{self, Backlog},
};

/// Times one call may be paused; bounds the work spent on resuming it.
const MOST_PAUSES: u8 = 4;

/// Factor by which an admitted call's predicted wait must pass its time before it is given up, so that a prediction that
/// wavers gives up no call that would have made it.
const GIVE_UP_FACTOR: u32 = 2;

/// Size of one backend server and of its queue.
#[derive(Debug, Clone, Copy)]
pub struct Capacity {
    /// Calls that run at once.
    pub slots: u32,
    /// Units worked off a second, until measured.
    pub initial_rate: f64,
    /// Largest number of waiting calls.
    pub max_queued_calls: usize,
    /// Largest total size of waiting calls in bytes.
    pub max_bytes: usize,
    /// Slots that trials leave free when their runs can't be paused.
    pub reserved_slots: u32,
}

/// Call that wants to run.
#[derive(Debug, Clone)]
pub struct Call {
    /// Identity.
    pub id: Id,
    /// Plan whose lane it waits in.
    pub plan: String,
    /// How the plan is served.
    pub class: Class,
    /// Estimated cost in units.
    pub cost: u32,
    /// Size in memory in bytes.
    pub bytes: usize,
    /// Time by which it must start.
    pub start_deadline: Duration,
    /// Whether its run may be paused and resumed.
    pub is_pausable: bool,
    /// Whether nothing else may run beside it.
    pub is_isolated: bool,
}

/// Next thing to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Start or resume a call.
    Start(Id),
    /// Pause a run, then report [`Schedule::requeue`].
    Pause(Id),
}

/// Refusal of a call, with the time after which a new attempt makes sense.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Predicted wait.
    pub wait: Duration,
    /// Time that the call had left.
    pub time_left: Duration,
}

/// Schedule of one agent.
#[derive(Debug)]
pub struct Schedule {
    capacity: Capacity,
    throughput: Throughput,
    queue: Queue<Id>,
    /// QueuedCall calls that must run alone.
    solo: Queue<Id>,
    /// All calls that wait or run.
    calls: FxHashMap<Id, Entry>,
    /// Units that running calls may still cost.
    owed: u64,
    running: u32,
    /// Runs that may be paused.
    pausable: u32,
    /// Runs that were told to pause and have not yet.
    pausing: u32,
    /// Whether a call that must be alone runs.
    alone: bool,
    /// Size of all calls in bytes.
    bytes: usize,
}

#[derive(Debug)]
struct Entry {
    call: Call,
    state: State,
    /// Units charged to the lane for the current or next run.
    charged: u32,
    /// Units worked off in the current run.
    done: u32,
    pauses: u8,
    /// Whether it has run before, so that it is no longer given up for its wait.
    resumed: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    QueuedCall,
    Running { since: Duration },
    Pausing,
}

impl Schedule {
    /// Creates an idle schedule.
    pub fn new(capacity: Capacity) -> Self {
        Self {
            capacity,
            throughput: Throughput::new(capacity.initial_rate),
            queue: Queue::default(),
            solo: Queue::default(),
            calls: FxHashMap::default(),
            owed: 0,
            running: 0,
            pausable: 0,
            pausing: 0,
            alone: false,
            bytes: 0,
        }
    }

    /// Queues a call, or refuses it at once if it would not start in its time.
    ///
    /// # Errors
    /// [`Refusal`].
    pub fn admit(&mut self, call: Call, now: Duration) -> Result<(), Refusal> {
        let time_left = call.start_deadline.saturating_sub(now);
        let own = self.queue.plan_tokens(&call.plan);
        let wait = self.predict(&call.plan, call.class, own);
        let full = self.waiting() >= self.capacity.max_queued_calls
            || self.bytes + call.bytes > self.capacity.max_bytes;
        if full || wait >= time_left {
            return Err(Refusal { wait, time_left });
        }
        self.bytes += call.bytes;
        let waiting = QueuedCall {
            id: call.id,
            cost: call.cost,
        };
        self.lane(call.is_isolated)
            .push(&call.plan, call.class, waiting);
        let entry = Entry {
            charged: call.cost,
            call,
            state: State::QueuedCall,
            done: 0,
            pauses: 0,
            resumed: false,
        };
        self.calls.insert(entry.call.id, entry);
        Ok(())
    }

    /// Decides the next thing to do; call it until it returns `None` after every change.
    pub fn next_action(&mut self, now: Duration) -> Option<Action> {
        if self.alone {
            return None;
        }
        if !self.solo.is_empty() {
            return self.start_alone(now);
        }
        if self.running < self.capacity.slots {
            let trials = self.trials_allowed();
            let id = self.queue.pop(trials)?;
            self.run(id, now);
            return Some(Action::Start(id));
        }
        self.choose_pause().map(Action::Pause)
    }

    /// Notes units worked off by a run.
    pub fn record_progress(&mut self, id: Id, units: u32) {
        let Some(entry) = self.calls.get_mut(&id) else {
            return;
        };
        let before = rest(entry);
        entry.done = entry.done.saturating_add(units);
        self.owed -= before - rest(entry);
        self.throughput.record_units(units.into());
    }

    /// Ends a call, wherever it is; its lane is charged for what it really cost. `false` if it is not here.
    pub fn end(&mut self, id: Id, now: Duration) -> bool {
        let Some(entry) = self.calls.remove(&id) else {
            return false;
        };
        self.bytes -= entry.call.bytes;
        if entry.state == State::QueuedCall {
            let lane = self.lane(entry.call.is_isolated);
            lane.remove(&entry.call.plan, &id);
            return true;
        }
        self.leave_slot(&entry, now);
        let lane = self.lane(entry.call.is_isolated);
        lane.settle(&entry.call.plan, entry.charged, entry.done);
        lane.drop_idle_lanes();
        true
    }

    /// Puts a paused run back at the front of its lane.
    pub fn requeue(&mut self, id: Id, now: Duration) {
        let Some(mut entry) = self.calls.remove(&id) else {
            return;
        };
        if entry.state != State::QueuedCall {
            self.leave_slot(&entry, now);
            let (plan, class) = (entry.call.plan.clone(), entry.call.class);
            let lane = self.lane(entry.call.is_isolated);
            lane.settle(&plan, entry.charged, entry.done);
            entry.charged = entry.charged.saturating_sub(entry.done).max(1);
            entry.done = 0;
            entry.pauses += 1;
            entry.resumed = true;
            entry.state = State::QueuedCall;
            let waiting = QueuedCall {
                id,
                cost: entry.charged,
            };
            lane.push_front(&plan, class, waiting);
        }
        self.calls.insert(id, entry);
    }

    /// Takes a call out of its slot, or out of its lane, to run alone later.
    pub fn isolate(&mut self, id: Id, now: Duration) {
        self.requeue(id, now);
        let Some(mut entry) = self.calls.remove(&id) else {
            return;
        };
        if !entry.call.is_isolated {
            let (plan, class) = (entry.call.plan.clone(), entry.call.class);
            self.queue.remove(&plan, &id);
            entry.call.is_isolated = true;
            let cost = entry.charged;
            self.solo.push(&plan, class, QueuedCall { id, cost });
        }
        self.calls.insert(id, entry);
    }

    /// Tells whether a call waits for, or has, a run of its own.
    pub fn is_isolated(&self, id: Id) -> bool {
        self.calls
            .get(&id)
            .is_some_and(|entry| entry.call.is_isolated)
    }

    /// Finds the waiting calls that are past their time or surely will be; each is to be ended at once.
    pub fn calls_to_shed(&self, now: Duration) -> Vec<(Id, Refusal)> {
        let lanes = self.queue.calls().chain(self.solo.calls());
        let judged = lanes.filter_map(|(plan, class, own, waiting)| {
            let entry = self.calls.get(&waiting.id)?;
            if entry.resumed {
                return None;
            }
            let time_left = entry.call.start_deadline.saturating_sub(now);
            let wait = self.predict(plan, class, own);
            let hopeless = time_left.is_zero() || wait > time_left * GIVE_UP_FACTOR;
            hopeless.then_some((waiting.id, Refusal { wait, time_left }))
        });
        judged.collect()
    }

    /// Tells whether a call waits, for its first start or to be resumed.
    pub fn is_waiting(&self, id: Id) -> bool {
        let entry = self.calls.get(&id);
        entry.is_some_and(|entry| entry.state == State::QueuedCall)
    }

    /// Returns the load as entries are told it.
    pub fn load(&self) -> Load {
        Load {
            queued: self.waiting() as u32,
            running: self.running,
            owed_tokens: self.owed + self.queue.total_tokens() + self.solo.total_tokens(),
            leaving: false,
        }
    }

    /// Returns the units worked off a second when busy.
    pub fn rate(&self) -> f64 {
        self.throughput.rate()
    }

    fn waiting(&self) -> usize {
        self.calls.len() - self.running as usize
    }

    fn lane(&mut self, alone: bool) -> &mut Queue<Id> {
        if alone {
            &mut self.solo
        } else {
            &mut self.queue
        }
    }

    fn predict(&self, plan: &str, class: Class, own: u64) -> Duration {
        let pausable = !class.is_trial && self.pausable > 0;
        let free = pausable || self.running < self.capacity.slots;
        let ahead = Backlog {
            queued: self.queue.tokens_ahead(plan, class, own) + self.solo.total_tokens(),
            owed: self.owed,
            running: self.running,
            has_free_slot: free && !self.alone && self.solo.is_empty(),
        };
        wait::predict(&ahead, self.throughput.rate())
    }

    fn start_alone(&mut self, now: Duration) -> Option<Action> {
        if self.running > 0 {
            return None;
        }
        let id = self.solo.pop(true)?;
        self.run(id, now);
        self.alone = true;
        Some(Action::Start(id))
    }

    fn trials_allowed(&self) -> bool {
        let kept = self.capacity.reserved_slots.min(self.capacity.slots - 1);
        self.running < self.capacity.slots - kept
    }

    fn run(&mut self, id: Id, now: Duration) {
        let Some(entry) = self.calls.get_mut(&id) else {
            return;
        };
        entry.state = State::Running { since: now };
        self.owed += rest(entry);
        self.running += 1;
        self.pausable += u32::from(may_pause(entry));
        self.throughput
            .set_busy(self.running >= self.capacity.slots, now);
    }

    fn leave_slot(&mut self, entry: &Entry, now: Duration) {
        self.owed -= rest(entry);
        self.running -= 1;
        self.pausable -= u32::from(may_pause(entry));
        self.pausing -= u32::from(entry.state == State::Pausing);
        self.alone = self.alone && !entry.call.is_isolated;
        self.throughput
            .set_busy(self.running >= self.capacity.slots, now);
    }

    /// Chooses the trial run that started last, if a call of another plan waits that no pause was made for yet.
    fn choose_pause(&mut self) -> Option<Id> {
        if self.queue.len(false) <= self.pausing as usize {
            return None;
        }
        let candidates = self.calls.values().filter_map(|entry| match entry.state {
            State::Running { since } if may_pause(entry) => Some((since, entry.call.id)),
            _ => None,
        });
        let (_, id) = candidates.max()?;
        if let Some(entry) = self.calls.get_mut(&id) {
            entry.state = State::Pausing;
            self.pausing += 1;
        }
        Some(id)
    }
}

fn may_pause(entry: &Entry) -> bool {
    entry.call.class.is_trial && entry.call.is_pausable && entry.pauses < MOST_PAUSES
}

/// Units that a run may still cost.
fn rest(entry: &Entry) -> u64 {
    entry.charged.saturating_sub(entry.done).into()
}
