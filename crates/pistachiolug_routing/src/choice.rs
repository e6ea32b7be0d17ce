//! Choice of the agent for one call.
//!
//! The agent of the subset with the fewest estimated calls: the entry's own outstanding calls, which it knows exactly,
//! plus those of other entries according to the agent's lagging reports.

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
pub struct AgentLoad {
    /// Calls that this entry has open at the agent.
    pub own_calls: u32,
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
    pub is_local: bool,
    /// Whether it is known not to serve what is asked.
    pub is_avoided: bool,
}

impl AgentLoad {
    /// Takes a report that rode on an answer.
    pub fn record_report(&mut self, load: &Load, now: Duration) {
        let calls = load.queued.saturating_add(load.running);
        self.report = Some(Report {
            others: calls.saturating_sub(self.own_calls),
            at: now,
        });
    }

    /// Returns the calls of other entries, if the report is fresh enough to tell, and the report's weight in 0..1.
    fn others(&self, now: Duration) -> Option<(f64, f64)> {
        let report = self.report?;
        let age = now.saturating_sub(report.at).as_secs_f64();
        let weight = 1.0 - age / REPORT_AGE.as_secs_f64();
        (weight > 0.0).then_some((f64::from(report.others), weight))
    }
}

/// Estimates the calls at each agent now.
///
/// An old report fades into the mean of the fresh ones: an agent that was full and is not asked any more must not look
/// idle for want of news.
pub fn estimate(gauges: &[AgentLoad], now: Duration) -> Vec<f64> {
    let reports = gauges.iter().filter_map(|gauge| gauge.others(now));
    let (sum, weights) = reports.fold((0.0, 0.0), |(sum, weights), (others, weight)| {
        (sum + others * weight, weights + weight)
    });
    let usual = if weights > 0.0 { sum / weights } else { 0.0 };
    let estimates = gauges.iter().map(|gauge| {
        let (others, weight) = gauge.others(now).unwrap_or((usual, 0.0));
        f64::from(gauge.own_calls) + others * weight + usual * (1.0 - weight)
    });
    estimates.collect()
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
    let serving = |is_local| {
        move |candidate: &Candidate| !candidate.is_avoided && candidate.is_local == is_local
    };
    let near = calmest(candidates, serving(true), random);
    let far = calmest(candidates, serving(false), random);
    let best = match (near, far) {
        (Some(near), Some(far)) => {
            let spills = candidates[near].calls > candidates[far].calls + HOME_SLACK;
            if spills { far } else { near }
        }
        (Some(only), None) | (None, Some(only)) => only,
        (None, None) => return calmest(candidates, |_| true, random),
    };
    let affine = preferred.filter(|index| {
        let candidate = &candidates[*index];
        !candidate.is_avoided && candidate.calls <= candidates[best].calls + AFFINITY_SLACK
    });
    Some(affine.unwrap_or(best))
}

/// Returns an eligible candidate with the fewest calls; equals are taken with equal chance.
fn calmest(
    candidates: &[Candidate],
    eligible: impl Fn(&Candidate) -> bool,
    random: &mut impl Rng,
) -> Option<usize> {
    let turn = random.random_range(0..candidates.len().max(1));
    let turned = (turn..candidates.len()).chain(0..turn);
    turned
        .filter(|index| eligible(&candidates[*index]))
        .min_by(|left, right| candidates[*left].calls.total_cmp(&candidates[*right].calls))
}
