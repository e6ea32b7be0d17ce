//! Choice of the agent for each call, from this entry's view and its own calls.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use pistachiolug_kernel::clock::{Clock, System};
use pistachiolug_membership::{exclusion::Cause, view::View};
use pistachiolug_routing::{
    affinity,
    choice::{self, AgentLoad, Candidate},
    subset::{self, Member},
};
use pistachiolug_wire::{
    instance::{Instance, Place, Role},
    load::Load,
};
use rustc_hash::FxHashMap;
use serde_json::{Value, json};

/// Time for which an agent that lacks a version or is full is avoided.
const AVOID: Duration = Duration::from_secs(1);

/// Epoch of a subset that must be chosen again.
const OUTDATED: u64 = 0;

/// Largest number of avoided pairs of agent and model.
const AVOIDED: usize = 4096;

/// Largest subset, in multiples of the usual one, that a service whose agents are full grows to.
const LARGEST_GROWTH: usize = 4;

/// Chooses agents; clones share what is known.
#[derive(Debug, Clone)]
pub struct Router {
    /// Instances.
    pub view: View,
    name: Arc<str>,
    place: Arc<Place>,
    clock: System,
    state: Arc<Mutex<State>>,
}

/// What a call needs.
#[derive(Debug, Clone, Copy)]
pub struct Requirements<'a> {
    /// Service of the agent.
    pub service: &'a str,
    /// Model; empty for plain services.
    pub model: &'a str,
    /// Prompt, whose prefix may be cached; empty for plain services.
    pub prompt: &'a [u8],
}

/// Call at an agent, counted until it is dropped.
#[derive(Debug)]
pub struct Assignment {
    /// Name of the agent's instance.
    pub name: String,
    /// Internal address.
    pub address: SocketAddr,
    router: Router,
}

#[derive(Debug, Default)]
struct State {
    pools: FxHashMap<String, Pool>,
    /// Load of agents that are in a pool or have a call of this entry.
    gauges: FxHashMap<String, AgentLoad>,
    /// End of the time for which an agent is avoided for a model; at most [`AVOIDED`] pairs.
    avoided: FxHashMap<(String, String), Duration>,
}

/// Subset of one service.
#[derive(Debug, Default)]
struct Pool {
    /// Epoch of the view it was made from, plus one; or [`OUTDATED`].
    epoch: u64,
    /// Multiple of the usual size.
    growth: usize,
    agents: Vec<Peer>,
}

#[derive(Debug, Clone)]
struct Peer {
    name: String,
    hash: u64,
    address: SocketAddr,
    home: bool,
}

impl Router {
    /// Creates a router for the entry `name` at `place`.
    pub fn new(view: View, name: &str, place: Place) -> Self {
        Self {
            view,
            name: name.into(),
            place: Arc::new(place),
            clock: System::default(),
            state: Arc::default(),
        }
    }

    /// Chooses an agent that is not in `tried` and counts a call at it.
    pub fn assign(&self, need: Requirements<'_>, tried: &[String]) -> Option<Assignment> {
        let now = self.clock.now();
        let mut state = self.state();
        self.refresh(&mut state, need.service);
        let State {
            pools,
            gauges,
            avoided,
        } = &mut *state;
        let pool = pools.get_mut(need.service)?;
        let open: Vec<Peer> = pool
            .agents
            .iter()
            .filter(|peer| !tried.contains(&peer.name))
            .cloned()
            .collect();
        let known: Vec<AgentLoad> = open
            .iter()
            .map(|peer| gauges.get(&peer.name).copied().unwrap_or_default())
            .collect();
        let candidates: Vec<Candidate> = choice::estimate(&known, now)
            .into_iter()
            .zip(&open)
            .map(|(calls, peer)| Candidate {
                calls,
                is_local: peer.home,
                is_avoided: is_avoided(avoided, &peer.name, need.model, now),
            })
            .collect();
        if pool.growth < LARGEST_GROWTH && candidates.iter().all(|candidate| candidate.is_avoided) {
            pool.growth *= 2;
            pool.epoch = OUTDATED;
        }
        let names = open.iter().map(|peer| peer.hash);
        let preferred = (!need.prompt.is_empty())
            .then(|| affinity::prefer(affinity::prefix(need.prompt), names))
            .flatten();
        let chosen = choice::choose(&candidates, preferred, &mut rand::rng())?;
        let peer = &open[chosen];
        gauges.entry(peer.name.clone()).or_default().own_calls += 1;
        Some(self.ticket(&peer.name, peer.address))
    }

