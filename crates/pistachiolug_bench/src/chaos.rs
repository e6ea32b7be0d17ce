//! Experiments with random faults under load, several at once, all drawn from a seed.

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use crate::{
    experiment::{
        document::{AllowedEnds, Deployment, Document},
        fault::{Action, Target, TimedFault},
    },
    load::plan::{Kind, Stream},
};

/// Number of agents with model engines.
const MODEL_AGENTS: usize = 4;

/// Number of agents with plain services.
const PLAIN_AGENTS: usize = 2;

/// Number of entries.
const ENTRIES: usize = 2;

/// Time at the start and at the end of a run during which no new fault begins, in seconds.
const CALM_S: f64 = 5.0;

/// Longest time between the starts of two faults, in seconds. It is below the longest duration of a fault, so that
/// faults overlap.
const MAX_GAP_S: f64 = 4.0;

/// Shortest and longest duration of a fault, in seconds.
const FAULT_DURATION_S: (f64, f64) = (2.0, 9.0);

/// Number of seconds in a minute.
const SECONDS_PER_MINUTE: f64 = 60.0;

/// Kind of a fault that a run draws.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FaultKind {
    KillAgent,
    FreezeAgent,
    KillEngine,
    FreezeEngine,
    KillEntry,
    StopEntry,
    StopAgent,
    FreezeKeyValue,
    FreezeDirectory,
    FreezeOrigin,
    EditList,
    NewVersion,
}

const FAULT_KINDS: [FaultKind; 12] = [
    FaultKind::KillAgent,
    FaultKind::FreezeAgent,
    FaultKind::KillEngine,
    FaultKind::FreezeEngine,
    FaultKind::KillEntry,
    FaultKind::StopEntry,
    FaultKind::StopAgent,
    FaultKind::FreezeKeyValue,
    FaultKind::FreezeDirectory,
    FaultKind::FreezeOrigin,
    FaultKind::EditList,
    FaultKind::NewVersion,
];

/// Plans an experiment of `minutes` minutes; equal seeds give equal experiments.
pub fn document(seed: u64, minutes: f64) -> Document {
    let until_s = minutes * SECONDS_PER_MINUTE;
    Document {
        name: format!("chaos-{seed}"),
        seed,
        deployment: Deployment {
            models: MODEL_AGENTS,
            plains: PLAIN_AGENTS,
            entries: ENTRIES,
            ..Deployment::default()
        },
        load: load(until_s),
        faults: faults(seed, until_s),
        allow: AllowedEnds {
            not_run: true,
            unknown: true,
            cut: true,
        },
    }
}

fn load(until_s: f64) -> Vec<Stream> {
    [
        ("paid", Kind::Chat, 8.0, 120),
        ("trial", Kind::ChatWhole, 4.0, 40),
        ("paid", Kind::Booking, 3.0, 0),
        ("paid", Kind::BookingTwice, 3.0, 0),
        ("paid", Kind::Stock, 3.0, 0),
    ]
    .map(|(customer, kind, rate, tokens)| Stream {
        customer: customer.to_owned(),
        kind,
        rate,
        from_s: 0.0,
        until_s,
        tokens,
    })
    .to_vec()
}

/// Draws the faults and their ends, in order of time.
fn faults(seed: u64, until_s: f64) -> Vec<TimedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut versions = 1;
    let mut at_s = CALM_S;
    while at_s < until_s - CALM_S - FAULT_DURATION_S.1 {
        let fault_kind = *FAULT_KINDS
            .choose(&mut random)
            .unwrap_or(&FaultKind::EditList);
        let duration_s = random.random_range(FAULT_DURATION_S.0..FAULT_DURATION_S.1);
        for (after_s, action) in actions(fault_kind, duration_s, &mut versions, &mut random) {
            faults.push(TimedFault {
                at_s: at_s + after_s,
                action,
            });
        }
        at_s += random.random_range(0.0..MAX_GAP_S);
    }
    faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    faults
}

/// Returns the actions of a fault and of its end, with the seconds since the start of the fault.
fn actions(
    fault_kind: FaultKind,
    duration_s: f64,
    versions: &mut u32,
    random: &mut ChaCha8Rng,
) -> Vec<(f64, Action)> {
    let agent = Target::Agent(random.random_range(0..MODEL_AGENTS + PLAIN_AGENTS));
    // Plain stand-ins are never stopped: the checks read their records at the end.
    let engine = Target::Backend(random.random_range(0..MODEL_AGENTS));
    let entry = Target::Entry(random.random_range(0..ENTRIES));
    match fault_kind {
        FaultKind::KillAgent => kill_and_restart(agent, duration_s),
        FaultKind::KillEngine => kill_and_restart(engine, duration_s),
        FaultKind::KillEntry => kill_and_restart(entry, duration_s),
        FaultKind::StopAgent => stop_and_restart(agent, duration_s),
        FaultKind::StopEntry => stop_and_restart(entry, duration_s),
        FaultKind::FreezeAgent => freeze_and_thaw(agent, duration_s),
        FaultKind::FreezeEngine => freeze_and_thaw(engine, duration_s),
        FaultKind::FreezeKeyValue => freeze_and_thaw(Target::KeyValue, duration_s),
        FaultKind::FreezeDirectory => freeze_and_thaw(Target::Directory, duration_s),
        FaultKind::FreezeOrigin => freeze_and_thaw(Target::Origin, duration_s),
        FaultKind::EditList => vec![(0.0, Action::Share(random.random_range(1..9)))],
        FaultKind::NewVersion => {
            *versions += 1;
            vec![(0.0, Action::Version(format!("v{versions}")))]
        }
    }
}

fn kill_and_restart(target: Target, duration_s: f64) -> Vec<(f64, Action)> {
    vec![
        (0.0, Action::Kill(target)),
        (duration_s, Action::Restart(target)),
    ]
}

fn stop_and_restart(target: Target, duration_s: f64) -> Vec<(f64, Action)> {
    vec![
        (0.0, Action::Terminate(target)),
        (duration_s, Action::Restart(target)),
    ]
}

fn freeze_and_thaw(target: Target, duration_s: f64) -> Vec<(f64, Action)> {
    vec![
        (0.0, Action::Freeze(target)),
        (duration_s, Action::Thaw(target)),
    ]
}
