//! Other entries, by their beacons.

use std::{net::SocketAddr, time::Duration};

use pistachiolug_weights::order::Key;
use pistachiolug_wire::datagram::{Beacon, Work};
use rustc_hash::FxHashMap;

/// Age at which a peer's load says nothing any more; several missed beacons.
const LOAD_AGE: Duration = Duration::from_millis(400);

/// Age at which a peer that follows the key-value service for others is replaced.
const FOLLOWER_AGE: Duration = Duration::from_millis(600);

/// Age at which a peer counts as gone.
const PEER_AGE: Duration = Duration::from_secs(2);

/// Beacons to entries of the own region for each one to an entry of another: links between regions are narrow, and few
/// requests cross them.
const NEAR_PER_FAR: u32 = 4;

/// Entries of a region that follow the key-value service: a second one covers what the first one misses.
const FOLLOWERS: usize = 2;

/// Other entries; times are those of the process's clock.
#[derive(Debug)]
pub struct Peers {
    /// Name of the own entry.
    name: String,
    /// Region of the own entry.
    region: String,
    known: FxHashMap<String, Peer>,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    heard: Option<Duration>,
    region: String,
    /// Whether the key-value service answers it.
    in_touch: bool,
    revision: u64,
    work: Vec<(u32, Work)>,
}

impl Peer {
    fn is_younger(&self, age: Duration, now: Duration) -> bool {
        self.heard.is_some_and(|heard| now < heard + age)
    }
}

impl Peers {
    /// Creates an empty record for the entry `name` of a region.
    pub fn new(name: &str, region: &str) -> Self {
        Self {
            name: name.to_owned(),
            region: region.to_owned(),
            known: FxHashMap::default(),
        }
    }

    /// Returns the region of the own entry.
    pub fn region(&self) -> &str {
        &self.region
    }

    /// Returns the number of known entries, the own one among them.
    pub fn count(&self) -> usize {
        self.known.len() + 1
    }

    /// Returns the internal addresses of the others.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.known.values().map(|peer| peer.address)
    }

    /// Returns the internal addresses to which the beacon of a round goes; an entry that was not heard yet counts as near.
    pub fn beacon_targets(&self, round: u32) -> impl Iterator<Item = SocketAddr> {
        let far = round.is_multiple_of(NEAR_PER_FAR);
        let peers = self.known.values();
        let near = move |peer: &&Peer| peer.region.is_empty() || peer.region == self.region;
        peers
            .filter(move |peer| far || near(peer))
            .map(|peer| peer.address)
    }

    /// Learns of another entry.
    pub fn add(&mut self, name: &str, address: SocketAddr) {
        if name == self.name {
            return;
        }
        let peer = self.known.entry(name.to_owned()).or_insert_with(|| {
            log::info!(peer = name, address:%; "entry seen");
            Peer {
                address,
                heard: None,
                region: String::new(),
                in_touch: false,
                revision: 0,
                work: Vec::new(),
            }
        });
        peer.address = address;
    }

    /// Forgets an entry whose row is gone.
    pub fn remove(&mut self, name: &str) {
        self.known.remove(name);
    }

    /// Takes another entry's beacon.
    pub fn record_beacon(&mut self, beacon: Beacon, now: Duration) {
        self.add(&beacon.name, beacon.address);
        if let Some(peer) = self.known.get_mut(&beacon.name) {
            peer.heard = Some(now);
            peer.region = beacon.region;
            peer.in_touch = beacon.in_touch;
            peer.revision = beacon.revision;
            peer.work = beacon.work;
        }
    }

    /// Adds up the others' work by short hash of the server's id.
    pub fn work(&self, now: Duration) -> FxHashMap<u32, Work> {
        let mut work: FxHashMap<u32, Work> = FxHashMap::default();
        let peers = self.known.values();
        for peer in peers.filter(|peer| peer.is_younger(LOAD_AGE, now)) {
            for (server, open) in &peer.work {
                let sum = work.entry(*server).or_default();
                sum.calls += open.calls;
                sum.prompt += open.prompt;
            }
        }
        work
    }

    /// Returns the address of a live entry whose rows are newer than `revision`, in the own region if there is one.
    pub fn newer_peer(&self, revision: u64, now: Duration) -> Option<SocketAddr> {
        let peers = self.known.values();
        let newer = peers.filter(|peer| peer.is_younger(PEER_AGE, now) && peer.revision > revision);
        let best = newer.max_by_key(|peer| (peer.region == self.region, peer.revision));
        best.map(|peer| peer.address)
    }

    /// Tells whether the own entry follows the key-value service itself.
    ///
    /// A few entries of each region do, in an order that all compute alike from who is alive and in touch with the
    /// service; the others read the rows from them. So calls and bytes between regions do not grow with the entries.
    pub fn is_follower(&self, now: Duration) -> bool {
        let own = Key::of(&self.name);
        let before = self.known.iter().filter(|(name, peer)| {
            peer.in_touch
                && peer.region == self.region
                && peer.is_younger(FOLLOWER_AGE, now)
                && Key::of(name) > own
        });
        before.count() < FOLLOWERS
    }
}
