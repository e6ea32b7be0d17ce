//! Choice of the agent for one call.
//!
//! The agent with the fewest estimated calls is chosen. The estimate is the sum of the entry's own open calls, which it
//! knows exactly, and the calls of other entries, which it derives from the agent's delayed load reports.

use std::time::Duration;

use pistachiolug_wire::load::Load;
use rand::{Rng, RngExt};

/// Age at which a load report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// Number of calls by which an agent in the entry's availability zone may be busier than one elsewhere and still be
/// chosen.
const LOCAL_ZONE_SLACK: f64 = 2.0;

/// Number of calls by which the agent preferred for the prompt's prefix may be busier than the best other one and still
/// be chosen.
const AFFINITY_SLACK: f64 = 2.0;

/// Load of one agent as seen by one entry.
#[derive(Debug, Clone, Copy, Default)]
pub struct AgentLoad {
    /// Number of calls that this entry has open at the agent.
    pub own_calls: u32,
    report: Option<Report>,
}

#[derive(Debug, Clone, Copy)]
struct Report {
    /// Number of calls from other entries at the time of the report.
    other_calls: u32,
    received_at: Duration,
}

/// Agent that can be chosen for a call.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Estimated number of calls at the agent; see [`estimate`].
    pub calls: f64,
    /// Whether the agent is in the entry's availability zone.
    pub is_local: bool,
    /// Whether the agent recently refused such a call, because it lacks the version or is full.
    ///
    /// Such an agent is chosen only if all candidates are avoided.
    pub is_avoided: bool,
}

impl AgentLoad {
    /// Records the load that the agent reported with an answer.
    pub fn record_report(&mut self, load: &Load, now: Duration) {
        let calls = load.queued.saturating_add(load.running);
        self.report = Some(Report {
            other_calls: calls.saturating_sub(self.own_calls),
            received_at: now,
        });
    }

    /// Returns the number of calls from other entries and the report's weight in 0..=1.
    ///
    /// `None` without a report, or if it is older than [`MAX_REPORT_AGE`].
    fn other_calls(&self, now: Duration) -> Option<(f64, f64)> {
        let report = self.report?;
        let age = now.saturating_sub(report.received_at).as_secs_f64();
        let weight = 1.0 - age / MAX_REPORT_AGE.as_secs_f64();
        (weight > 0.0).then_some((f64::from(report.other_calls), weight))
    }
}

/// Estimates the number of calls at each agent at `now`, in the order of `loads`.
///
/// As a report ages, its weight moves to the weighted mean of the reports of all agents. Otherwise an agent that was
/// full and has got no calls since would look idle once its report has expired.
pub fn estimate(loads: &[AgentLoad], now: Duration) -> Vec<f64> {
    let reports = loads.iter().filter_map(|load| load.other_calls(now));
    let (sum, weights) = reports.fold((0.0, 0.0), |(sum, weights), (other_calls, weight)| {
        (sum + other_calls * weight, weights + weight)
    });
    let mean = if weights > 0.0 { sum / weights } else { 0.0 };
    let estimates = loads.iter().map(|load| {
        let (other_calls, weight) = load.other_calls(now).unwrap_or((mean, 0.0));
        f64::from(load.own_calls) + other_calls * weight + mean * (1.0 - weight)
    });
    estimates.collect()
}

/// Chooses an agent and returns its index; `None` if there is no candidate.
///
/// # Arguments
/// `preferred` is the index of the candidate whose engine probably has the prompt's prefix in its cache.
pub fn choose(
    candidates: &[Candidate],
    preferred: Option<usize>,
    random: &mut impl Rng,
) -> Option<usize> {
    let eligible = |is_local| {
        move |candidate: &Candidate| !candidate.is_avoided && candidate.is_local == is_local
    };
    let local = least_loaded(candidates, eligible(true), random);
    let remote = least_loaded(candidates, eligible(false), random);
    let best = match (local, remote) {
        (Some(local), Some(remote)) => {
            let local_is_busier =
                candidates[local].calls > candidates[remote].calls + LOCAL_ZONE_SLACK;
            if local_is_busier { remote } else { local }
        }
        (Some(only), None) | (None, Some(only)) => only,
        (None, None) => return least_loaded(candidates, |_| true, random),
    };
    let with_prefix = preferred.filter(|index| {
        let candidate = &candidates[*index];
        !candidate.is_avoided && candidate.calls <= candidates[best].calls + AFFINITY_SLACK
    });
    Some(with_prefix.unwrap_or(best))
}

/// Returns the index of an eligible candidate with the fewest calls.
///
/// The search starts at a random index, so that ties don't always go to the same candidate.
fn least_loaded(
    candidates: &[Candidate],
    is_eligible: impl Fn(&Candidate) -> bool,
    random: &mut impl Rng,
) -> Option<usize> {
    let start = random.random_range(0..candidates.len().max(1));
    let rotated = (start..candidates.len()).chain(0..start);
    rotated
        .filter(|index| is_eligible(&candidates[*index]))
        .min_by(|left, right| candidates[*left].calls.total_cmp(&candidates[*right].calls))
}
