//! Demonstration: starts a deployment on loopback, spreads a model to it, sends a burst of calls and checks invariants.

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

/// Version of the model that the demonstration spreads.
const VERSION: &str = "v1";

/// Length of the model's weights in bytes.
const WEIGHTS_BYTES: usize = 32 << 20;

/// Rate of the origin's link in bytes per second.
const ORIGIN_RATE: u64 = 64 << 20;

/// Arguments of the engine stand-ins: time to the first token and between tokens, in milliseconds.
const ENGINE_SPEED: [&str; 4] = ["--first-ms", "20", "--gap-ms", "10"];

/// Demonstration whose steps are done and whose deployment still runs.
struct Finished {
    deployment: Deployment,
    operator: Operator,
    /// Whether all invariants held.
    all_held: bool,
}

/// Runs the demonstration and returns whether all invariants held; with `stay`, keeps it running until a signal.
///
/// # Errors
/// Returns the error of a process or request that the demonstration needs, or `Interrupted` after a signal.
pub async fn run(stay: bool) -> io::Result<bool> {
    // After a signal the deployment is dropped, which ends its processes.
    let finished = tokio::select! {
        finished = run_steps() => finished?,
        stopped = signal::wait_for_stop() => {
            stopped?;
            return Err(io::Error::new(io::ErrorKind::Interrupted, "the demonstration was stopped by a signal"));
        }
    };
    if stay {
        stay::run(&finished.deployment, &finished.operator).await?;
    }
    Ok(finished.all_held)
}

/// Starts the deployment, runs all steps and prints the report.
async fn run_steps() -> io::Result<Finished> {
    print_step("starting stand-ins, agents and entries");
    let deployment = Deployment::start(&size()).await?;
    let operator = Operator::new(&deployment)?;
    print_step("applying the sample lists and spreading the model");
    let weights = weights(VERSION, WEIGHTS_BYTES);
    let spread = spread::run(&deployment, &operator, VERSION, &weights).await?;
    print_step("sending a burst of paid and trial calls, and bookings twice");
    let samples = calls::run(&deployment, VERSION, &weights).await?;
    let record = record::read(&deployment).await?;
    let invariants = invariant::check(&spread, &samples, &record);
    print_text(&report::render(&spread, &samples, &record, &invariants));
    Ok(Finished {
        deployment,
        operator,
        all_held: invariants.iter().all(|invariant| invariant.held),
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
fn print_step(step: &str) {
    eprintln!("demo: {step}");
}

#[allow(clippy::print_stdout)]
fn print_text(text: &str) {
    println!("{text}");
}
