//! Choice of the backend server for one request.

use rand::{Rng, RngExt, seq::IndexedRandom};

/// Cost in milliseconds of leaving the region: its links are narrow.
const REGION_COST_MS: f64 = 20.0;

/// Cost in milliseconds of leaving the availability zone.
const ZONE_COST_MS: f64 = 2.0;

/// Largest random addition to a cost in milliseconds; entries that see the same loads must not choose alike.
const JITTER_MS: f64 = 12.0;

/// Cost in milliseconds of a server all of whose recent answers were failures.
const FAILURE_COST_MS: f64 = 2000.0;

/// Cost in milliseconds of a server that has to load soon: a stream that it breaks off is read again elsewhere.
const LOAD_COST_MS: f64 = 15.0;

/// The same for a stream that was broken off before and could not go on a second time.
const SECOND_LOAD_COST_MS: f64 = 150.0;

/// Whether a server has to load a newer version soon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpcomingLoad {
    /// It holds the newest version.
    NotNeeded,
    /// It has to, and the request could go on elsewhere.
    BreaksOnce,
    /// It has to, and the request has gone on elsewhere before.
    BreaksTwice,
}

impl UpcomingLoad {
    fn cost_ms(self) -> f64 {
        match self {
            Self::NotNeeded => 0.0,
            Self::BreaksOnce => LOAD_COST_MS,
            Self::BreaksTwice => SECOND_LOAD_COST_MS,
        }
    }
}

/// Part of the candidates that is looked at, as a divisor.
const PART: usize = 4;

/// Smallest number of candidates that are looked at.
const LOOKED_AT_LEAST: usize = 4;

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

/// Server that may take a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Milliseconds until the server would begin to answer, by the work known to be there.
    pub expected_wait_ms: f64,
    /// Share of failures among recent answers, in 0..=1.
    pub failure_rate: f64,
    /// Whether it has to load a newer version soon, which breaks its streams off.
    pub upcoming_load: UpcomingLoad,
    /// Distance.
    pub distance: Distance,
}

/// Chooses the candidate that answers soonest among a random part of those in the own region and of those elsewhere, and
/// returns its index; `None` without candidates.
///
/// Answers bursts: between two beacons many entries see the same loads, and if all took the best server its queue would
/// grow long (the power of a few random choices, Mitzenmacher 2001).
pub fn choose(candidates: &[Candidate], random: &mut impl Rng) -> Option<usize> {
    let indices = 0..candidates.len();
    let (near, far): (Vec<usize>, Vec<usize>) =
        indices.partition(|index| candidates[*index].distance != Distance::OtherRegion);
    let near = draw(&near, random);
    let drawn = near.into_iter().chain(draw(&far, random));
    let costs: Vec<(usize, f64)> = drawn
        .map(|index| {
            let jitter = random.random_range(0.0..JITTER_MS);
            (index, cost(&candidates[index]) + jitter)
        })
        .collect();
    costs
        .into_iter()
        .min_by(|(_, left), (_, right)| left.total_cmp(right))
        .map(|(index, _)| index)
}

/// Draws a part of the candidates.
fn draw(indices: &[usize], random: &mut impl Rng) -> Vec<usize> {
    let looked_at = (indices.len() / PART).max(LOOKED_AT_LEAST);
    indices.sample(random, looked_at).copied().collect()
}

fn cost(candidate: &Candidate) -> f64 {
    let distance = match candidate.distance {
        Distance::SameZone => 0.0,
        Distance::SameRegion => ZONE_COST_MS,
        Distance::OtherRegion => REGION_COST_MS,
    };
    candidate.expected_wait_ms
        + candidate.upcoming_load.cost_ms()
        + distance
        + candidate.failure_rate * FAILURE_COST_MS
}
