//! Random faults from a seed, several at once, under load.

use rand::{RngExt, SeedableRng, seq::IndexedRandom};
use rand_chacha::ChaCha8Rng;

use crate::{
    experiment::{
        document::{AllowedEnds, Deployment, Document},
        fault::{Action, Target, TimedFault},
    },
    load::plan::{Kind, Stream},
};

/// Agents with model engines.
const MODELS: usize = 4;

/// Agents with plain services.
const PLAINS: usize = 2;

/// Entries.
const ENTRIES: usize = 2;

/// Time before the first fault and after the last, in seconds.
const QUIET_S: f64 = 5.0;

/// Longest time between two faults, in seconds; a fault often starts before the last one has healed.
const GAP_S: f64 = 4.0;

/// Shortest and longest time until a fault heals, in seconds.
const HEAL_S: (f64, f64) = (2.0, 9.0);

/// Seconds of a minute.
const MINUTE_S: f64 = 60.0;

/// Kinds of faults that a run draws from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Trouble {
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

const TROUBLES: [Trouble; 12] = [
    Trouble::KillAgent,
    Trouble::FreezeAgent,
    Trouble::KillEngine,
    Trouble::FreezeEngine,
    Trouble::KillEntry,
    Trouble::StopEntry,
    Trouble::StopAgent,
    Trouble::FreezeKeyValue,
    Trouble::FreezeDirectory,
    Trouble::FreezeOrigin,
    Trouble::EditList,
    Trouble::NewVersion,
];

/// Plans a run of some minutes; a seed decides all of it.
pub fn document(seed: u64, minutes: f64) -> Document {
    let until_s = minutes * MINUTE_S;
    Document {
        name: format!("chaos-{seed}"),
        seed,
        deployment: Deployment {
            models: MODELS,
            plains: PLAINS,
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

fn faults(seed: u64, until_s: f64) -> Vec<TimedFault> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut faults = Vec::new();
    let mut versions = 1;
    let mut at_s = QUIET_S;
    while at_s < until_s - QUIET_S - HEAL_S.1 {
        let trouble = *TROUBLES.choose(&mut random).unwrap_or(&Trouble::EditList);
        let heal_s = random.random_range(HEAL_S.0..HEAL_S.1);
        for (after_s, action) in actions(trouble, heal_s, &mut versions, &mut random) {
            faults.push(TimedFault {
                at_s: at_s + after_s,
                action,
            });
        }
        at_s += random.random_range(0.0..GAP_S);
    }
    faults.sort_by(|a, b| a.at_s.total_cmp(&b.at_s));
    faults
}

/// Returns a fault and its healing, with seconds since the fault.
fn actions(
    trouble: Trouble,
    heal_s: f64,
    versions: &mut u32,
    random: &mut ChaCha8Rng,
) -> Vec<(f64, Action)> {
    let agent = Target::Agent(random.random_range(0..MODELS + PLAINS));
    // Plain stand-ins are never ended: their records are what the checks read.
    let engine = Target::Backend(random.random_range(0..MODELS));
    let entry = Target::Entry(random.random_range(0..ENTRIES));
    match trouble {
        Trouble::KillAgent => killed(agent, heal_s),
        Trouble::KillEngine => killed(engine, heal_s),
        Trouble::KillEntry => killed(entry, heal_s),
        Trouble::StopAgent => stopped(agent, heal_s),
        Trouble::StopEntry => stopped(entry, heal_s),
        Trouble::FreezeAgent => frozen(agent, heal_s),
        Trouble::FreezeEngine => frozen(engine, heal_s),
        Trouble::FreezeKeyValue => frozen(Target::KeyValue, heal_s),
        Trouble::FreezeDirectory => frozen(Target::Directory, heal_s),
        Trouble::FreezeOrigin => frozen(Target::Origin, heal_s),
        Trouble::EditList => vec![(0.0, Action::Share(random.random_range(1..9)))],
        Trouble::NewVersion => {
            *versions += 1;
            vec![(0.0, Action::Version(format!("v{versions}")))]
        }
    }
}

fn killed(target: Target, heal_s: f64) -> Vec<(f64, Action)> {
    vec![
        (0.0, Action::Kill(target)),
        (heal_s, Action::Restart(target)),
    ]
}

fn stopped(target: Target, heal_s: f64) -> Vec<(f64, Action)> {
    vec![
        (0.0, Action::Terminate(target)),
        (heal_s, Action::Restart(target)),
    ]
}

fn frozen(target: Target, heal_s: f64) -> Vec<(f64, Action)> {
    vec![
        (0.0, Action::Freeze(target)),
        (heal_s, Action::Thaw(target)),
    ]
}
