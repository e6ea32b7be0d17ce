//! Which instances take a model, decided alike at every agent from the same lists and instance list.

use std::{cmp::Reverse, collections::BTreeMap};

use pistachiolug_membership::view;
use pistachiolug_platform::directory::Snapshot;
use pistachiolug_weights::order::Key;
use pistachiolug_wire::instance::Instance;

/// Returns the first `count` live agents of a service for a model.
///
/// Agents are taken from the availability zones in turn, within a zone by rendezvous hash, so that one that joins or
/// leaves moves few others.
pub fn choose_instances<'a>(
    snapshot: &'a Snapshot,
    service: &'a str,
    model: &str,
    count: usize,
) -> Vec<&'a Instance> {
    let object = Key::of(model);
    let mut zones: BTreeMap<&str, Vec<&Instance>> = BTreeMap::new();
    for agent in view::agents(snapshot, service) {
        zones.entry(&agent.place.zone).or_default().push(agent);
    }
    let mut order = Vec::new();
    for agents in zones.values_mut() {
        agents.sort_by_key(|agent| Reverse(Key::of(&agent.name).score(object)));
        for (turn, agent) in agents.iter().enumerate() {
            let score = Key::of(&agent.name).score(object);
            order.push((turn, Reverse(score), *agent));
        }
    }
    order.sort_by_key(|(turn, score, _)| (*turn, *score));
    order
        .into_iter()
        .take(count)
        .map(|(_, _, agent)| agent)
        .collect()
}
