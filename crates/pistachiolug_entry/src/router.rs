//! Choice of the agent for each call, from the instance list, reported loads and the entry's own calls.

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

/// Time for which an agent that refused a call because it is full or lacks the version is avoided.
const AVOID_DURATION: Duration = Duration::from_secs(1);

/// Value of [`Subset::epoch`] for a subset that has to be chosen again; other values are at least 1.
const STALE_EPOCH: u64 = 0;

/// Largest number of avoided pairs of agent and model, which bounds the memory.
const MAX_AVOIDED: usize = 4096;

/// Largest subset in multiples of [`subset::SIZE`]; a subset grows while all its agents are avoided or were tried.
const MAX_GROWTH: usize = 4;

/// Chooses agents for calls; clones share their state.
#[derive(Debug, Clone)]
pub struct Router {
    /// View of the instances of the deployment.
    pub view: View,
    name: Arc<str>,
    place: Arc<Place>,
    clock: System,
    state: Arc<Mutex<State>>,
}

/// Properties of a call that decide which agents can run it.
#[derive(Debug, Clone, Copy)]
pub struct Requirements<'a> {
    /// Service to which the call goes.
    pub service: &'a str,
    /// Name of the model; empty for plain services.
    pub model: &'a str,
    /// Request body with the prompt, whose prefix an engine may have cached; empty for plain services.
    pub prompt: &'a [u8],
}

/// Agent that was chosen for a call; the call counts toward its load until this is dropped.
#[derive(Debug)]
pub struct Assignment {
    /// Name of the agent's instance.
    pub name: String,
    /// Internal address of the agent.
    pub address: SocketAddr,
    router: Router,
}

#[derive(Debug, Default)]
struct State {
    /// Subset for each service that has been called, by its name.
    subsets: FxHashMap<String, Subset>,
    /// Loads of the agents that are in a subset or have a call of this entry, by instance name.
    loads: FxHashMap<String, AgentLoad>,
    /// End of the time for which an agent is avoided for a model; holds at most [`MAX_AVOIDED`] pairs.
    avoided: FxHashMap<(String, String), Duration>,
}

/// Agents of one service to which this entry sends calls.
#[derive(Debug, Default)]
struct Subset {
    /// Epoch of the view from which it was chosen, plus one; or [`STALE_EPOCH`].
    epoch: u64,
    /// Size limit in multiples of [`subset::SIZE`]; in `1..=MAX_GROWTH`.
    growth: usize,
    agents: Vec<Agent>,
}

#[derive(Debug, Clone)]
struct Agent {
    name: String,
    /// Hash of the name, for the choice by prompt affinity.
    hash: u64,
    address: SocketAddr,
    /// Whether the agent is in the availability zone of the entry.
    is_local: bool,
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

    /// Chooses an agent whose name is not in `tried` and adds a call to its load; `None` if there is none.
    pub fn assign(&self, requirements: Requirements<'_>, tried: &[String]) -> Option<Assignment> {
        let now = self.clock.now();
        let mut state = self.lock_state();
        self.refresh_subset(&mut state, requirements.service);
        let State {
            subsets,
            loads,
            avoided,
        } = &mut *state;
        let subset = subsets.get_mut(requirements.service)?;
        let untried: Vec<Agent> = subset
            .agents
            .iter()
            .filter(|agent| !tried.contains(&agent.name))
            .cloned()
            .collect();
        let known_loads: Vec<AgentLoad> = untried
            .iter()
            .map(|agent| loads.get(&agent.name).copied().unwrap_or_default())
            .collect();
        let candidates: Vec<Candidate> = choice::estimate(&known_loads, now)
            .into_iter()
            .zip(&untried)
            .map(|(calls, agent)| Candidate {
                calls,
                is_local: agent.is_local,
                is_avoided: is_avoided(avoided, &agent.name, requirements.model, now),
            })
            .collect();
        if subset.growth < MAX_GROWTH && candidates.iter().all(|candidate| candidate.is_avoided) {
            subset.growth *= 2;
            subset.epoch = STALE_EPOCH;
        }
        let hashes = untried.iter().map(|agent| agent.hash);
        let preferred = (!requirements.prompt.is_empty())
            .then(|| affinity::prefer(affinity::prefix(requirements.prompt), hashes))
            .flatten();
        let chosen = choice::choose(&candidates, preferred, &mut rand::rng())?;
        let agent = &untried[chosen];
        loads.entry(agent.name.clone()).or_default().own_calls += 1;
        Some(self.create_assignment(&agent.name, agent.address))
    }

