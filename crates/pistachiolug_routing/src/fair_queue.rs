//! Queue with one lane per plan, served by start-time fair queueing in tokens.
//!
//! Source: P. Goyal, H. M. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996. Plans in the trial class are served
//! only when no other lane waits; within a class, lanes share by weight and an idle lane's share goes to the others.

use std::collections::{BTreeMap, VecDeque};

/// Virtual time that one token costs a lane of weight 1.
const TOKEN_TIME: i64 = 1 << 16;

/// How a plan is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Class {
    /// Share relative to the other plans of the class; at least 1.
    pub weight: u32,
    /// Whether the plan only gets what the other class leaves.
    pub is_trial: bool,
}

/// QueuedCall call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedCall<T> {
    /// The call.
    pub id: T,
    /// Estimated cost in tokens.
    pub cost: u32,
}

/// Queue of calls by plan.
#[derive(Debug)]
pub struct Queue<T> {
    lanes: BTreeMap<String, Lane<T>>,
    /// Virtual time by class: the start tag of the call served last; trials are at index 1.
    now: [i64; 2],
}

#[derive(Debug)]
struct Lane<T> {
    class: Class,
    waiting: VecDeque<QueuedCall<T>>,
    /// Finish tag of the call served last; the next one starts no earlier.
    finish: i64,
    /// Sum of the waiting costs in tokens.
    tokens: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            lanes: BTreeMap::new(),
            now: [0; 2],
        }
    }
}

impl<T: PartialEq> Queue<T> {
    /// Adds a call at the end of its plan's lane, whose class is brought up to date.
    pub fn push(&mut self, plan: &str, class: Class, call: QueuedCall<T>) {
        let lane = self.lane(plan, class);
        lane.tokens += u64::from(call.cost);
        lane.waiting.push_back(call);
    }

    /// Puts a call back at the front of its plan's lane.
    pub fn push_front(&mut self, plan: &str, class: Class, call: QueuedCall<T>) {
        let lane = self.lane(plan, class);
        lane.tokens += u64::from(call.cost);
        lane.waiting.push_front(call);
    }

    /// Takes the next call, from the trial class only if `trials` allows it.
    pub fn pop(&mut self, trials: bool) -> Option<T> {
        let now = self.now;
        let lanes = self.lanes.values_mut();
        let waiting = lanes.filter(|lane| !lane.waiting.is_empty());
        let allowed = waiting.filter(|lane| trials || !lane.class.is_trial);
        let lane = allowed.min_by_key(|lane| (lane.class.is_trial, lane.start(now)))?;
        let start = lane.start(now);
        let call = lane.waiting.pop_front()?;
        lane.tokens -= u64::from(call.cost);
        lane.finish = start + lane.length(i64::from(call.cost));
        self.now[usize::from(lane.class.is_trial)] = start;
        Some(call.id)
    }

    /// Charges a plan's lane for the difference between a call's real and estimated cost.
    pub fn settle(&mut self, plan: &str, estimated: u32, real: u32) {
        if let Some(lane) = self.lanes.get_mut(plan) {
            lane.finish += lane.length(i64::from(real) - i64::from(estimated));
        }
    }

    /// Removes a waiting call; `false` if it does not wait.
    pub fn remove(&mut self, plan: &str, item: &T) -> bool {
        let Some(lane) = self.lanes.get_mut(plan) else {
            return false;
        };
        let place = lane.waiting.iter().position(|call| call.id == *item);
        let Some(call) = place.and_then(|place| lane.waiting.remove(place)) else {
            return false;
        };
        lane.tokens -= u64::from(call.cost);
        true
    }

    /// Forgets the lanes that are idle and not in debt, so that removed plans leave nothing behind.
    pub fn drop_idle_lanes(&mut self) {
        let now = self.now;
        self.lanes.retain(|_, lane| {
            let index = usize::from(lane.class.is_trial);
            !lane.waiting.is_empty() || lane.finish > now[index]
        });
    }

    /// Returns the number of waiting calls, of one class or the other.
    pub fn len(&self, trial: bool) -> usize {
        let lanes = self.lanes.values();
        let class = lanes.filter(|lane| lane.class.is_trial == trial);
        class.map(|lane| lane.waiting.len()).sum()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.values().all(|lane| lane.waiting.is_empty())
    }

    /// Returns the sum of the waiting costs in tokens.
    pub fn total_tokens(&self) -> u64 {
        self.lanes.values().map(|lane| lane.tokens).sum()
    }

    /// Estimates the tokens served before a call that has `own` tokens of its plan's lane in front of it.
    ///
    /// Other lanes of the class advance in proportion to their weights; a trial also waits for all other plans.
    pub fn tokens_ahead(&self, plan: &str, class: Class, own: u64) -> u64 {
        let others = self.lanes.iter().filter(|(name, _)| *name != plan);
        let served = others.map(|(_, lane)| {
            if lane.class.is_trial != class.is_trial {
                return if class.is_trial { lane.tokens } else { 0 };
            }
            let weight = u64::from(lane.class.weight.max(1));
            let fair = (own + 1) * weight / u64::from(class.weight.max(1));
            lane.tokens.min(fair)
        });
        own + served.sum::<u64>()
    }

    /// Returns the sum of a plan's waiting costs in tokens.
    pub fn plan_tokens(&self, plan: &str) -> u64 {
        self.lanes.get(plan).map_or(0, |lane| lane.tokens)
    }

    /// Iterates over the waiting calls with their plan, class and the tokens of their lane in front of them.
    pub fn calls(&self) -> impl Iterator<Item = (&str, Class, u64, &QueuedCall<T>)> {
        self.lanes.iter().flat_map(|(plan, lane)| {
            let mut own = 0;
            lane.waiting.iter().map(move |call| {
                let before = own;
                own += u64::from(call.cost);
                (plan.as_str(), lane.class, before, call)
            })
        })
    }

    fn lane(&mut self, plan: &str, class: Class) -> &mut Lane<T> {
        let lane = self.lanes.entry(plan.to_owned()).or_insert(Lane {
            class,
            waiting: VecDeque::new(),
            finish: 0,
            tokens: 0,
        });
        lane.class = class;
        lane
    }
}

impl<T> Lane<T> {
    /// Start tag of the lane's next call.
    fn start(&self, now: [i64; 2]) -> i64 {
        self.finish.max(now[usize::from(self.class.is_trial)])
    }

    /// Virtual time of a cost in tokens.
    fn length(&self, tokens: i64) -> i64 {
        tokens * TOKEN_TIME / i64::from(self.class.weight.max(1))
    }
}
