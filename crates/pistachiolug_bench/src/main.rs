//! Command line of the load tool.

mod args;
mod command;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = args::Bench::from_env_or_exit();
    let result = match flags.subcommand {
        args::BenchCmd::Standin(flags) => command::standin(&flags),
        args::BenchCmd::Run(flags) => command::run(&flags),
        args::BenchCmd::Chaos(flags) => command::chaos(&flags),
        args::BenchCmd::Capacity(flags) => command::capacity(&flags),
        args::BenchCmd::Demo(flags) => command::demo(&flags),
        args::BenchCmd::Compare(flags) => command::compare(&flags),
        args::BenchCmd::Shaping(_) => Ok(command::shaping()),
        args::BenchCmd::Spread(flags) => command::spread(&flags),
    };
    match result {
        Ok(code) => code,
        Err(error) => command::report_error(&error),
    }
}