    /// Adds a call to the load of the agent `name`; `None` if the instance list lacks it.
    pub fn assign_to(&self, name: &str) -> Option<Assignment> {
        let snapshot = self.view.snapshot();
        let mut instances = snapshot.instances.iter();
        let found = instances.find(|instance| instance.name == name)?;
        self.lock_state()
            .loads
            .entry(name.to_owned())
            .or_default()
            .own_calls += 1;
        Some(self.create_assignment(name, found.address))
    }

    /// Records the load that an agent reports, and excludes the agent if it is leaving.
    pub fn record_load(&self, name: &str, load: &Load) {
        if load.leaving && self.view.cause(name) != Some(Cause::Left) {
            self.view.exclude(name, Cause::Left);
        }
        let now = self.clock.now();
        if let Some(agent_load) = self.lock_state().loads.get_mut(name) {
            agent_load.record_report(load, now);
        }
    }

    /// Avoids an agent for a model for one second, because it is full or lacks the version.
    pub fn avoid(&self, name: &str, model: &str) {
        let now = self.clock.now();
        let mut state = self.lock_state();
        state.avoided.retain(|_, until| *until > now);
        if state.avoided.len() < MAX_AVOIDED {
            let pair = (name.to_owned(), model.to_owned());
            state.avoided.insert(pair, now + AVOID_DURATION);
        }
    }

    /// Returns the subsets and the calls at each agent for the debug dump.
    pub fn dump(&self) -> Value {
        let now = self.clock.now();
        let state = self.lock_state();
        let subsets = state.subsets.iter().map(|(service, subset)| {
            let names = subset.agents.iter().map(|agent| agent.name.as_str());
            (service.clone(), json!(names.collect::<Vec<_>>()))
        });
        let loads = state.loads.iter().map(|(name, agent_load)| {
            let calls = choice::estimate(std::slice::from_ref(agent_load), now);
            (
                name.clone(),
                json!({ "own": agent_load.own_calls, "estimate": calls }),
            )
        });
        json!({
            "subsets": subsets.collect::<serde_json::Map<_, _>>(),
            "agents": loads.collect::<serde_json::Map<_, _>>(),
            "avoided": state.avoided.len(),
            "barred": self.view.excluded_count(),
        })
    }

    fn create_assignment(&self, name: &str, address: SocketAddr) -> Assignment {
        Assignment {
            name: name.to_owned(),
            address,
            router: self.clone(),
        }
    }

    /// Chooses the subset of a service again if instances joined, left or were excluded, or if it has to grow.
    fn refresh_subset(&self, state: &mut State, service: &str) {
        let epoch = self.view.epoch() + 1;
        let known = state.subsets.get(service);
        if known.is_some_and(|subset| subset.epoch == epoch) {
            return;
        }
        let agents = self.view.agents(service);
        if agents.is_empty() {
            state.subsets.remove(service);
        } else {
            // A subset keeps its growth only until the next change of the instances.
            let grown_subset = known.filter(|subset| subset.epoch == STALE_EPOCH);
            let growth = grown_subset.map_or(1, |subset| subset.growth);
            let agents = self.choose_agents(&agents, subset::SIZE * growth);
            let subset = Subset {
                epoch,
                growth,
                agents,
            };
            state.subsets.insert(service.to_owned(), subset);
        }
        let State { subsets, loads, .. } = state;
        loads.retain(|name, agent_load| agent_load.own_calls > 0 || is_in_subset(subsets, name));
    }

    /// Chooses at most `size` of `agents` as the subset of this entry.
    fn choose_agents(&self, agents: &[Instance], size: usize) -> Vec<Agent> {
        let snapshot = self.view.snapshot();
        let entries: Vec<Member<'_>> = snapshot
            .instances
            .iter()
            .filter(|instance| instance.role == Role::Entry)
            .map(member)
            .collect();
        let members: Vec<Member<'_>> = agents.iter().map(member).collect();
        let entry = Member {
            name: &self.name,
            place: &self.place,
        };
        let chosen = subset::choose(entry, &entries, &members, size);
        let found_agents = chosen.into_iter().map(|index| {
            let agent = &agents[index];
            Agent {
                name: agent.name.clone(),
                hash: subset::hash(agent.name.as_bytes()),
                address: agent.address,
                is_local: agent.place == *self.place,
            }
        });
        found_agents.collect()
    }

    fn lock_state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Assignment {
    fn drop(&mut self) {
        if let Some(agent_load) = self.router.lock_state().loads.get_mut(&self.name) {
            agent_load.own_calls = agent_load.own_calls.saturating_sub(1);
        }
    }
}

fn member(instance: &Instance) -> Member<'_> {
    Member {
        name: &instance.name,
        place: &instance.place,
    }
}

fn is_in_subset(subsets: &FxHashMap<String, Subset>, name: &str) -> bool {
    let mut found_agents = subsets.values().flat_map(|subset| &subset.agents);
    found_agents.any(|agent| agent.name == name)
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
