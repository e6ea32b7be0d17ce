//! Slots of engines that less urgent requests leave to more urgent ones, and the floors below which no priority and no
//! workspace falls.
//!
//! The load that this answers: three priorities that together ask for up to twice what the engines serve, at many entries
//! that each see only their own callers. A slot that becomes free at one entry may be needed by a more urgent request that
//! waits at another.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use pistachiolug_wire::datagram::Shortage;
use rustc_hash::FxHashMap;

use crate::server::hash_id;

/// Time for which a request that was short of a slot keeps slots reserved; about as long as a request holds its slot.
const SHORTAGE_WINDOW: Duration = Duration::from_secs(1);

/// Parts of the window that are counted apart and expire one by one.
const WINDOW_PARTS: usize = 10;

/// Slots of all engines that are left for each request that was short of one. Most such requests get the next slot that
/// their own entry frees; a whole slot for each would leave more slots idle.
const SLOTS_PER_SHORTAGE: f64 = 0.25;

/// Slots of an engine that are kept free for requests which other entries have sent since their last beacons. One
/// request too many queues inside the engine, where a more urgent one can't overtake it.
const UNKNOWN_SLOTS: u32 = 1;

/// The same while requests of several priorities are short of slots: more entries look for slots that others have left, and
/// find the same ones.
const CONTESTED_UNKNOWN_SLOTS: u32 = 2;

/// The same for requests that leave slots to more urgent ones, and should rather wait than collide with them.
const LESS_URGENT_UNKNOWN_SLOTS: u32 = 3;

/// Time for which an entry may use a slot that it has freed and left to its more urgent requests. Other entries leave the
/// last slots of an engine free as unknown, so few of them take it; it covers the time until the next such request.
pub const KEPT_TIME: Duration = Duration::from_millis(400);

/// Divisor of an engine's slots that gives the most slots left to more urgent requests. Most of the engine must go on
/// working while beacons with the shortage are on their way.
const MAX_LEFT_DIVISOR: f64 = 4.0;

/// Share of the service of all requests that each priority and each workspace gets before reserved slots are used by
/// others. Twice the share that callers are promised, since an entry sees only its own callers.
const FLOOR: f64 = 0.5;

/// Requests by which a priority or workspace has to be behind its floor; fewer are chance.
const MIN_ARREARS: f64 = 1.0;

/// First attempts per second and engine below which an entry has few callers. It rarely frees a slot and depends on those
/// that others leave, so that it also uses slots that entries with more callers keep for unknown requests.
const FEW_PER_ENGINE: f64 = 0.5;

/// Bounds of the arrears in requests. A group that was served well for long falls below its floor after a few refusals
/// all the same, and one that was starved for long does not take all slots afterwards.
const ARREARS_RANGE: (f64, f64) = (-3.0, 4.0);

/// Time constant of the counts of all requests.
const SERVICE_MEMORY: Duration = Duration::from_secs(5);

/// Time for which a request of a priority shows that its kind is still asked for.
const KIND_MEMORY: Duration = Duration::from_secs(10);

/// Number of workspaces whose arrears are kept; configurations name far fewer.
const MAX_WORKSPACES: usize = 4096;

/// Request that competes for slots.
#[derive(Debug, Clone, Copy)]
pub struct Claim<'a> {
    /// Priority; 0 is served first.
    pub priority: u8,
    /// Whether it is a caller's retry, which is served after the first attempts of all priorities.
    pub is_late: bool,
    /// Workspace of the caller; `None` on routes without keys.
    pub workspace: Option<&'a str>,
}

/// Requests by priority that were short of slots within the last second.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Unmet(BTreeMap<u8, u32>);

impl Unmet {
    /// Adds requests of a priority.
    pub fn add(&mut self, priority: u8, count: u32) {
        let sum = self.0.entry(priority).or_default();
        *sum = sum.saturating_add(count);
    }

    /// Adds the requests that another count holds.
    pub fn merge(&mut self, other: &Self) {
        for (priority, count) in other.iter() {
            self.add(priority, count);
        }
    }

    /// Returns the priorities with the number of their requests, most urgent first.
    pub fn iter(&self) -> impl Iterator<Item = (u8, u32)> {
        self.0.iter().map(|(priority, count)| (*priority, *count))
    }

    /// Returns the number of requests that are more urgent than one with this claim. A retry is less urgent than all
    /// first attempts of other priorities; among requests of one priority nothing is reserved.
    fn more_urgent(&self, claim: &Claim<'_>) -> u32 {
        let others = self.iter().filter(|(priority, _)| {
            *priority < claim.priority || (claim.is_late && *priority != claim.priority)
        });
        others.fold(0, |sum, (_, count)| sum.saturating_add(count))
    }

