//! Deterministic model of one link that calls and a transfer share, to compare rate controllers.
//!
//! The link serves one queue in order of arrival. Calls arrive at a high rate during bursts and at a low rate
//! otherwise; the transfer arrives at the rate that the controller allows. Time advances in ticks.

use std::collections::VecDeque;

use pistachiolug_weights::shaping::{
    Controller, Fixed, Sample, TARGET_SHARE, aimd::Aimd, logistic::Logistic,
};

/// Number of ticks per second.
const TICKS_PER_SECOND: usize = 1000;

/// Number of ticks between two updates of the controller.
const UPDATE_INTERVAL_TICKS: usize = 100;

/// Number of ticks from the start of one burst to the start of the next.
const BURST_PERIOD_TICKS: usize = 8 * TICKS_PER_SECOND;

/// Number of ticks of a burst, at the end of each period.
const BURST_TICKS: usize = 3 * TICKS_PER_SECOND;

/// Share of the link that calls need between two bursts of calls.
const CALM_SHARE: f64 = 0.1;

/// Share of the link that calls need during bursts.
const BURST_SHARE: f64 = 0.7;

/// Time in seconds that the transfer takes if it has the whole link.
const TRANSFER_S: f64 = 30.0;

/// Largest distance from the fair share, as a share of the link, that counts as converged.
const CONVERGENCE_MARGIN: f64 = 0.1;

/// Number of ticks after which a run is stopped.
const MAX_TICKS: usize = 600 * TICKS_PER_SECOND;

/// Figures of one controller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figures {
    /// Time until the transfer ended, in seconds.
    pub finish_s: f64,
    /// Mean queueing delay of calls in milliseconds.
    pub mean_delay_ms: f64,
    /// 95th percentile of the queueing delay of calls, by tick, in milliseconds.
    pub p95_delay_ms: f64,
    /// Largest queueing delay of calls in milliseconds.
    pub max_delay_ms: f64,
    /// Mean share of the link in use until the end of the transfer.
    pub utilization: f64,
    /// Mean time from the start of a burst until the transfer uses no more than calls leave free, in milliseconds.
    pub yield_ms: f64,
    /// Mean time from the end of a burst until the transfer uses what calls leave free, in milliseconds. Counts as the
    /// whole time to the next burst if it never does.
    pub recover_ms: f64,
}

/// Runs all controllers on the same bursts and returns their names and figures.
pub fn compare() -> Vec<(&'static str, Figures)> {
    vec![
        ("fixed cap", run(&mut Fixed)),
        ("AIMD", run(&mut Aimd::default())),
        ("logistic", run(&mut Logistic::default())),
    ]
}

/// Traffic between two updates of the controller, in ticks of full link use.
#[derive(Debug, Default)]
struct Counts {
    /// Calls and transfers.
    total: f64,
    transfers: f64,
}

fn run<C: Controller>(controller: &mut C) -> Figures {
    let mut share = controller.update(Sample::default());
    let mut queue: VecDeque<(f64, bool)> = VecDeque::new();
    let mut queued = 0.0;
    let mut left = TRANSFER_S * TICKS_PER_SECOND as f64;
    let mut counts = Counts::default();
    let mut carried_total = 0.0;
    let mut delays: Vec<f64> = Vec::new();
    let mut shares: Vec<f64> = Vec::new();
    let mut tick = 0;
    while left > 0.0 && tick < MAX_TICKS {
        let calls = calls_at(tick);
        delays.push(queued);
        queue.push_back((calls, false));
        queue.push_back((share.min(left), true));
        queued += calls + share.min(left);
        left -= share.min(left);
        let carried = serve(&mut queue, &mut counts);
        queued -= carried;
        carried_total += carried;
        shares.push(share);
        tick += 1;
        if tick % UPDATE_INTERVAL_TICKS == 0 {
            // Queued traffic counts as demand, so that demand above the capacity of the link is visible.
            let demand = (counts.total + queued) / UPDATE_INTERVAL_TICKS as f64;
            share = controller.update(Sample {
                total: demand,
                transfers: counts.transfers / UPDATE_INTERVAL_TICKS as f64,
            });
            counts = Counts::default();
        }
    }
    figures(tick, carried_total, delays, &shares)
}

/// Returns the share of the link that calls need in a tick.
fn calls_at(tick: usize) -> f64 {
    if tick % BURST_PERIOD_TICKS >= BURST_PERIOD_TICKS - BURST_TICKS {
        BURST_SHARE
    } else {
        CALM_SHARE
    }
}

/// Serves one tick of the link and returns the traffic that it carried, at most 1.
fn serve(queue: &mut VecDeque<(f64, bool)>, counts: &mut Counts) -> f64 {
    let mut remaining = 1.0;
    while remaining > 1e-12 {
        let Some((size, is_transfer)) = queue.front_mut() else {
            break;
        };
        let part = size.min(remaining);
        *size -= part;
        remaining -= part;
        counts.total += part;
        counts.transfers += if *is_transfer { part } else { 0.0 };
        if *size <= 1e-12 {
            queue.pop_front();
        }
    }
    1.0 - remaining
}

fn figures(ticks: usize, carried_total: f64, mut delays: Vec<f64>, shares: &[f64]) -> Figures {
    let yield_ticks = mean_settling_ticks(
        shares,
        BURST_PERIOD_TICKS - BURST_TICKS,
        BURST_TICKS,
        |share| share <= TARGET_SHARE - BURST_SHARE + CONVERGENCE_MARGIN,
    );
    let recover_ticks = mean_settling_ticks(
        shares,
        BURST_PERIOD_TICKS,
        BURST_PERIOD_TICKS - BURST_TICKS,
        |share| share >= TARGET_SHARE - CALM_SHARE - CONVERGENCE_MARGIN,
    );
    delays.sort_by(f64::total_cmp);
    let count = delays.len().max(1);
    let quantile = |rank: f64| delays.get((count as f64 * rank) as usize).copied();
    let to_ms = 1000.0 / TICKS_PER_SECOND as f64;
    Figures {
        finish_s: ticks as f64 / TICKS_PER_SECOND as f64,
        mean_delay_ms: delays.iter().sum::<f64>() / count as f64 * to_ms,
        p95_delay_ms: quantile(0.95).unwrap_or(0.0) * to_ms,
        max_delay_ms: delays.last().copied().unwrap_or(0.0) * to_ms,
        utilization: carried_total / ticks.max(1) as f64,
        yield_ms: yield_ticks * to_ms,
        recover_ms: recover_ticks * to_ms,
    }
}

/// Returns the mean number of ticks from the start of each phase until its share is settled.
///
/// Phases start at `first` and then once per period, and have `length` ticks. Those that the run does not complete are
/// left out; one that never settles counts with its whole length.
fn mean_settling_ticks(
    shares: &[f64],
    first: usize,
    length: usize,
    is_settled: impl Fn(f64) -> bool,
) -> f64 {
    let phase_starts = (first..shares.len()).step_by(BURST_PERIOD_TICKS);
    let complete = phase_starts.filter(|start| start + length <= shares.len());
    let settling_ticks: Vec<f64> = complete
        .map(|start| {
            let phase = &shares[start..start + length];
            let tick = phase.iter().position(|share| is_settled(*share));
            tick.unwrap_or(length) as f64
        })
        .collect();
    settling_ticks.iter().sum::<f64>() / settling_ticks.len().max(1) as f64
}
