//! Names and places of the instances of a simulated deployment, and the subsets of its entries.

use pistachiolug_routing::subset::{self, Member};
use pistachiolug_wire::instance::Place;

/// Size of a deployment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Size {
    /// Number of entries, which are spread evenly over five zones.
    pub(crate) entries: usize,
    /// Number of agents in each of the five zones.
    pub(crate) agents: [usize; 5],
    /// Number of agents in an entry's subset.
    pub(crate) subset: usize,
}

/// Instances of a deployment.
pub(crate) struct Fleet {
    /// Names and places of the entries.
    pub(crate) entries: Vec<(String, Place)>,
    /// Names and places of the agents.
    pub(crate) agents: Vec<(String, Place)>,
}

impl Fleet {
    /// Creates a deployment with instances in five zones.
    pub(crate) fn new(size: &Size) -> Self {
        let entries = (0..size.entries).map(|index| (format!("entry-{index}"), zone(index % 5)));
        let agents = size
            .agents
            .iter()
            .enumerate()
            .flat_map(|(zone_index, count)| {
                (0..*count)
                    .map(move |index| (format!("agent-{zone_index}-{index}"), zone(zone_index)))
            });
        Self {
            entries: entries.collect(),
            agents: agents.collect(),
        }
    }

    /// Returns the subset of each entry, as indices of agents.
    pub(crate) fn subsets(&self, size: usize) -> Vec<Vec<usize>> {
        let agents: Vec<_> = self.agents.iter().map(member).collect();
        let entries: Vec<_> = self.entries.iter().map(member).collect();
        let own = entries.iter();
        own.map(|entry| subset::choose(*entry, &entries, &agents, size))
            .collect()
    }
}

/// Returns the place of one of five zones; three are in one region and two in another.
pub(crate) fn zone(index: usize) -> Place {
    Place {
        region: if index < 3 { "gauteng" } else { "cape" }.to_owned(),
        zone: format!("zone-{index}"),
    }
}

fn member(instance: &(String, Place)) -> Member<'_> {
    Member {
        name: &instance.0,
        place: &instance.1,
    }
}
