//! Other entries, as known from their rows and beacons.

use std::{net::SocketAddr, time::Duration};

use pistachiolug_weights::order::Key;
use pistachiolug_wire::{
    datagram::{Beacon, Shortage, Work},
    position::Position,
};
use rustc_hash::FxHashMap;

use crate::{outage, pace, reservation::Unmet};

/// Age of a beacon from which the load in it is ignored; several beacons were missed by then.
const MAX_LOAD_AGE: Duration = Duration::from_millis(400);

/// Age of a beacon from which a peer that follows the key-value service for others is replaced.
const MAX_FOLLOWER_AGE: Duration = Duration::from_millis(600);

/// Age of a beacon from which a peer counts as gone: no rows are read from it, and others do its part.
const MAX_PEER_AGE: Duration = Duration::from_secs(2);

/// Age of a beacon from which a peer is replaced as the coordinator of a limited server; five beacons to other regions.
const MAX_COORDINATOR_AGE: Duration = Duration::from_millis(600);

/// Age of a beacon up to which a peer counts as a member that may be alive behind a cut.
const MAX_MEMBER_AGE: Duration = Duration::from_secs(30);

/// Time for which an entry whose row is gone counts as registered. The row of an entry that is cut off from the key-value service
/// expires, while the entry still uses its share of the servers' rates.
const REGISTRATION_TIME: Duration = Duration::from_secs(60);

/// Largest number of entries whose rows are gone that are remembered.
const MAX_REMOVED: usize = 1024;

/// Rounds per beacon to entries of other regions; entries of the own region get one each round. Links between regions
/// have little bandwidth, and few requests cross them.
const ROUNDS_PER_FAR_BEACON: u32 = 4;

/// Entries of each region that follow the key-value service; a second one covers for the loss of the first.
const FOLLOWERS_PER_REGION: usize = 2;

/// Other entries; times are those of the process's clock.
#[derive(Debug)]
pub struct Peers {
    /// Name of this entry.
    name: String,
    /// Region of this entry.
    region: String,
    by_name: FxHashMap<String, Peer>,
    /// Entries whose rows are gone, and until when they count as registered; at most [`MAX_REMOVED`].
    removed: FxHashMap<String, Duration>,
}

/// Entry that allocates the rate of a limited server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Coordinator {
    /// Its internal address; `None` if it is this entry.
    pub address: Option<SocketAddr>,
    /// Number of entries that this one hears from, with itself.
    pub heard: usize,
    /// Number of entries that this one has heard from lately, with itself.
    pub members: usize,
}

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    /// Arrival of its last beacon; `None` before the first one.
    last_beacon_at: Option<Duration>,
    /// Region; empty before the first beacon.
    region: String,
    /// Whether the key-value service answers the peer.
    is_store_reachable: bool,
    /// Position of its rows.
    position: Position,
    /// Its open requests by hashed server id.
    work: Vec<(u32, Work)>,
    /// Its services that are short of slots.
    shortages: Vec<Shortage>,
    /// Paces of slow servers by hashed server id, in the unit of beacons.
    paces: Vec<(u32, u8)>,
}

impl Peer {
    fn is_heard_within(&self, age: Duration, now: Duration) -> bool {
        self.last_beacon_at
            .is_some_and(|last_beacon_at| now < last_beacon_at + age)
    }
}

impl Peers {
    /// Creates an empty record for the entry `name` of a region.
    pub fn new(name: &str, region: &str) -> Self {
        Self {
            name: name.to_owned(),
            region: region.to_owned(),
            by_name: FxHashMap::default(),
            removed: FxHashMap::default(),
        }
    }

    /// Returns the region of this entry.
    pub fn region(&self) -> &str {
        &self.region
    }

    /// Returns the number of known entries, including this one.
    pub fn count(&self) -> usize {
        self.by_name.len() + 1
    }

