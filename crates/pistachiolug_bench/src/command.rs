//! Subcommands of the load tool.

#![allow(clippy::print_stdout, clippy::print_stderr)]

use std::{
    io,
    path::{Path, PathBuf},
    process::ExitCode,
};

use pistachiolug_bench::{
    capacity::{measure, table},
    chaos, demo,
    experiment::{document::Document, run},
    report::{compare, files, markdown},
    spread, standin,
};

use crate::args;

/// Exit code of an experiment that violated an invariant.
const EXIT_VIOLATION: u8 = 1;

/// Exit code of a demonstration that violated an invariant.
const EXIT_DEMO_VIOLATION: u8 = 7;

/// Exit code of a command that could not be carried out.
const EXIT_ERROR: u8 = 2;

/// Duration of a capacity measurement in seconds unless the command line gives another.
const DEFAULT_CAPACITY_SECONDS: u64 = 20;

/// Duration of a chaos run in minutes unless the command line gives another.
const DEFAULT_CHAOS_MINUTES: f64 = 1.0;

/// Folder of the results unless the command line gives another.
const DEFAULT_FOLDER: &str = "out";

/// Runs one stand-in until a signal stops it.
pub(crate) fn standin(flags: &args::Standin) -> io::Result<ExitCode> {
    let options = standin::Options {
        listen: flags.listen,
        rate: flags.rate.unwrap_or(0),
        lag_ms: flags.lag_ms.unwrap_or(0),
        first_ms: flags.first_ms.unwrap_or(20),
        gap_ms: flags.gap_ms.unwrap_or(5),
        checks_fence: flags.checks_fence,
        slots: flags.slots.unwrap_or(64),
        target: flags.target,
        control: flags.control,
    };
    standin::run(&flags.role, options)?;
    Ok(ExitCode::SUCCESS)
}

/// Runs experiments one after the other and writes their results.
pub(crate) fn run(flags: &args::Run) -> io::Result<ExitCode> {
    let folder = flags
        .out
        .clone()
        .unwrap_or_else(|| PathBuf::from(DEFAULT_FOLDER));
    let mut violations = 0;
    for path in &flags.file {
        violations += run_file(path, &folder)?;
    }
    if violations > 0 {
        return Ok(ExitCode::from(EXIT_VIOLATION));
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs random faults under load. If an invariant was violated, prints the seed and the faults.
pub(crate) fn chaos(flags: &args::Chaos) -> io::Result<ExitCode> {
    let document = chaos::document(flags.seed, flags.minutes.unwrap_or(DEFAULT_CHAOS_MINUTES));
    let folder = flags
        .out
        .clone()
        .unwrap_or_else(|| PathBuf::from(DEFAULT_FOLDER));
    let violations = run_document(&document, &folder)?;
    if violations == 0 {
        return Ok(ExitCode::SUCCESS);
    }
    println!("seed {}, faults:", flags.seed);
    for fault in &document.faults {
        println!("  {:6.2} s {:?}", fault.at_s, fault.action);
    }
    Ok(ExitCode::from(EXIT_VIOLATION))
}

/// Measures the cost of control and prints it as a table.
pub(crate) fn capacity(flags: &args::Capacity) -> io::Result<ExitCode> {
    let case = measure::Case {
        agents: flags.agents,
        entries: flags.entries,
        customers: flags.customers.unwrap_or(0),
        changes_per_s: flags.changes.unwrap_or(0.0),
        seconds: flags.seconds.unwrap_or(DEFAULT_CAPACITY_SECONDS),
    };
    let row = tokio::runtime::Runtime::new()?.block_on(measure::run(case))?;
    println!("{}", table::render(&[row]));
    Ok(ExitCode::SUCCESS)
}

/// Runs the demonstration.
pub(crate) fn demo(flags: &args::Demo) -> io::Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new()?;
    if runtime.block_on(demo::run(flags.stay))? {
        return Ok(ExitCode::SUCCESS);
    }
    Ok(ExitCode::from(EXIT_DEMO_VIOLATION))
}

/// Prints the figures of two results with their ratios.
pub(crate) fn compare(flags: &args::Compare) -> io::Result<ExitCode> {
    let first = files::read(&flags.first)?;
    let second = files::read(&flags.second)?;
    println!("{}", compare::render(&first, &second));
    Ok(ExitCode::SUCCESS)
}

/// Compares rate controllers and prints a table.
pub(crate) fn shaping() -> ExitCode {
    println!(
        "| controller | finish s | mean delay ms | p95 delay ms | max delay ms | utilization | yield ms | recover ms |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- |");
    for (name, figures) in spread::shaping::compare() {
        println!(
            "| {name} | {:.1} | {:.1} | {:.1} | {:.1} | {:.3} | {:.0} | {:.0} |",
            figures.finish_s,
            figures.mean_delay_ms,
            figures.p95_delay_ms,
            figures.max_delay_ms,
            figures.utilization,
            figures.yield_ms,
            figures.recover_ms,
        );
    }
    ExitCode::SUCCESS
}

/// Measures spreads of a version and prints a row for each.
pub(crate) fn spread(flags: &args::Spread) -> io::Result<ExitCode> {
    let default = spread::command::Options::default();
    let options = spread::command::Options {
        policy: flags.policy.clone().unwrap_or(default.policy),
        members: flags.n.clone().unwrap_or(default.members),
        bytes: flags.bytes.unwrap_or(default.bytes),
        chunk_bytes: flags.chunk_bytes.unwrap_or(default.chunk_bytes),
        origin_rate: flags.origin_rate.unwrap_or(default.origin_rate),
        link_rate: flags.link_rate.unwrap_or(default.link_rate),
        kill_percent: flags.kill_percent.unwrap_or(default.kill_percent),
        seed: flags.seed.unwrap_or(default.seed),
    };
    spread::command::run(&options)?;
    Ok(ExitCode::SUCCESS)
}

/// Prints an error and returns its exit code.
pub(crate) fn report_error(error: &io::Error) -> ExitCode {
    eprintln!("{error}");
    ExitCode::from(EXIT_ERROR)
}

/// Runs the experiment of a file and returns the number of violations.
fn run_file(path: &Path, folder: &Path) -> io::Result<usize> {
    run_document(&Document::read(path)?, folder)
}

/// Runs an experiment, writes its results and returns the number of violations.
fn run_document(document: &Document, folder: &Path) -> io::Result<usize> {
    let runtime = tokio::runtime::Runtime::new()?;
    let run = runtime.block_on(run::run(document))?;
    files::write(folder, &run)?;
    println!("{}", markdown::render(&run.outcome));
    Ok(run.outcome.violations.len())
}
