//! Selection of the backend server for one request.

use std::sync::Arc;

use rand::{Rng, RngExt, seq::IndexedRandom};
use rustc_hash::FxHashMap;

/// Cost of a server in another region; links between regions are narrow.
const CROSS_REGION_COST_MS: f64 = 20.0;

/// Cost of a server in another availability zone of the region.
const CROSS_ZONE_COST_MS: f64 = 2.0;

/// Upper bound of the random cost that is added to each server, so that entries which see the same loads choose
/// differently.
const MAX_JITTER_MS: f64 = 12.0;

/// Cost of a server with a failure rate of 1.0; lower rates cost proportionally less.
const FAILURE_COST_MS: f64 = 2000.0;

/// Cost of a server that has to load a newer version soon, for a request that was not sent to another server before:
/// the load breaks the stream off for the first time, and another server has to read its prompt again.
const FIRST_BREAK_COST_MS: f64 = 15.0;

/// Cost of the same for a stream that broke off before and could not be resumed a second time.
const SECOND_BREAK_COST_MS: f64 = 150.0;

/// Whether a server has to load a newer version soon, and what that means for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpcomingLoad {
    /// The server holds the newest version.
    NotNeeded,
    /// The server has to load; the request could still be resumed at another server.
    BreaksOnce,
    /// The server has to load; the request has been sent to another server before.
    BreaksTwice,
}

impl UpcomingLoad {
    /// Returns the cost in milliseconds.
    pub fn cost_ms(self) -> f64 {
        match self {
            Self::NotNeeded => 0.0,
            Self::BreaksOnce => FIRST_BREAK_COST_MS,
            Self::BreaksTwice => SECOND_BREAK_COST_MS,
        }
    }
}

/// Divisor of the candidates that gives the size of the random sample.
const SAMPLE_DIVISOR: usize = 4;

/// Smallest size of the random sample.
const MIN_SAMPLE: usize = 4;

/// Distance between an entry and a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Distance {
    /// Same availability zone.
    SameZone,
    /// Same region.
    SameRegion,
    /// Another region.
    OtherRegion,
}

impl Distance {
    /// Returns the cost in milliseconds.
    pub fn cost_ms(self) -> f64 {
        match self {
            Self::SameZone => 0.0,
            Self::SameRegion => CROSS_ZONE_COST_MS,
            Self::OtherRegion => CROSS_REGION_COST_MS,
        }
    }
}

/// Location of the entry that chooses servers.
#[derive(Debug, Clone)]
pub struct Location {
    /// Availability zone of the entry.
    pub zone: Arc<str>,
    /// Regions by availability zone, for all zones of the deployment.
    pub regions: FxHashMap<String, String>,
}

impl Location {
    /// Returns the distance to a server in an availability zone.
    pub fn distance(&self, zone: &str) -> Distance {
        if *self.zone == *zone {
            return Distance::SameZone;
        }
        match (self.regions.get(&*self.zone), self.regions.get(zone)) {
            (Some(own), Some(other)) if own == other => Distance::SameRegion,
            _ => Distance::OtherRegion,
        }
    }
}

/// Server that may get a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Expected milliseconds until the server begins to answer, by the work that is known to be there.
    pub expected_wait_ms: f64,
    /// Share of failures among recent answers, within 0.0..=1.0.
    pub failure_rate: f64,
    /// Whether the server has to load a newer version soon, which breaks its streams off.
    pub upcoming_load: UpcomingLoad,
    /// Distance from the entry.
    pub distance: Distance,
    /// Expected milliseconds by which the server answers sooner because it holds a prefix of the prompt; 0 if none.
    pub saving_ms: f64,
}

/// Returns the index of the candidate with the lowest cost among two random samples: one of the candidates in the
/// entry's region and one of those in other regions. Returns `None` without candidates.
///
/// The sampling spreads bursts: between two beacons many entries see the same loads, and if all of them took the best
/// server, its queue would grow long (the power of a few random choices, Mitzenmacher 2001). One of the candidates with the
/// largest saving is added, which the samples would miss if only few servers hold a prefix.
pub fn choose(candidates: &[Candidate], random: &mut impl Rng) -> Option<usize> {
    let indices = 0..candidates.len();
    let (near, far): (Vec<usize>, Vec<usize>) =
        indices.partition(|index| candidates[*index].distance != Distance::OtherRegion);
    let near = sample(&near, random);
    let mut sampled = near;
    sampled.extend(sample(&far, random));
    if let Some(holder) = pick_holder(candidates, random)
        && !sampled.contains(&holder)
    {
        sampled.push(holder);
    }
    let costs_ms: Vec<(usize, f64)> = sampled
        .into_iter()
        .map(|index| {
            let jitter_ms = random.random_range(0.0..MAX_JITTER_MS);
            (index, cost_ms(&candidates[index]) + jitter_ms)
        })
        .collect();
    costs_ms
        .into_iter()
        .min_by(|(_, left), (_, right)| left.total_cmp(right))
        .map(|(index, _)| index)
}

/// Returns a random sample of the candidates.
fn sample(indices: &[usize], random: &mut impl Rng) -> Vec<usize> {
    let count = (indices.len() / SAMPLE_DIVISOR).max(MIN_SAMPLE);
    indices.sample(random, count).copied().collect()
}

/// Returns a random one of the candidates with the largest saving, so that servers which hold the same prefix share its
/// requests; `None` if no saving is expected.
fn pick_holder(candidates: &[Candidate], random: &mut impl Rng) -> Option<usize> {
    let savings = candidates.iter().map(|candidate| candidate.saving_ms);
    let largest = savings.fold(0.0, f64::max);
    if largest <= 0.0 {
        return None;
    }
    let holders = candidates.iter().enumerate();
    let holders = holders.filter(|(_, candidate)| candidate.saving_ms >= largest);
    let indices: Vec<usize> = holders.map(|(index, _)| index).collect();
    indices.choose(random).copied()
}

/// Returns the cost of a candidate in milliseconds, without the random part.
pub fn cost_ms(candidate: &Candidate) -> f64 {
    candidate.expected_wait_ms
        + candidate.upcoming_load.cost_ms()
        + candidate.distance.cost_ms()
        + candidate.failure_rate * FAILURE_COST_MS
        - candidate.saving_ms
}
