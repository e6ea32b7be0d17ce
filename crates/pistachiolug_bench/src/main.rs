//! Command line of the load tool.

mod args;

use std::process::ExitCode;

use pistachiolug_bench::{spread::command as spread, standin};

fn main() -> ExitCode {
    let flags = args::Bench::from_env_or_exit();
    match flags.subcommand {
        args::BenchCmd::Standin(flags) => run_standin(&flags),
        args::BenchCmd::Spread(flags) => run_spread(&flags),
    }
}

#[allow(clippy::print_stderr)]
fn run_standin(flags: &args::Standin) -> ExitCode {
    let options = standin::Options {
        listen: flags.listen,
        rate: flags.rate.unwrap_or(0),
        lag_ms: flags.lag_ms.unwrap_or(0),
        first_ms: flags.first_ms.unwrap_or(20),
        gap_ms: flags.gap_ms.unwrap_or(5),
        checks_fence: flags.checks_fence,
    };
    match standin::run(&flags.role, options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}

#[allow(clippy::print_stderr)]
fn run_spread(flags: &args::Spread) -> ExitCode {
    let default = spread::Options::default();
    let options = spread::Options {
        policy: flags.policy.clone().unwrap_or(default.policy),
        members: flags.n.clone().unwrap_or(default.members),
        bytes: flags.bytes.unwrap_or(default.bytes),
        chunk_bytes: flags.chunk_bytes.unwrap_or(default.chunk_bytes),
        origin_rate: flags.origin_rate.unwrap_or(default.origin_rate),
        link_rate: flags.link_rate.unwrap_or(default.link_rate),
        kill_percent: flags.kill_percent.unwrap_or(default.kill_percent),
        seed: flags.seed.unwrap_or(default.seed),
    };
    match spread::run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::from(2)
        }
    }
}
