//! Choices of the spread: who watches, whom to ask and to push to, when to read by oneself. Pure.
//!
//! The places of an availability zone are ranked by rendezvous hash, so that a change of the instance list moves few
//! ranks. The first ranks watch the service, the next relay: they ask the watchers, and all others ask the relays. With
//! as many relays as the square root of the places, no place answers more than a few questions a second.

use std::{cmp::Reverse, time::Duration};

use pistachiolug_platform::directory::Snapshot;
use pistachiolug_wire::instance::{Instance, Place, State};
use rand::{Rng, RngExt, seq::IndexedRandom};

/// Watchers per availability zone.
pub const WATCHERS_PER_ZONE: usize = 2;

/// Peers to which a place pushes a change by rank, as in a heap.
pub const PUSH_FANOUT: usize = 3;

/// Chance that a place asks any peer of the deployment instead of one of the ranks before it.
const ANY_PEER_PROBABILITY: f64 = 0.05;

/// Mean time between two questions of a relay.
const RELAY_PULL_INTERVAL: Duration = Duration::from_millis(750);

/// Mean time between two questions of the other places.
const LEAF_PULL_INTERVAL: Duration = Duration::from_millis(1_500);

/// Age of the content at which the first rank after the watchers reads by itself.
pub const MAX_AGE: Duration = Duration::from_millis(4_500);

/// Time by which each further rank reads later.
const MAX_AGE_STEP: Duration = Duration::from_millis(250);

/// Largest number of such steps.
const MAX_AGE_STEPS: u32 = 20;

/// Time over which the readings of one rank are spread.
const MAX_AGE_JITTER: Duration = Duration::from_millis(250);

/// Longest time over which places spread their readings while the service does not answer.
const OUTAGE_JITTER: Duration = Duration::from_secs(60);

/// Ranked places of one availability zone, as one of them sees it.
#[derive(Debug, Clone, Default)]
pub struct Topology {
    /// Live places of the zone in order of rank, without this one.
    others: Vec<Instance>,
    /// Live places of the deployment, without this one.
    all: Vec<Instance>,
    /// Rank of this place.
    rank: usize,
}

impl Topology {
    /// Ranks the places of a list.
    pub fn new(list: &Snapshot, name: &str, place: &Place) -> Self {
        let live = list.instances.iter();
        let live = live.filter(|it| it.state == State::Live && it.name != name);
        let all: Vec<Instance> = live.cloned().collect();
        let mut others: Vec<(u64, &Instance)> = all
            .iter()
            .filter(|it| it.place == *place)
            .map(|it| (weight(&it.name, place), it))
            .collect();
        others.sort_unstable_by_key(|(weight, _)| Reverse(*weight));
        let own = weight(name, place);
        let rank = others.iter().take_while(|(other, _)| *other > own).count();
        Self {
            rank,
            others: others.into_iter().map(|(_, it)| it.clone()).collect(),
            all,
        }
    }

    /// Tells whether this place watches.
    pub fn is_watcher(&self) -> bool {
        self.rank < WATCHERS_PER_ZONE
    }

    /// Returns the rank of this place.
    pub fn rank(&self) -> usize {
        self.rank
    }

    /// Returns the mean time between two questions of this place.
    pub fn pull_interval(&self) -> Duration {
        if self.rank < WATCHERS_PER_ZONE + self.relays() {
            RELAY_PULL_INTERVAL
        } else {
            LEAF_PULL_INTERVAL
        }
    }

    /// Chooses a peer to ask.
    pub fn pull_peer<R: Rng>(&self, rng: &mut R) -> Option<&Instance> {
        let ranks = match self.rank {
            rank if rank < WATCHERS_PER_ZONE + self.relays() => 0..WATCHERS_PER_ZONE,
            _ => WATCHERS_PER_ZONE..WATCHERS_PER_ZONE + self.relays(),
        };
        let near = self.others.get(ranks).unwrap_or(&self.others);
        if near.is_empty() || rng.random_bool(ANY_PEER_PROBABILITY) {
            return self.all.choose(rng);
        }
        near.choose(rng)
    }

    /// Chooses any peer of the zone, or of the deployment where the zone has none.
    pub fn any_peer<R: Rng>(&self, rng: &mut R) -> Option<&Instance> {
        self.others.choose(rng).or_else(|| self.all.choose(rng))
    }

    /// Chooses the peers to push a change to: the next ranks of a heap, and one at random for those that are cut off.
    pub fn push_peers<R: Rng>(&self, rng: &mut R) -> Vec<&Instance> {
        let first = self.rank * PUSH_FANOUT + 1;
        // Ranks after this place's own stand one earlier in the list of the others.
        let children = self.others.iter().skip(first - 1).take(PUSH_FANOUT);
        children.chain(self.others.choose(rng)).collect()
    }

    /// Returns the age of the content at which this place reads by itself.
    ///
    /// `share` is drawn from 0 to 1 per reading; `failures` counts the readings without an answer since the last one
    /// with, and spreads the places more and more, so that an outage is not met with a flood.
    pub fn max_age(&self, failures: u32, share: f64) -> Duration {
        let steps = self.rank.saturating_sub(WATCHERS_PER_ZONE) as u32;
        let rank = MAX_AGE_STEP * steps.min(MAX_AGE_STEPS);
        let jitter = if failures == 0 {
            MAX_AGE_JITTER
        } else {
            (MAX_AGE_JITTER * 4_u32.saturating_pow(failures)).min(OUTAGE_JITTER)
        };
        MAX_AGE + rank + jitter.mul_f64(share)
    }

    fn relays(&self) -> usize {
        (self.others.len() + 1).isqrt()
    }
}

fn weight(name: &str, place: &Place) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for part in [&place.region, &place.zone, name] {
        hasher.update(part.as_bytes());
        hasher.update(&[0]);
    }
    let mut weight = [0; 8];
    weight.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
    u64::from_le_bytes(weight)
}
