//! One link with bursts of calls: what each rate controller costs calls and transfers, in a deterministic model.
//!
//! The link serves one queue in order. Calls arrive at a high rate during bursts; transfers arrive at the rate that
//! the controller allows. Time runs in ticks.

use std::collections::VecDeque;

use pistachiolug_weights::shaping::{
    Controller, Fixed, Sample, TARGET_SHARE, aimd::Aimd, logistic::Logistic,
};

/// Ticks a second.
const TICKS: usize = 1000;

/// Ticks between two updates of the controller.
const INTERVAL: usize = 100;

/// Ticks from the start of one burst to the next.
const PERIOD: usize = 8 * TICKS;

/// Ticks of a burst.
const BURST: usize = 3 * TICKS;

/// Share of the link that calls take outside bursts.
const QUIET: f64 = 0.1;

/// Share of the link that calls take in bursts.
const BUSY: f64 = 0.7;

/// Seconds that the transfer would take alone on the link.
const TRANSFER_S: f64 = 30.0;

/// Distance to the fair share, as a part of the link, that counts as converged.
const CONVERGED: f64 = 0.1;

/// Longest run in ticks.
const LONGEST: usize = 600 * TICKS;

/// Figures of one controller.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figures {
    /// Seconds until the transfer ended.
    pub finish_s: f64,
    /// Mean delay of calls in the queue in milliseconds.
    pub mean_delay_ms: f64,
    /// Delay that 95 in 100 ticks' calls stay below, in milliseconds.
    pub p95_delay_ms: f64,
    /// Largest delay in milliseconds.
    pub max_delay_ms: f64,
    /// Mean share of the link in use until the end.
    pub utilization: f64,
    /// Mean milliseconds from a burst's start until the transfer keeps to what calls leave over.
    pub yield_ms: f64,
    /// Mean milliseconds from a burst's end until the transfer uses what calls leave over; the rest of the quiet time if never.
    pub recover_ms: f64,
}

/// Runs all candidates on the same bursts.
pub fn compare() -> Vec<(&'static str, Figures)> {
    vec![
        ("fixed cap", run(&mut Fixed)),
        ("AIMD", run(&mut Aimd::default())),
        ("logistic", run(&mut Logistic::default())),
    ]
}

/// Counts of one interval, in ticks of full link use.
#[derive(Debug, Default)]
struct Counts {
    total: f64,
    transfers: f64,
}

fn run<C: Controller>(controller: &mut C) -> Figures {
    let mut share = controller.update(Sample::default());
    let mut queue: VecDeque<(f64, bool)> = VecDeque::new();
    let mut queued = 0.0;
    let mut left = TRANSFER_S * TICKS as f64;
    let mut counts = Counts::default();
    let mut used = 0.0;
    let mut delays: Vec<f64> = Vec::new();
    let mut shares: Vec<f64> = Vec::new();
    let mut tick = 0;
    while left > 0.0 && tick < LONGEST {
        let calls = calls_at(tick);
        delays.push(queued);
        queue.push_back((calls, false));
        queue.push_back((share.min(left), true));
        queued += calls + share.min(left);
        left -= share.min(left);
        let passed = serve(&mut queue, &mut counts);
        queued -= passed;
        used += passed;
        shares.push(share);
        tick += 1;
        if tick % INTERVAL == 0 {
            // A growing queue shows as demand above the link's capacity.
            let demand = (counts.total + queued) / INTERVAL as f64;
            share = controller.update(Sample {
                total: demand,
                transfers: counts.transfers / INTERVAL as f64,
            });
            counts = Counts::default();
        }
    }
    figures(tick, used, delays, &shares)
}

fn calls_at(tick: usize) -> f64 {
    if tick % PERIOD >= PERIOD - BURST {
        BUSY
    } else {
        QUIET
    }
}

/// Serves one tick of the link and returns what passed.
fn serve(queue: &mut VecDeque<(f64, bool)>, counts: &mut Counts) -> f64 {
    let mut room = 1.0;
    while room > 1e-12 {
        let Some((size, transfer)) = queue.front_mut() else {
            break;
        };
        let part = size.min(room);
        *size -= part;
        room -= part;
        counts.total += part;
        counts.transfers += if *transfer { part } else { 0.0 };
        if *size <= 1e-12 {
            queue.pop_front();
        }
    }
    1.0 - room
}

fn figures(ticks: usize, used: f64, mut delays: Vec<f64>, shares: &[f64]) -> Figures {
    let yielded = settle(shares, PERIOD - BURST, BURST, |share| {
        share <= TARGET_SHARE - BUSY + CONVERGED
    });
    let recovered = settle(shares, PERIOD, PERIOD - BURST, |share| {
        share >= TARGET_SHARE - QUIET - CONVERGED
    });
    delays.sort_by(f64::total_cmp);
    let count = delays.len().max(1);
    let at = |part: f64| delays.get((count as f64 * part) as usize).copied();
    let to_ms = 1000.0 / TICKS as f64;
    Figures {
        finish_s: ticks as f64 / TICKS as f64,
        mean_delay_ms: delays.iter().sum::<f64>() / count as f64 * to_ms,
        p95_delay_ms: at(0.95).unwrap_or(0.0) * to_ms,
        max_delay_ms: delays.last().copied().unwrap_or(0.0) * to_ms,
        utilization: used / ticks.max(1) as f64,
        yield_ms: yielded * to_ms,
        recover_ms: recovered * to_ms,
    }
}

/// Returns the mean ticks from each phase's start until `settled`, over the phases that lie whole in the run.
fn settle(shares: &[f64], first: usize, length: usize, settled: impl Fn(f64) -> bool) -> f64 {
    let starts = (first..shares.len()).step_by(PERIOD);
    let whole = starts.filter(|start| start + length <= shares.len());
    let waits: Vec<f64> = whole
        .map(|start| {
            let phase = &shares[start..start + length];
            let tick = phase.iter().position(|share| settled(*share));
            tick.unwrap_or(length) as f64
        })
        .collect();
    waits.iter().sum::<f64>() / waits.len().max(1) as f64
}
