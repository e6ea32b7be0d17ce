//! Command line of the load tool.

mod args;

use std::process::ExitCode;

use pistachiolug_bench::standin;

fn main() -> ExitCode {
    let flags = args::Bench::from_env_or_exit();
    match flags.subcommand {
        args::BenchCmd::Standin(flags) => run_standin(&flags),
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
