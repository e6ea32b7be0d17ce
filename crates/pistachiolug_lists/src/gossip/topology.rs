//! Gossip topology, without I/O: which instances watch, which peers to pull from and push to, and at which age of its
//! content an instance reads from the key-value service itself.
//!
//! The instances of an availability zone are ranked by rendezvous hash, so that a change of the instance list moves few
//! ranks. The first ranks are watchers, which read from the service. The next are relays, which pull from the watchers;
//! all others pull from the relays. As the number of relays is the square root of the number of instances, no instance
//! answers more than a few pulls per second.

use std::{cmp::Reverse, time::Duration};

use pistachiolug_platform::directory::Snapshot;
use pistachiolug_wire::instance::{Instance, Place, State};
use rand::{Rng, RngExt, seq::IndexedRandom};

/// Number of watchers per availability zone.
pub const WATCHERS_PER_ZONE: usize = 2;

/// Number of peers to which an instance pushes a change by rank; they are its children in a heap of this arity.
pub const PUSH_FANOUT: usize = 3;

/// Probability that an instance pulls from any peer of the deployment instead of a watcher or relay of its zone.
const ANY_PEER_PROBABILITY: f64 = 0.05;

/// Mean time between two pulls of a watcher or relay.
const RELAY_PULL_INTERVAL: Duration = Duration::from_millis(750);

/// Mean time between two pulls of any other instance.
const LEAF_PULL_INTERVAL: Duration = Duration::from_millis(1_500);

/// Age of the content at which the first rank after the watchers reads from the service itself.
pub const MAX_AGE: Duration = Duration::from_millis(4_500);

/// Additional age for each further rank, so that the instances do not all read at once.
const MAX_AGE_STEP: Duration = Duration::from_millis(250);

/// Maximum number of ranks that add [`MAX_AGE_STEP`].
const MAX_AGE_STEPS: u32 = 20;

/// Maximum random addition to the age, which spreads the reads of instances with the same rank.
const MAX_AGE_JITTER: Duration = Duration::from_millis(250);

/// Maximum random addition to the age while the service does not answer.
const MAX_OUTAGE_JITTER: Duration = Duration::from_secs(60);

/// Ranked instances of one availability zone from the point of view of one of them, called this instance below.
#[derive(Debug, Clone, Default)]
pub struct Topology {
    /// Live instances of the zone in order of rank, without this instance.
    zone_peers: Vec<Instance>,
    /// Live instances of the deployment, without this instance.
    all_peers: Vec<Instance>,
    /// Rank of this instance in its zone, from 0.
    rank: usize,
}

impl Topology {
    /// Ranks the instances of `snapshot` for the instance called `name` at `place`.
    pub fn new(snapshot: &Snapshot, name: &str, place: &Place) -> Self {
        let live = snapshot.instances.iter();
        let live = live.filter(|it| it.state == State::Live && it.name != name);
        let all_peers: Vec<Instance> = live.cloned().collect();
        let mut ranked: Vec<(u64, &Instance)> = all_peers
            .iter()
            .filter(|it| it.place == *place)
            .map(|it| (weight(&it.name, place), it))
            .collect();
        ranked.sort_unstable_by_key(|(weight, _)| Reverse(*weight));
        let own = weight(name, place);
        let rank = ranked.iter().take_while(|(other, _)| *other > own).count();
        Self {
            rank,
            zone_peers: ranked.into_iter().map(|(_, it)| it.clone()).collect(),
            all_peers,
        }
    }

    /// Returns whether this instance is a watcher, which reads from the key-value service.
    pub fn is_watcher(&self) -> bool {
        self.rank < WATCHERS_PER_ZONE
    }

    /// Returns the rank of this instance in its zone, from 0.
    pub fn rank(&self) -> usize {
        self.rank
    }

    /// Returns the mean time between two pulls of this instance.
    pub fn pull_interval(&self) -> Duration {
        if self.rank < WATCHERS_PER_ZONE + self.relay_count() {
            RELAY_PULL_INTERVAL
        } else {
            LEAF_PULL_INTERVAL
        }
    }

    /// Chooses a peer to pull from; `None` if there are no peers.
    pub fn pull_peer<R: Rng>(&self, rng: &mut R) -> Option<&Instance> {
        let ranks = match self.rank {
            rank if rank < WATCHERS_PER_ZONE + self.relay_count() => 0..WATCHERS_PER_ZONE,
            _ => WATCHERS_PER_ZONE..WATCHERS_PER_ZONE + self.relay_count(),
        };
        let sources = self.zone_peers.get(ranks).unwrap_or(&self.zone_peers);
        if sources.is_empty() || rng.random_bool(ANY_PEER_PROBABILITY) {
            return self.all_peers.choose(rng);
        }
        sources.choose(rng)
    }

    /// Chooses a random peer in the zone, or in the deployment if the zone has no other instance.
    pub fn any_peer<R: Rng>(&self, rng: &mut R) -> Option<&Instance> {
        self.zone_peers
            .choose(rng)
            .or_else(|| self.all_peers.choose(rng))
    }

    /// Chooses the peers to push a change to: the children of this rank in a heap, and one random peer, so that a peer
    /// whose parents are unreachable still gets pushes.
    pub fn push_peers<R: Rng>(&self, rng: &mut R) -> Vec<&Instance> {
        let first = self.rank * PUSH_FANOUT + 1;
        // `zone_peers` does not contain this instance, so later ranks are one position earlier than their rank.
        let children = self.zone_peers.iter().skip(first - 1).take(PUSH_FANOUT);
        children.chain(self.zone_peers.choose(rng)).collect()
    }

    /// Returns the age of the content at which this instance reads from the key-value service itself.
    ///
    /// `jitter` is a random number from 0 to 1, drawn once per read. `failures` is the number of reads that have failed
    /// since the last success; each multiplies the jitter by 4, so that an outage does not cause a flood of reads.
    pub fn max_age(&self, failures: u32, jitter: f64) -> Duration {
        let steps = self.rank.saturating_sub(WATCHERS_PER_ZONE) as u32;
        let rank_delay = MAX_AGE_STEP * steps.min(MAX_AGE_STEPS);
        let max_jitter = if failures == 0 {
            MAX_AGE_JITTER
        } else {
            (MAX_AGE_JITTER * 4_u32.saturating_pow(failures)).min(MAX_OUTAGE_JITTER)
        };
        MAX_AGE + rank_delay + max_jitter.mul_f64(jitter)
    }

    fn relay_count(&self) -> usize {
        (self.zone_peers.len() + 1).isqrt()
    }
}

/// Returns the rendezvous hash of an instance at a place; higher weights rank first.
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
