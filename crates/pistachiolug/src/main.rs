//! Command line and daemons of pistachiolug.

mod args;
mod daemon;

use std::process::ExitCode;

fn main() -> ExitCode {
    let flags = args::Pistachiolug::from_env_or_exit();
    match flags.subcommand {
        args::PistachiolugCmd::Entry(entry) => daemon::entry(&entry.settings),
        args::PistachiolugCmd::Agent(agent) => daemon::agent(&agent.settings),
    }
}
