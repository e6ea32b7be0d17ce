//! Choice of the agent for one call.
//!
//! The better of two random agents (Mitzenmacher, "The Power of Two Choices in Randomized Load Balancing", 2001), by
//! the entry's own outstanding calls plus what other entries add according to the agent's lagging report.

use std::time::Duration;

use pistachiolug_wire::load::Load;
use rand::{Rng, RngExt};

/// Age at which a report says nothing any more.
const REPORT_AGE: Duration = Duration::from_secs(5);

/// Calls by which an agent in the own availability zone may be busier than one elsewhere and still be taken.
const HOME_SLACK: f64 = 2.0;

/// Calls by which the agent with the prompt's prefix may be busier than the best other and still be taken.
const AFFINITY_SLACK: f64 = 2.0;

/// What an entry knows of one agent's load.
#[derive(Debug, Clone, Copy, Default)]
pub struct Gauge {
    /// Calls that this entry has open at the agent.
    pub own: u32,
    report: Option<Report>,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    /// Calls of other entries at the time of the report.
    others: u32,
    at: Duration,
}

/// Agent that may be chosen.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Estimated calls at the agent.
    pub calls: f64,
    /// Whether it stands in the entry's availability zone.
    pub home: bool,
    /// Whether it is known not to serve what is asked.
    pub lacking: bool,
}

impl Gauge {
    /// Takes a report that rode on an answer.
    pub fn report(&mut self, load: &Load, now: Duration) {
        let calls = load.queued.saturating_add(load.running);
        self.report = Some(Report {
            others: calls.saturating_sub(self.own),
            at: now,
        });
    }

    /// Estimates the calls at the agent now; the report's part fades with its age.
    pub fn calls(&self, now: Duration) -> f64 {
        let others = self.report.map_or(0.0, |report| {
            let age = now.saturating_sub(report.at).as_secs_f64();
            let weight = 1.0 - age / REPORT_AGE.as_secs_f64();
            f64::from(report.others) * weight.max(0.0)
        });
        f64::from(self.own) + others
    }
}

/// Chooses an agent and returns its index, or `None` if there is no candidate.
///
/// # Arguments
/// `preferred` is the candidate whose engine probably has the prompt's prefix.
pub fn choose(
    candidates: &[Candidate],
    preferred: Option<usize>,
    random: &mut impl Rng,
) -> Option<usize> {
    let serving = |home| move |candidate: &Candidate| !candidate.lacking && candidate.home == home;
    let near = better_of_two(candidates, serving(true), random);
    let far = better_of_two(candidates, serving(false), random);
    let best = match (near, far) {
        (Some(near), Some(far)) => {
            let spills = candidates[near].calls > candidates[far].calls + HOME_SLACK;
            if spills { far } else { near }
        }
        (Some(only), None) | (None, Some(only)) => only,
        (None, None) => return better_of_two(candidates, |_| true, random),
    };
    let affine = preferred.filter(|index| {
        let candidate = &candidates[*index];
        !candidate.lacking && candidate.calls <= candidates[best].calls + AFFINITY_SLACK
    });
    Some(affine.unwrap_or(best))
}

fn better_of_two(
    candidates: &[Candidate],
    eligible: impl Fn(&Candidate) -> bool,
    random: &mut impl Rng,
) -> Option<usize> {
    let count = candidates
        .iter()
        .filter(|&candidate| eligible(candidate))
        .count();
    if count == 0 {
        return None;
    }
    let first = random.random_range(0..count);
    let second = random.random_range(0..count);
    let nth = |wanted: usize| {
        let mut indices = (0..candidates.len()).filter(|index| eligible(&candidates[*index]));
        indices.nth(wanted)
    };
    let (first, second) = (nth(first)?, nth(second)?);
    let calmer = candidates[second].calls < candidates[first].calls;
    Some(if calmer { second } else { first })
}