    /// Returns the number of registered entries, including this one and those whose rows went lately.
    pub fn count_registered(&self, now: Duration) -> usize {
        let removed = self.removed.iter();
        let removed = removed
            .filter(|(name, until)| now < **until && !self.by_name.contains_key(name.as_str()));
        self.count() + removed.count()
    }

    /// Returns the internal addresses of the other entries.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.by_name.values().map(|peer| peer.address)
    }

    /// Returns the internal addresses to which the beacon of a round is sent. An entry whose region is not known yet
    /// counts as near.
    pub fn beacon_targets(&self, round: u32) -> impl Iterator<Item = SocketAddr> {
        let reaches_all = round.is_multiple_of(ROUNDS_PER_FAR_BEACON);
        let peers = self.by_name.values();
        let is_near = move |peer: &&Peer| peer.region.is_empty() || peer.region == self.region;
        peers
            .filter(move |peer| reaches_all || is_near(peer))
            .map(|peer| peer.address)
    }

    /// Adds another entry or updates its address; ignores this entry itself.
    pub fn add(&mut self, name: &str, address: SocketAddr) {
        if name == self.name {
            return;
        }
        let peer = self.by_name.entry(name.to_owned()).or_insert_with(|| {
            log::info!(peer = name, address:%; "new entry discovered");
            Peer {
                address,
                last_beacon_at: None,
                region: String::new(),
                is_store_reachable: false,
                position: Position::default(),
                work: Vec::new(),
                shortages: Vec::new(),
                paces: Vec::new(),
            }
        });
        peer.address = address;
    }

    /// Removes an entry whose row is gone.
    pub fn remove(&mut self, name: &str, now: Duration) {
        if self.by_name.remove(name).is_none() {
            return;
        }
        self.removed.retain(|_, until| now < *until);
        if self.removed.len() < MAX_REMOVED {
            self.removed
                .insert(name.to_owned(), now + REGISTRATION_TIME);
        }
    }

    /// Records another entry's beacon.
    pub fn record_beacon(&mut self, beacon: Beacon, now: Duration) {
        self.add(&beacon.name, beacon.address);
        if let Some(peer) = self.by_name.get_mut(&beacon.name) {
            peer.last_beacon_at = Some(now);
            peer.region = beacon.region;
            peer.is_store_reachable = beacon.in_touch;
            peer.position = beacon.position;
            peer.work = beacon.work;
            peer.shortages = beacon.shortages;
            peer.paces = beacon.paces;
        }
    }

    /// Returns the sum of the other entries' open requests by hashed server id, without outdated beacons.
    pub fn work(&self, now: Duration) -> FxHashMap<u32, Work> {
        let mut work: FxHashMap<u32, Work> = FxHashMap::default();
        let peers = self.by_name.values();
        for peer in peers.filter(|peer| peer.is_heard_within(MAX_LOAD_AGE, now)) {
            for (server, open) in &peer.work {
                let sum = work.entry(*server).or_default();
                sum.calls = sum.calls.saturating_add(open.calls);
                sum.prompt = sum.prompt.saturating_add(open.prompt);
            }
        }
        work
    }

    /// Returns the sum of the other entries' requests that are short of slots by hashed service, without outdated beacons.
    pub fn shortages(&self, now: Duration) -> FxHashMap<u32, Unmet> {
        let mut sums: FxHashMap<u32, Unmet> = FxHashMap::default();
        let peers = self.by_name.values();
        let heard = peers.filter(|peer| peer.is_heard_within(MAX_LOAD_AGE, now));
        for shortage in heard.flat_map(|peer| &peer.shortages) {
            let unmet = sums.entry(shortage.service).or_default();
            unmet.add(shortage.priority, shortage.count.into());
        }
        sums
    }

    /// Returns the largest pace that another entry reports, by hashed server id, decayed by the age of its beacon.
    pub fn paces(&self, now: Duration) -> FxHashMap<u32, f64> {
        let mut paces: FxHashMap<u32, f64> = FxHashMap::default();
        for peer in self.by_name.values() {
            let Some(last_beacon_at) = peer.last_beacon_at else {
                continue;
            };
            let age = now.saturating_sub(last_beacon_at);
            if age >= MAX_LOAD_AGE {
                continue;
            }
            for (server, units) in &peer.paces {
                let pace = pace::decay(pace::decode(*units), age);
                let largest = paces.entry(*server).or_insert(pace);
                *largest = largest.max(pace);
            }
        }
        paces
    }

    /// Returns the address of a live entry with rows later than `position`, preferably of the own region; `None` if
    /// there is none.
    pub fn newer_peer(&self, position: Position, now: Duration) -> Option<SocketAddr> {
        let peers = self.by_name.values();
        let newer = peers
            .filter(|peer| peer.is_heard_within(MAX_PEER_AGE, now) && peer.position > position);
        let best = newer.max_by_key(|peer| (peer.region == self.region, peer.position));
        best.map(|peer| peer.address)
    }

    /// Returns whether this entry is the one of all live entries that handles an object. All entries compute the same
    /// order. An entry that hears none of the others may be cut off from them, so it handles nothing.
    pub fn is_first_for(&self, object: Key, now: Duration) -> bool {
        let own = Key::of(&self.name).score(object);
        let peers = self.by_name.iter();
        let mut alive = peers
            .filter(|(_, peer)| peer.is_heard_within(MAX_PEER_AGE, now))
            .peekable();
        let is_alone = !self.by_name.is_empty() && alive.peek().is_none();
        !is_alone && alive.all(|(name, _)| Key::of(name).score(object) < own)
    }

    /// Returns what this entry and the others that it hears see of the key-value service.
    ///
    /// # Arguments
    /// `fails` is whether this entry's own calls fail.
    pub fn service_view(&self, fails: bool, now: Duration) -> outage::View {
        let heard = self.by_name.values();
        let heard = heard.filter(|peer| peer.is_heard_within(MAX_FOLLOWER_AGE, now));
        let reaching = heard.clone().filter(|peer| peer.is_store_reachable);
        let members = self.by_name.values();
        let members = members.filter(|peer| peer.is_heard_within(MAX_MEMBER_AGE, now));
        outage::View {
            fails,
            heard: heard.count(),
            reaching: reaching.count(),
            members: members.count(),
        }
    }

    /// Returns the coordinator of a limited server: the first in an order that all entries compute.
    pub fn coordinator(&self, server: u64, now: Duration) -> Coordinator {
        let object = Key::of(&format!("{server:016x}"));
        let own = Key::of(&self.name).score(object);
        let is_heard = |peer: &Peer| peer.is_heard_within(MAX_COORDINATOR_AGE, now);
        let heard = self.by_name.iter().filter(|(_, peer)| is_heard(peer));
        let scored = heard.map(|(name, peer)| (Key::of(name).score(object), peer.address));
        let first = scored.max_by_key(|(score, _)| *score);
        let first = first.filter(|(score, _)| *score > own);
        let count = |age| {
            let peers = self.by_name.values();
            peers.filter(|peer| peer.is_heard_within(age, now)).count() + 1
        };
        Coordinator {
            address: first.map(|(_, address)| address),
            heard: count(MAX_COORDINATOR_AGE),
            members: count(MAX_MEMBER_AGE),
        }
    }

    /// Returns whether this entry follows the key-value service itself.
    ///
    /// Only a few entries of each region do; the others read the rows from them, so that calls and bytes between
    /// regions do not grow with the number of entries. All entries compute the same order from the names of those that
    /// are alive and reach the service.
    pub fn is_follower(&self, now: Duration) -> bool {
        let own = Key::of(&self.name);
        let preferred = self.by_name.iter().filter(|(name, peer)| {
            peer.is_store_reachable
                && peer.region == self.region
                && peer.is_heard_within(MAX_FOLLOWER_AGE, now)
                && Key::of(name) > own
        });
        preferred.count() < FOLLOWERS_PER_REGION
    }
}
