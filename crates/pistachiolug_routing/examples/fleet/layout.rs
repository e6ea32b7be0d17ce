//! Places and names of a deployment and the subsets that follow from them.

use pistachiolug_routing::subset::{self, Member};
use pistachiolug_wire::instance::Place;

/// Sizes of a deployment.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Size {
    /// Entries, spread evenly over five zones.
    pub(crate) entries: usize,
    /// Agents in each of the five zones.
    pub(crate) agents: [usize; 5],
    /// Agents in an entry's subset.
    pub(crate) subset: usize,
}

/// Places and names of a deployment.
pub(crate) struct Fleet {
    /// Entries.
    pub(crate) entries: Vec<(String, Place)>,
    /// Agents.
    pub(crate) agents: Vec<(String, Place)>,
}

impl Fleet {
    /// Lays out a deployment.
    pub(crate) fn new(size: &Size) -> Self {
        let entries = (0..size.entries).map(|index| (format!("entry-{index}"), zone(index % 5)));
        let agents = size.agents.iter().enumerate().flat_map(|(at, count)| {
            (0..*count).map(move |index| (format!("agent-{at}-{index}"), zone(at)))
        });
        Self {
            entries: entries.collect(),
            agents: agents.collect(),
        }
    }

    /// Chooses every entry's subset.
    pub(crate) fn subsets(&self, size: usize) -> Vec<Vec<usize>> {
        let agents: Vec<_> = self.agents.iter().map(member).collect();
        let entries: Vec<_> = self.entries.iter().map(member).collect();
        let each = entries.iter();
        each.map(|entry| subset::choose(*entry, &entries, &agents, size))
            .collect()
    }
}

/// Returns one of five zones in two regions.
pub(crate) fn zone(index: usize) -> Place {
    Place {
        region: if index < 3 { "gauteng" } else { "cape" }.to_owned(),
        zone: format!("zone-{index}"),
    }
}

fn member(agent: &(String, Place)) -> Member<'_> {
    Member {
        name: &agent.0,
        place: &agent.1,
    }
}
