//! Routing, scheduling and list decisions, as benchmarks and allocation tests run them at several fleet sizes.

use std::{hint::black_box, time::Duration};

use pistachiolug_lists::{
    customer::Customer,
    row::{Kind, Name},
    table::{Change, Table},
};
use pistachiolug_routing::{
    choice::{self, Candidate},
    fair_queue::Class,
    schedule::{Call, Capacity, Schedule},
    subset::{self, Member},
};
use pistachiolug_wire::{call::Id, digest::Digest, instance::Place};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Number of availability zones of a fleet.
const ZONES: usize = 5;

/// Number of agents that one entry sends calls to.
const SUBSET_SIZE: usize = 24;

/// Cost of each call, in tokens.
const CALL_TOKENS: u32 = 300;

/// Instances with their names and places.
#[derive(Debug, Clone)]
pub struct Fleet {
    names: Vec<String>,
    places: Vec<Place>,
}

impl Fleet {
    /// Creates `size` instances, spread evenly over the zones.
    pub fn new(prefix: &str, size: usize) -> Self {
        let place = |index: usize| Place {
            region: format!("region-{}", index % ZONES % 2),
            zone: format!("zone-{}", index % ZONES),
        };
        Self {
            names: (0..size).map(|index| format!("{prefix}-{index}")).collect(),
            places: (0..size).map(place).collect(),
        }
    }

    /// Returns the instances as input of the subset assignment.
    pub fn members(&self) -> Vec<Member<'_>> {
        let pairs = self.names.iter().zip(&self.places);
        pairs.map(|(name, place)| Member { name, place }).collect()
    }
}

/// Returns `count` candidates with uneven load, some of them local or avoided.
pub fn candidates(count: usize) -> Vec<Candidate> {
    let candidate = |index: usize| Candidate {
        calls: (index * 7 % 13) as f64,
        is_local: index.is_multiple_of(4),
        is_avoided: index.is_multiple_of(11),
    };
    (0..count).map(candidate).collect()
}

/// Chooses an agent among the candidates, `times` times.
pub fn choose(candidates: &[Candidate], times: usize) {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..times {
        black_box(choice::choose(candidates, None, &mut random));
    }
}

/// Computes the subset of agents of the first entry.
pub fn subset(entries: &Fleet, agents: &Fleet) {
    let entries = entries.members();
    let agents = agents.members();
    black_box(subset::choose(entries[0], &entries, &agents, SUBSET_SIZE));
}

/// Returns a schedule with `waiting` queued calls, spread over `plans` plans.
pub fn schedule(waiting: usize, plans: usize) -> Schedule {
    let mut schedule = Schedule::new(Capacity {
        slots: 16,
        initial_rate: 1e9,
        max_queued_calls: waiting + 64,
        max_bytes: usize::MAX,
        reserved_slots: 2,
    });
    for index in 0..waiting {
        // A refused call leaves the queue unchanged.
        let _ = schedule.admit(call(index, plans), Duration::ZERO);
    }
    schedule
}

/// Queues a call, takes the next action and ends the call, `times` times.
pub fn run_calls(schedule: &mut Schedule, plans: usize, times: usize) {
    for index in 0..times {
        let call = call(usize::MAX / 2 + index, plans);
        let id = call.id;
        let now = Duration::from_millis(index as u64);
        // A refused call leaves the queue unchanged.
        let _ = schedule.admit(call, now);
        black_box(schedule.next_action(now));
        schedule.end(id, now);
    }
}

/// Returns a table with `customers` rows of the customers list, all in force.
pub fn table(customers: usize) -> Table {
    let mut table = Table::default();
    let changes = (0..customers).map(|index| change(index, 0, index as u64 + 1));
    table.apply_snapshot(changes.collect(), customers as u64);
    table.resolve();
    table
}

/// Applies a change of one row and puts the lists in force.
pub fn apply_edit(table: &mut Table, revision: u64) {
    table.apply(change(0, revision, revision));
    black_box(table.resolve());
}

fn call(index: usize, plans: usize) -> Call {
    Call {
        id: Id(index as u128),
        plan: format!("plan-{}", index % plans),
        class: Class {
            weight: 1 + (index % plans) as u32,
            is_trial: false,
        },
        cost: CALL_TOKENS,
        bytes: 1,
        start_deadline: Duration::from_secs(3_600),
        is_pausable: false,
        is_isolated: false,
    }
}

fn change(index: usize, limit: u64, revision: u64) -> Change {
    let name = format!("customer-{index:05}");
    let customer = Customer {
        keys: vec![Digest::of(name.as_bytes())],
        name: name.clone(),
        plan: "paid".to_owned(),
        tokens_per_minute: limit,
    };
    Change {
        name: Name {
            kind: Kind::Customers,
            name,
        },
        revision,
        value: serde_json::to_vec(&customer).ok().map(Into::into),
        good: None,
    }
}
