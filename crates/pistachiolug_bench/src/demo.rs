//! Demonstration: a whole deployment on loopback, a model spread to it, a burst of calls, and what held.

pub mod calls;
pub mod invariant;
pub mod operator;
pub mod report;
pub mod spread;
pub mod stay;

use std::io;

use pistachiolug_kernel::signal;

use self::operator::Operator;
use crate::{
    experiment::record,
    rig::{
        deployment::{Deployment, SLOTS, Size},
        operator::weights,
    },
};

/// Version that the demonstration spreads.
const VERSION: &str = "v1";

/// Length of the model's weights in bytes.
const WEIGHTS_BYTES: usize = 32 << 20;

/// Bytes a second of the origin's link.
const ORIGIN_RATE: u64 = 64 << 20;

/// Time to an engine's first token and between its tokens, in milliseconds.
const ENGINE_SPEED: [&str; 4] = ["--first-ms", "20", "--gap-ms", "10"];

/// Demonstration that has been shown and still runs.
struct Shown {
    deployment: Deployment,
    operator: Operator,
    /// Whether all invariants held.
    held: bool,
}

/// Runs the demonstration and tells whether all invariants held.
///
/// # Errors
/// Returns the error of a process or request that the demonstration can't go on without, or `Interrupted`.
pub async fn run(stay: bool) -> io::Result<bool> {
    // A signal drops the deployment, which ends its processes.
    let shown = tokio::select! {
        shown = show() => shown?,
        stopped = signal::wait_for_stop() => {
            stopped?;
            return Err(io::Error::new(io::ErrorKind::Interrupted, "stopped by a signal"));
        }
    };
    if stay {
        stay::run(&shown.deployment, &shown.operator).await?;
    }
    Ok(shown.held)
}

async fn show() -> io::Result<Shown> {
    say("starting stand-ins, agents and entries");
    let deployment = Deployment::start(&size()).await?;
    let operator = Operator::new(&deployment)?;
    say("applying the sample lists and spreading the model");
    let weights = weights(VERSION, WEIGHTS_BYTES);
    let spread = spread::run(&deployment, &operator, VERSION, &weights).await?;
    say("sending a burst of paid and trial calls, and bookings twice");
    let samples = calls::run(&deployment, VERSION, &weights).await?;
    let record = record::read(&deployment).await?;
    let invariants = invariant::check(&spread, &samples, &record);
    print(&report::render(&spread, &samples, &record, &invariants));
    Ok(Shown {
        deployment,
        operator,
        held: invariants.iter().all(|invariant| invariant.held),
    })
}

fn size() -> Size {
    Size {
        models: 6,
        plains: 2,
        entries: 2,
        engine_args: ENGINE_SPEED.map(str::to_owned).to_vec(),
        origin_rate: ORIGIN_RATE,
        weights_bytes: WEIGHTS_BYTES,
        slots: SLOTS,
    }
}

#[allow(clippy::print_stderr)]
fn say(step: &str) {
    eprintln!("demo: {step}");
}

#[allow(clippy::print_stdout)]
fn print(text: &str) {
    println!("{text}");
}