    /// Counts a call at an agent that was named rather than chosen, if the list has it.
    pub fn assign_to(&self, name: &str) -> Option<Assignment> {
        let snapshot = self.view.snapshot();
        let mut instances = snapshot.instances.iter();
        let found = instances.find(|instance| instance.name == name)?;
        self.state()
            .gauges
            .entry(name.to_owned())
            .or_default()
            .own_calls += 1;
        Some(self.ticket(name, found.address))
    }

    /// Takes a report of an agent's load.
    pub fn record_load(&self, name: &str, load: &Load) {
        if load.leaving && self.view.cause(name) != Some(Cause::Left) {
            self.view.exclude(name, Cause::Left);
        }
        let now = self.clock.now();
        if let Some(gauge) = self.state().gauges.get_mut(name) {
            gauge.record_report(load, now);
        }
    }

    /// Avoids an agent for a model for a while; it is full or lacks the version.
    pub fn avoid(&self, name: &str, model: &str) {
        let now = self.clock.now();
        let mut state = self.state();
        state.avoided.retain(|_, until| *until > now);
        if state.avoided.len() < AVOIDED {
            let pair = (name.to_owned(), model.to_owned());
            state.avoided.insert(pair, now + AVOID);
        }
    }

    /// Renders the subsets and the calls at each agent.
    pub fn dump(&self) -> Value {
        let now = self.clock.now();
        let state = self.state();
        let pools = state.pools.iter().map(|(service, pool)| {
            let names = pool.agents.iter().map(|peer| peer.name.as_str());
            (service.clone(), json!(names.collect::<Vec<_>>()))
        });
        let gauges = state.gauges.iter().map(|(name, gauge)| {
            let calls = choice::estimate(std::slice::from_ref(gauge), now);
            (
                name.clone(),
                json!({ "own": gauge.own_calls, "estimate": calls }),
            )
        });
        json!({
            "subsets": pools.collect::<serde_json::Map<_, _>>(),
            "agents": gauges.collect::<serde_json::Map<_, _>>(),
            "avoided": state.avoided.len(),
            "barred": self.view.excluded_count(),
        })
    }

    fn ticket(&self, name: &str, address: SocketAddr) -> Assignment {
        Assignment {
            name: name.to_owned(),
            address,
            router: self.clone(),
        }
    }

    /// Chooses the service's subset again if instances came, left or were barred.
    fn refresh(&self, state: &mut State, service: &str) {
        let epoch = self.view.epoch() + 1;
        let known = state.pools.get(service);
        if known.is_some_and(|pool| pool.epoch == epoch) {
            return;
        }
        let agents = self.view.agents(service);
        if agents.is_empty() {
            state.pools.remove(service);
        } else {
            // A subset that grew shrinks again with the next change of the instances.
            let grown = known.filter(|pool| pool.epoch == OUTDATED);
            let growth = grown.map_or(1, |pool| pool.growth);
            let agents = self.choose_subset(&agents, subset::SIZE * growth);
            let pool = Pool {
                epoch,
                growth,
                agents,
            };
            state.pools.insert(service.to_owned(), pool);
        }
        let State { pools, gauges, .. } = state;
        gauges.retain(|name, gauge| gauge.own_calls > 0 || in_pool(pools, name));
    }

    fn choose_subset(&self, agents: &[Instance], size: usize) -> Vec<Peer> {
        let snapshot = self.view.snapshot();
        let entries: Vec<Member<'_>> = snapshot
            .instances
            .iter()
            .filter(|instance| instance.role == Role::Entry)
            .map(member)
            .collect();
        let members: Vec<Member<'_>> = agents.iter().map(member).collect();
        let own = Member {
            name: &self.name,
            place: &self.place,
        };
        let chosen = subset::choose(own, &entries, &members, size);
        let peers = chosen.into_iter().map(|index| {
            let agent = &agents[index];
            Peer {
                name: agent.name.clone(),
                hash: subset::hash(agent.name.as_bytes()),
                address: agent.address,
                home: agent.place == *self.place,
            }
        });
        peers.collect()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        if let Some(gauge) = self.router.state().gauges.get_mut(&self.name) {
            gauge.own_calls = gauge.own_calls.saturating_sub(1);
        }
    }
}

fn member(instance: &Instance) -> Member<'_> {
    Member {
        name: &instance.name,
        place: &instance.place,
    }
}

fn in_pool(pools: &FxHashMap<String, Pool>, name: &str) -> bool {
    let mut peers = pools.values().flat_map(|pool| &pool.agents);
    peers.any(|peer| peer.name == name)
}

fn is_avoided(
    avoided: &FxHashMap<(String, String), Duration>,
    name: &str,
    model: &str,
    now: Duration,
) -> bool {
    let pair = (name.to_owned(), model.to_owned());
    avoided.get(&pair).is_some_and(|until| *until > now)
}