    /// Returns the number of requests of all priorities.
    fn total(&self) -> u32 {
        let counts = self.0.values();
        counts.fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Returns whether requests of other priorities than this one are among them.
    fn has_others(&self, priority: u8) -> bool {
        self.0.keys().any(|other| *other != priority)
    }

    /// Returns the slots that a request leaves to others.
    ///
    /// # Arguments
    /// `engines` is the number of engines, `slots` that of the slots of each.
    pub fn reserve(&self, claim: &Claim<'_>, engines: usize, slots: u32) -> Reserve {
        let left = f64::from(self.more_urgent(claim)) * SLOTS_PER_SHORTAGE;
        let max_left = f64::from(slots) / MAX_LEFT_DIVISOR;
        Reserve {
            slots_left: (left / engines.max(1) as f64).min(max_left),
            is_contested: self.has_others(claim.priority) && self.total() >= engines as u32,
        }
    }
}

/// Slots of engines that a request leaves to others; by default only those kept for unknown requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Reserve {
    /// Mean number of slots of each engine that are left to more urgent requests; not negative.
    pub slots_left: f64,
    /// Whether requests of another priority are short of slots, so that many entries look for the slots that are left.
    pub is_contested: bool,
}

impl Reserve {
    /// Returns the slots of one engine that have to be free beside the one that the request takes. All entries leave the
    /// slots of the same engines, by the hash of the engine's id.
    ///
    /// # Arguments
    /// `is_freed` is whether this entry has freed a slot there that no request has taken; other entries do not know of it.
    pub fn at_engine(&self, engine: u32, is_freed: bool) -> u32 {
        // The fraction of the mean is the share of engines with one slot more.
        let point = f64::from(engine) / (f64::from(u32::MAX) + 1.0);
        let left = (self.slots_left + point) as u32;
        let unknown = match (is_freed, self.is_contested, left) {
            (true, _, _) => 0,
            (false, false, _) => UNKNOWN_SLOTS,
            (false, true, 0) => CONTESTED_UNKNOWN_SLOTS,
            (false, true, _) => LESS_URGENT_UNKNOWN_SLOTS,
        };
        left + unknown
    }
}

/// Counts of one service's requests at one entry; times are those of the process's clock.
#[derive(Debug, Default)]
pub struct Ledger {
    /// First attempts that were short of slots, by priority.
    shortages: BTreeMap<u8, Window>,
    /// Latest first attempt by priority.
    asked_at: BTreeMap<u8, Duration>,
    /// First attempts, and requests that got a slot.
    asked: Decaying,
    served: Decaying,
    /// Slots that each group lacks for its floor, within [`ARREARS_RANGE`].
    priority_arrears: BTreeMap<u8, f64>,
    workspace_arrears: FxHashMap<Arc<str>, f64>,
}

impl Ledger {
    /// Counts a request that has arrived.
    pub fn record_request(&mut self, claim: &Claim<'_>, now: Duration) {
        // The first attempt of a retry has been counted.
        if claim.is_late {
            return;
        }
        self.asked_at.insert(claim.priority, now);
        self.asked.add(now);
        let share = self.served.at(now) / self.asked.at(now).max(1.0);
        self.adjust(claim, FLOOR * share.min(1.0));
    }

    /// Counts a request that got its first slot.
    pub fn record_slot(&mut self, claim: &Claim<'_>, now: Duration) {
        self.served.add(now);
        self.adjust(claim, -1.0);
    }

    fn adjust(&mut self, claim: &Claim<'_>, change: f64) {
        let (min, max) = ARREARS_RANGE;
        let arrears = self.priority_arrears.entry(claim.priority).or_default();
        *arrears = (*arrears + change).clamp(min, max);
        let Some(workspace) = claim.workspace else {
            return;
        };
        if let Some(arrears) = self.workspace_arrears.get_mut(workspace) {
            *arrears = (*arrears + change).clamp(min, max);
        } else if self.workspace_arrears.len() < MAX_WORKSPACES {
            self.workspace_arrears.insert(Arc::from(workspace), change);
        }
    }

    /// Returns whether the request's priority or workspace is below its floor, so that it may use reserved slots and is
    /// served before the others. Retries never are, and nothing is while all requests have one priority.
    ///
    /// # Arguments
    /// `peers` are the requests of other entries that are short of slots.
    pub fn is_below_floor(&self, claim: &Claim<'_>, peers: Option<&Unmet>, now: Duration) -> bool {
        let priority = self.priority_arrears.get(&claim.priority);
        let workspace = claim.workspace;
        let workspace = workspace.and_then(|workspace| self.workspace_arrears.get(workspace));
        let mut arrears = priority.into_iter().chain(workspace);
        !claim.is_late
            && arrears.any(|arrears| *arrears >= MIN_ARREARS)
            && self.has_others(claim.priority, peers, now)
    }

