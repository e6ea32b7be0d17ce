//! Placement of models on instances; every agent computes it alike from the same lists and instance list.

use std::{cmp::Reverse, collections::BTreeMap};

use pistachiolug_membership::view;
use pistachiolug_platform::directory::Snapshot;
use pistachiolug_weights::order::Key;
use pistachiolug_wire::instance::Instance;

/// Returns the first `count` live agents of a service for a model.
///
/// Agents are taken from the availability zones in turn, and within a zone by rendezvous hash, so that an agent that
/// joins or leaves changes few other placements.
pub fn choose_instances<'a>(
    snapshot: &'a Snapshot,
    service: &'a str,
    model: &str,
    count: usize,
) -> Vec<&'a Instance> {
    let model_key = Key::of(model);
    let mut zones: BTreeMap<&str, Vec<&Instance>> = BTreeMap::new();
    for agent in view::agents(snapshot, service) {
        zones.entry(&agent.place.zone).or_default().push(agent);
    }
    let mut order = Vec::new();
    for agents in zones.values_mut() {
        agents.sort_by_key(|agent| Reverse(Key::of(&agent.name).score(model_key)));
        for (rank, agent) in agents.iter().enumerate() {
            let score = Key::of(&agent.name).score(model_key);
            order.push((rank, Reverse(score), *agent));
        }
    }
    order.sort_by_key(|(rank, score, _)| (*rank, *score));
    order
        .into_iter()
        .take(count)
        .map(|(_, _, agent)| agent)
        .collect()
}
