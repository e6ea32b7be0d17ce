//! Bounded subset of a service's agents that one entry works with.
//!
//! Rendezvous hashing of entry and agent (Thaler and Ravishankar, 1998): when an agent leaves, only the entries that
//! had it change, each by one agent.

use pistachiolug_wire::instance::Place;

/// Number of agents in a subset.
pub const SIZE: usize = 24;

/// Quarters of a subset that come from the entry's own availability zone.
const HOME_QUARTERS: usize = 3;

/// Agent that may be in a subset.
#[derive(Debug, Clone, Copy)]
pub struct Member<'a> {
    /// Unique name.
    pub name: &'a str,
    /// Place.
    pub place: &'a Place,
}

/// Chooses at most `size` of `members` for an entry and returns their indices.
///
/// Three quarters come from the entry's availability zone and the rest in turn from the region's other zones. Other
/// regions are taken only where the own region has fewer than `size` members. A place that lacks members is made up
/// for by the next.
pub fn choose(entry: &str, home: &Place, members: &[Member<'_>], size: usize) -> Vec<usize> {
    let mut ranked: Vec<Rank<'_>> = members
        .iter()
        .enumerate()
        .map(|(index, member)| Rank {
            index,
            place: member.place,
            weight: weight(entry.as_bytes(), member.name.as_bytes()),
        })
        .collect();
    ranked.sort_unstable_by_key(|rank| std::cmp::Reverse(rank.weight));
    let (own, rest): (Vec<_>, Vec<_>) = ranked.into_iter().partition(|rank| rank.place == home);
    let (near, far): (Vec<_>, Vec<_>) = rest
        .into_iter()
        .partition(|rank| rank.place.region == home.region);
    let near = in_turn(near);
    let wanted = size * HOME_QUARTERS / 4;
    let kept = own.len().min(wanted.max(size.saturating_sub(near.len())));
    let (first, spare) = own.split_at(kept);
    let chosen = first
        .iter()
        .chain(&near)
        .chain(spare)
        .map(|rank| rank.index);
    let far = in_turn(far);
    let chosen = chosen.chain(far.iter().map(|rank| rank.index));
    chosen.take(size).collect()
}

/// Returns the rendezvous weight of a pair.
pub fn weight(left: &[u8], right: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(left.len() as u64).to_le_bytes());
    hasher.update(left);
    hasher.update(right);
    let hash = hasher.finalize();
    let bytes = hash.as_bytes().first_chunk().copied().unwrap_or_default();
    u64::from_le_bytes(bytes)
}

#[derive(Debug, Clone, Copy)]
struct Rank<'a> {
    index: usize,
    place: &'a Place,
    weight: u64,
}

/// Orders ranked members so that their zones alternate; each zone keeps its own order.
fn in_turn(ranked: Vec<Rank<'_>>) -> Vec<Rank<'_>> {
    let mut seen: Vec<(&Place, usize)> = Vec::new();
    let mut rounds: Vec<(usize, Rank<'_>)> = Vec::with_capacity(ranked.len());
    for rank in ranked {
        let round = match seen.iter_mut().find(|(place, _)| *place == rank.place) {
            Some((_, count)) => {
                *count += 1;
                *count
            }
            None => {
                seen.push((rank.place, 0));
                0
            }
        };
        rounds.push((round, rank));
    }
    rounds.sort_by_key(|(round, _)| *round);
    rounds.into_iter().map(|(_, rank)| rank).collect()
}
