//! Bounded subset of a service's agents to which one entry sends calls.
//!
//! Rendezvous hashing of entry and agent (Thaler and Ravishankar, 1998) keeps churn small: few subsets change when an
//! agent leaves. The number of subsets that an agent is in has a cap, as in consistent hashing with bounded loads
//! (Mirrokni, Thorup and Zadimoghaddam, 2018), so that agents are spread evenly over the subsets. Every entry computes
//! the same assignment from the instance list. While the lists of entries differ, the spread is a little less even,
//! without any other effect.

use std::cmp::Reverse;

use pistachiolug_wire::instance::Place;
use rustc_hash::FxHashMap;

/// Usual number of agents in a subset.
pub const SIZE: usize = 24;

/// Quarters of a subset that come from the entry's availability zone.
const LOCAL_ZONE_QUARTERS: usize = 3;

/// Entry or agent that takes part in an assignment.
#[derive(Debug, Clone, Copy)]
pub struct Member<'a> {
    /// Unique name of the instance.
    pub name: &'a str,
    /// Availability zone and region of the instance.
    pub place: &'a Place,
}

/// Chooses at most `size` of `agents` for an entry and returns their indices.
///
/// Three quarters come from the entry's availability zone and the rest evenly from the other zones of its region. If
/// the zone or the other zones have too few agents, the rest comes from the respective other part of the region. Agents
/// of other regions are chosen only if the entry's region has fewer than `size` agents.
///
/// # Arguments
/// `entries` are all entries of the deployment; `entry` need not be one of them.
pub fn choose(
    entry: Member<'_>,
    entries: &[Member<'_>],
    agents: &[Member<'_>],
    size: usize,
) -> Vec<usize> {
    let zones = Zones::new(agents);
    let region_zones = zones.others(entry.place, true);
    let remote_zones = zones.others(entry.place, false);
    let region_count: usize = region_zones.iter().map(|zone| zone.agents.len()).sum();
    let local_quota = (size * LOCAL_ZONE_QUARTERS / 4).max(size.saturating_sub(region_count));
    let mut chosen = Vec::with_capacity(size);
    if let Some(local_zone) = zones.find(entry.place) {
        chosen.extend(assign(
            entry,
            &peers(entries, |place| place == entry.place),
            local_zone,
            local_quota,
        ));
    }
    take_evenly(&mut chosen, entry, entries, &region_zones, size);
    if let Some(local_zone) = zones.find(entry.place) {
        let all = assign(entry, &[], local_zone, local_zone.agents.len());
        let spare: Vec<usize> = all
            .into_iter()
            .filter(|agent| !chosen.contains(agent))
            .collect();
        chosen.extend(spare.into_iter().take(size.saturating_sub(chosen.len())));
    }
    take_evenly(&mut chosen, entry, entries, &remote_zones, size);
    chosen.truncate(size);
    chosen
}

/// Returns the rendezvous weight of a pair of hashes; the argument order matters.
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
    /// Index in the list of agents, and hash of the name.
    agents: Vec<(usize, u64)>,
}

/// Availability zones that have agents, sorted by place.
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

    fn find(&self, place: &Place) -> Option<&Zone<'a>> {
        self.0.iter().find(|zone| zone.place == place)
    }

    /// Returns the zones other than `local`: those of the same region, or those of all other regions.
    fn others(&self, local: &Place, same_region: bool) -> Vec<&Zone<'a>> {
        let zones = self.0.iter().filter(|zone| zone.place != local);
        zones
            .filter(|zone| (zone.place.region == local.region) == same_region)
            .collect()
    }
}

/// Fills `chosen` up to `size` with about the same number of agents from each zone.
fn take_evenly(
    chosen: &mut Vec<usize>,
    entry: Member<'_>,
    entries: &[Member<'_>],
    zones: &[&Zone<'_>],
    size: usize,
) {
    let missing = size.saturating_sub(chosen.len());
    if missing == 0 || zones.is_empty() {
        return;
    }
    let quota = missing.div_ceil(zones.len());
    let mut ranked_agents: Vec<_> = zones
        .iter()
        .map(|zone| {
            let same_region = entry.place.region == zone.place.region;
            let peers = peers(entries, |place| {
                place != zone.place && (place.region == zone.place.region) == same_region
            });
            // Each zone lists up to `missing` agents, because the others have to fill in for a zone with too few
            // agents.
            let first = assign(entry, &peers, zone, quota);
            let rest = assign(entry, &[], zone, missing);
            let rest: Vec<usize> = rest
                .into_iter()
                .filter(|agent| !first.contains(agent))
                .collect();
            first.into_iter().chain(rest)
        })
        .collect();
    while chosen.len() < size {
        let before = chosen.len();
        let round = ranked_agents.iter_mut().filter_map(Iterator::next);
        chosen.extend(round.take(size - before));
        if chosen.len() == before {
            return;
        }
    }
}

/// Returns the hashes of the names of the entries whose place matches.
fn peers(entries: &[Member<'_>], matches_place: impl Fn(&Place) -> bool) -> Vec<u64> {
    let peers = entries.iter().filter(|peer| matches_place(peer.place));
    peers.map(|peer| hash(peer.name.as_bytes())).collect()
}

/// Returns the agents of a zone that are assigned to an entry when it and each peer get `quota` agents.
///
/// The entry and its peers pick in the order of their hashes, and agents that have reached the cap are picked last.
/// With no peers, the result is the entry's `quota` agents of greatest weight.
fn assign(entry: Member<'_>, peers: &[u64], zone: &Zone<'_>, quota: usize) -> Vec<usize> {
    let own_hash = hash(entry.name.as_bytes());
    let mut entry_hashes = peers.to_vec();
    entry_hashes.push(own_hash);
    entry_hashes.sort_unstable();
    entry_hashes.dedup();
    let quota = quota.min(zone.agents.len());
    let cap = (entry_hashes.len() * quota).div_ceil(zone.agents.len().max(1));
    let mut pick_counts: FxHashMap<usize, usize> = FxHashMap::default();
    for entry_hash in entry_hashes {
        let picks = pick(entry_hash, zone, quota, cap, &pick_counts);
        if entry_hash == own_hash {
            return picks;
        }
        for agent in picks {
            *pick_counts.entry(agent).or_default() += 1;
        }
    }
    Vec::new()
}

/// Returns the `quota` agents of greatest weight for an entry, those under the cap first.
fn pick(
    entry_hash: u64,
    zone: &Zone<'_>,
    quota: usize,
    cap: usize,
    pick_counts: &FxHashMap<usize, usize>,
) -> Vec<usize> {
    let agents = zone.agents.iter();
    let mut ranked: Vec<_> = agents
        .map(|(index, name_hash)| {
            let is_capped = pick_counts.get(index).is_some_and(|count| *count >= cap);
            (is_capped, Reverse(weight(entry_hash, *name_hash)), *index)
        })
        .collect();
    if quota < ranked.len() {
        ranked.select_nth_unstable(quota);
        ranked.truncate(quota);
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, _, index)| index).collect()
}