    /// Returns whether requests of other priorities are asked for here or are short of slots elsewhere.
    fn has_others(&self, priority: u8, peers: Option<&Unmet>, now: Duration) -> bool {
        let mut asked = self.asked_at.iter();
        asked.any(|(other, asked_at)| *other != priority && now < *asked_at + KIND_MEMORY)
            || peers.is_some_and(|peers| peers.has_others(priority))
    }

    /// Counts a request that found no slot.
    pub fn record_shortage(&mut self, claim: &Claim<'_>, now: Duration) {
        // Retries get what first attempts leave, so nothing is reserved for them.
        if !claim.is_late {
            let window = self.shortages.entry(claim.priority).or_default();
            window.add(now);
        }
    }

    /// Returns the requests that were short of slots within the last second.
    pub fn unmet(&self, now: Duration) -> Unmet {
        let counts = self.shortages.iter();
        let counts = counts.map(|(priority, window)| (*priority, window.count(now)));
        Unmet(counts.filter(|(_, count)| *count > 0).collect())
    }

    /// Returns the shortages to tell other entries: those of the most urgent priority.
    pub fn shortage(&self, service: &str, now: Duration) -> Option<Shortage> {
        let (priority, count) = self.unmet(now).iter().next()?;
        Some(Shortage {
            service: hash_id(service),
            priority,
            count: count.try_into().unwrap_or(u16::MAX),
        })
    }

    /// Returns the slots that a request leaves to others; below its floor none to more urgent ones.
    ///
    /// # Arguments
    /// `peers` are the requests of other entries that are short of slots; `engines` is the number of engines, `slots` that
    /// of the slots of each.
    pub fn reserve(
        &self,
        claim: &Claim<'_>,
        peers: Option<&Unmet>,
        engines: usize,
        slots: u32,
        now: Duration,
    ) -> Reserve {
        let mut unmet = self.unmet(now);
        if let Some(peers) = peers {
            unmet.merge(peers);
        }
        let mut reserve = unmet.reserve(claim, engines, slots);
        if self.is_below_floor(claim, peers, now) {
            reserve.slots_left = 0.0;
        }
        let per_second = self.asked.at(now) / SERVICE_MEMORY.as_secs_f64();
        reserve.is_contested &= per_second >= engines as f64 * FEW_PER_ENGINE;
        reserve
    }

    /// Returns whether less urgent requests are asked for beside those of a priority.
    pub fn has_less_urgent(&self, priority: u8, now: Duration) -> bool {
        let less_urgent = self.asked_at.iter().rev();
        let mut less_urgent = less_urgent.take_while(|(other, _)| **other > priority);
        less_urgent.any(|(_, asked_at)| now < *asked_at + KIND_MEMORY)
    }

    /// Returns the priorities that were asked for.
    pub fn priorities(&self) -> impl Iterator<Item = u8> {
        self.asked_at.keys().copied()
    }
}

/// Count of the events within [`SHORTAGE_WINDOW`].
#[derive(Debug, Default)]
struct Window {
    parts: [u32; WINDOW_PARTS],
    /// Number of the newest part since the start of the clock.
    newest: u64,
}

impl Window {
    fn part(now: Duration) -> u64 {
        let part = SHORTAGE_WINDOW / WINDOW_PARTS as u32;
        (now.as_micros() / part.as_micros()) as u64
    }

    fn add(&mut self, now: Duration) {
        let newest = Self::part(now);
        for part in (self.newest + 1..=newest).rev().take(WINDOW_PARTS) {
            self.parts[part as usize % WINDOW_PARTS] = 0;
        }
        self.newest = newest.max(self.newest);
        self.parts[self.newest as usize % WINDOW_PARTS] += 1;
    }

    fn count(&self, now: Duration) -> u32 {
        let oldest = (Self::part(now) + 1).saturating_sub(WINDOW_PARTS as u64);
        let first = (self.newest + 1).saturating_sub(WINDOW_PARTS as u64);
        let parts = oldest.max(first)..=self.newest;
        parts
            .map(|part| self.parts[part as usize % WINDOW_PARTS])
            .sum()
    }
}

/// Count whose older events weigh less, with the time constant [`SERVICE_MEMORY`].
#[derive(Debug, Default)]
struct Decaying {
    count: f64,
    updated_at: Duration,
}

impl Decaying {
    fn at(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        self.count * (-age.as_secs_f64() / SERVICE_MEMORY.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Duration) {
        self.count = self.at(now) + 1.0;
        self.updated_at = now.max(self.updated_at);
    }
}
