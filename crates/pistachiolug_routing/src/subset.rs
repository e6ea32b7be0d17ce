//! Bounded subset of a service's agents that one entry works with.
//!
//! Rendezvous hashing of entry and agent (Thaler and Ravishankar, 1998) keeps churn small: few subsets change when an
//! agent leaves. Each agent has a cap on the subsets it is in, as in consistent hashing with bounded loads (Mirrokni,
//! Thorup and Zadimoghaddam, 2018), so that subsets stay even. Every entry works out the same assignment from the
//! instance list; where lists differ for a while, subsets are a little less even and nothing else.

use std::cmp::Reverse;

use pistachiolug_wire::instance::Place;
use rustc_hash::FxHashMap;

/// Number of agents in a subset.
pub const SIZE: usize = 24;

/// Quarters of a subset that come from the entry's own availability zone.
const HOME_QUARTERS: usize = 3;

/// Instance that takes part in an assignment.
#[derive(Debug, Clone, Copy)]
pub struct Member<'a> {
    /// Unique name.
    pub name: &'a str,
    /// Place.
    pub place: &'a Place,
}

/// Chooses at most `size` of `agents` for an entry and returns their indices.
///
/// Three quarters come from the entry's availability zone and the rest evenly from the region's other zones. Other
/// regions are taken only where the own region has fewer than `size` agents. A place that lacks agents is made up for
/// by the next.
///
/// # Arguments
/// `entries` are all entries of the deployment; `entry` need not be among them.
pub fn choose(
    entry: Member<'_>,
    entries: &[Member<'_>],
    agents: &[Member<'_>],
    size: usize,
) -> Vec<usize> {
    let zones = Zones::new(agents);
    let near = zones.of_region(entry.place, true);
    let far = zones.of_region(entry.place, false);
    let near_count: usize = near.iter().map(|zone| zone.agents.len()).sum();
    let home_quota = (size * HOME_QUARTERS / 4).max(size.saturating_sub(near_count));
    let mut chosen = Vec::with_capacity(size);
    if let Some(home) = zones.at(entry.place) {
        chosen.extend(assign(
            entry,
            &peers(entries, |place| place == entry.place),
            home,
            home_quota,
        ));
    }
    take_evenly(&mut chosen, entry, entries, &near, size);
    if let Some(home) = zones.at(entry.place) {
        let all = assign(entry, &[], home, home.agents.len());
        let spare: Vec<usize> = all
            .into_iter()
            .filter(|agent| !chosen.contains(agent))
            .collect();
        chosen.extend(spare.into_iter().take(size.saturating_sub(chosen.len())));
    }
    take_evenly(&mut chosen, entry, entries, &far, size);
    chosen.truncate(size);
    chosen
}

/// Returns the rendezvous weight of a pair of hashes.
pub fn weight(left: u64, right: u64) -> u64 {
    // Finalizer of SplitMix64 (Steele, Lea and Flood, 2014).
    let mut mixed = left ^ right.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Hashes a name or content for [`weight`].
pub fn hash(content: &[u8]) -> u64 {
    let hash = blake3::hash(content);
    let bytes = hash.as_bytes().first_chunk().copied().unwrap_or_default();
    u64::from_le_bytes(bytes)
}

/// Agents of one availability zone.
#[derive(Debug)]
struct Zone<'a> {
    place: &'a Place,
    /// Index and name's hash.
    agents: Vec<(usize, u64)>,
}

#[derive(Debug)]
struct Zones<'a>(Vec<Zone<'a>>);

impl<'a> Zones<'a> {
    fn new(agents: &[Member<'a>]) -> Self {
        let mut zones: Vec<Zone<'a>> = Vec::new();
        for (index, agent) in agents.iter().enumerate() {
            let row = (index, hash(agent.name.as_bytes()));
            match zones.iter_mut().find(|zone| zone.place == agent.place) {
                Some(zone) => zone.agents.push(row),
                None => zones.push(Zone {
                    place: agent.place,
                    agents: vec![row],
                }),
            }
        }
        zones.sort_by_key(|zone| zone.place);
        Self(zones)
    }

    fn at(&self, place: &Place) -> Option<&Zone<'a>> {
        self.0.iter().find(|zone| zone.place == place)
    }

    /// Returns the other zones of `home`'s region, or the zones of all other regions.
    fn of_region(&self, home: &Place, same: bool) -> Vec<&Zone<'a>> {
        let zones = self.0.iter().filter(|zone| zone.place != home);
        zones
            .filter(|zone| (zone.place.region == home.region) == same)
            .collect()
    }
}

/// Fills `chosen` up to `size` with equal numbers from each zone.
fn take_evenly(
    chosen: &mut Vec<usize>,
    entry: Member<'_>,
    entries: &[Member<'_>],
    zones: &[&Zone<'_>],
    size: usize,
) {
    let wanted = size.saturating_sub(chosen.len());
    if wanted == 0 || zones.is_empty() {
        return;
    }
    let quota = wanted.div_ceil(zones.len());
    let mut lists: Vec<_> = zones
        .iter()
        .map(|zone| {
            let same_region = entry.place.region == zone.place.region;
            let peers = peers(entries, |place| {
                place != zone.place && (place.region == zone.place.region) == same_region
            });
            // A zone that lacks agents is made up for by the others, so each may give up to `wanted`.
            let first = assign(entry, &peers, zone, quota);
            let rest = assign(entry, &[], zone, wanted);
            let rest: Vec<usize> = rest
                .into_iter()
                .filter(|agent| !first.contains(agent))
                .collect();
            first.into_iter().chain(rest)
        })
        .collect();
    while chosen.len() < size {
        let before = chosen.len();
        let round = lists.iter_mut().filter_map(Iterator::next);
        chosen.extend(round.take(size - before));
        if chosen.len() == before {
            return;
        }
    }
}

fn peers(entries: &[Member<'_>], within: impl Fn(&Place) -> bool) -> Vec<u64> {
    let peers = entries.iter().filter(|peer| within(peer.place));
    peers.map(|peer| hash(peer.name.as_bytes())).collect()
}

/// Returns the agents of a zone that an entry gets when each peer takes `quota` and no agent is taken too often.
fn assign(entry: Member<'_>, peers: &[u64], zone: &Zone<'_>, quota: usize) -> Vec<usize> {
    let own = hash(entry.name.as_bytes());
    let mut order = peers.to_vec();
    order.push(own);
    order.sort_unstable();
    order.dedup();
    let quota = quota.min(zone.agents.len());
    let cap = (order.len() * quota).div_ceil(zone.agents.len().max(1));
    let mut taken: FxHashMap<usize, usize> = FxHashMap::default();
    for peer in order {
        let picks = pick(peer, zone, quota, cap, &taken);
        if peer == own {
            return picks;
        }
        for agent in picks {
            *taken.entry(agent).or_default() += 1;
        }
    }
    Vec::new()
}

/// Returns a peer's heaviest agents, those under the cap first.
fn pick(
    peer: u64,
    zone: &Zone<'_>,
    quota: usize,
    cap: usize,
    taken: &FxHashMap<usize, usize>,
) -> Vec<usize> {
    let agents = zone.agents.iter();
    let mut ranked: Vec<_> = agents
        .map(|(index, hash)| {
            let full = taken.get(index).is_some_and(|count| *count >= cap);
            (full, Reverse(weight(peer, *hash)), *index)
        })
        .collect();
    if quota < ranked.len() {
        ranked.select_nth_unstable(quota);
        ranked.truncate(quota);
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, index)| index).collect()
}
