//! Queue with one lane per plan, served by start-time fair queueing in tokens.
//!
//! Source: P. Goyal, H. M. Vin, H. Cheng, "Start-time Fair Queueing", SIGCOMM 1996. Trial plans are served only while
//! no other plan has a waiting call. Among the trial plans and among the others, lanes share by weight, and the share
//! of a lane without waiting calls goes to the other lanes.

use std::collections::{BTreeMap, VecDeque};

/// Virtual time by which one token advances a lane of weight 1.
const VIRTUAL_TIME_PER_TOKEN: i64 = 1 << 16;

/// Class and weight with which a plan is served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Class {
    /// Share relative to the other plans of the same kind; at least 1.
    pub weight: u32,
    /// Whether the plan is a trial, which gets only the capacity that other plans leave.
    pub is_trial: bool,
}

/// Call that waits in a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuedCall<T> {
    /// Identity, by which the call can be removed.
    pub id: T,
    /// Estimated cost in tokens.
    pub cost: u32,
}

/// Queue of calls with one lane per plan.
#[derive(Debug)]
pub struct Queue<T> {
    lanes: BTreeMap<String, Lane<T>>,
    /// Virtual time, which is the start tag of the call served last: of other plans at index 0, of trials at index 1.
    virtual_now: [i64; 2],
}

#[derive(Debug)]
struct Lane<T> {
    class: Class,
    calls: VecDeque<QueuedCall<T>>,
    /// Finish tag of the call served last; the start tag of the next one is not before it.
    finish_tag: i64,
    /// Sum of the estimated costs of the waiting calls in tokens.
    tokens: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self {
            lanes: BTreeMap::new(),
            virtual_now: [0; 2],
        }
    }
}

impl<T: PartialEq> Queue<T> {
    /// Adds a call at the end of its plan's lane and sets the lane's class to `class`.
    pub fn push(&mut self, plan: &str, class: Class, call: QueuedCall<T>) {
        let lane = self.lane(plan, class);
        lane.tokens += u64::from(call.cost);
        lane.calls.push_back(call);
    }

    /// Adds a call at the front of its plan's lane and sets the lane's class to `class`.
    pub fn push_front(&mut self, plan: &str, class: Class, call: QueuedCall<T>) {
        let lane = self.lane(plan, class);
        lane.tokens += u64::from(call.cost);
        lane.calls.push_front(call);
    }

    /// Removes the next call and returns its identity; the call of a trial only if `allow_trials` is set.
    pub fn pop(&mut self, allow_trials: bool) -> Option<T> {
        let virtual_now = self.virtual_now;
        let lanes = self.lanes.values_mut();
        let backlogged = lanes.filter(|lane| !lane.calls.is_empty());
        let eligible = backlogged.filter(|lane| allow_trials || !lane.class.is_trial);
        let lane =
            eligible.min_by_key(|lane| (lane.class.is_trial, lane.start_tag(virtual_now)))?;
        let start_tag = lane.start_tag(virtual_now);
        let call = lane.calls.pop_front()?;
        lane.tokens -= u64::from(call.cost);
        lane.finish_tag = start_tag + lane.virtual_time(i64::from(call.cost));
        self.virtual_now[usize::from(lane.class.is_trial)] = start_tag;
        Some(call.id)
    }

    /// Charges a plan's lane for the difference between a call's actual and estimated cost in tokens.
    pub fn settle(&mut self, plan: &str, estimated: u32, actual: u32) {
        if let Some(lane) = self.lanes.get_mut(plan) {
            lane.finish_tag += lane.virtual_time(i64::from(actual) - i64::from(estimated));
        }
    }

    /// Removes a waiting call; returns `false` if the plan's lane does not have it.
    pub fn remove(&mut self, plan: &str, id: &T) -> bool {
        let Some(lane) = self.lanes.get_mut(plan) else {
            return false;
        };
        let index = lane.calls.iter().position(|call| call.id == *id);
        let Some(call) = index.and_then(|index| lane.calls.remove(index)) else {
            return false;
        };
        lane.tokens -= u64::from(call.cost);
        true
    }

    /// Drops the lanes that are empty and have no cost left to pay, so that removed plans don't stay in memory.
    pub fn drop_idle_lanes(&mut self) {
        let virtual_now = self.virtual_now;
        self.lanes.retain(|_, lane| {
            let index = usize::from(lane.class.is_trial);
            !lane.calls.is_empty() || lane.finish_tag > virtual_now[index]
        });
    }

    /// Returns the number of waiting calls of the trial plans, or of all other plans.
    pub fn len(&self, is_trial: bool) -> usize {
        let lanes = self.lanes.values();
        let counted = lanes.filter(|lane| lane.class.is_trial == is_trial);
        counted.map(|lane| lane.calls.len()).sum()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.lanes.values().all(|lane| lane.calls.is_empty())
    }

    /// Returns the sum of the estimated costs of all waiting calls in tokens.
    pub fn total_tokens(&self) -> u64 {
        self.lanes.values().map(|lane| lane.tokens).sum()
    }

    /// Estimates the tokens that are served before a call.
    ///
    /// Other lanes of the same kind advance in proportion to their weights. The call of a trial also waits for all
    /// calls of other plans.
    ///
    /// # Arguments
    /// `lane_tokens` are the tokens in front of the call in the lane of its own plan.
    pub fn tokens_ahead(&self, plan: &str, class: Class, lane_tokens: u64) -> u64 {
        let other_lanes = self.lanes.iter().filter(|(name, _)| *name != plan);
        let served_earlier = other_lanes.map(|(_, lane)| {
            if lane.class.is_trial != class.is_trial {
                return if class.is_trial { lane.tokens } else { 0 };
            }
            let weight = u64::from(lane.class.weight.max(1));
            let fair_share = (lane_tokens + 1) * weight / u64::from(class.weight.max(1));
            lane.tokens.min(fair_share)
        });
        lane_tokens + served_earlier.sum::<u64>()
    }

    /// Returns the sum of the estimated costs of a plan's waiting calls in tokens.
    pub fn plan_tokens(&self, plan: &str) -> u64 {
        self.lanes.get(plan).map_or(0, |lane| lane.tokens)
    }

    /// Iterates over the waiting calls, each with its plan, its class and the tokens in front of it in its lane.
    pub fn calls(&self) -> impl Iterator<Item = (&str, Class, u64, &QueuedCall<T>)> {
        self.lanes.iter().flat_map(|(plan, lane)| {
            let mut lane_tokens = 0;
            lane.calls.iter().map(move |call| {
                let tokens_in_front = lane_tokens;
                lane_tokens += u64::from(call.cost);
                (plan.as_str(), lane.class, tokens_in_front, call)
            })
        })
    }

    fn lane(&mut self, plan: &str, class: Class) -> &mut Lane<T> {
        let lane = self.lanes.entry(plan.to_owned()).or_insert(Lane {
            class,
            calls: VecDeque::new(),
            finish_tag: 0,
            tokens: 0,
        });
        lane.class = class;
        lane
    }
}

impl<T> Lane<T> {
    /// Returns the start tag of the lane's next call.
    fn start_tag(&self, virtual_now: [i64; 2]) -> i64 {
        self.finish_tag
            .max(virtual_now[usize::from(self.class.is_trial)])
    }

    /// Returns the virtual time by which a cost in tokens advances the lane.
    fn virtual_time(&self, tokens: i64) -> i64 {
        tokens * VIRTUAL_TIME_PER_TOKEN / i64::from(self.class.weight.max(1))
    }
}
