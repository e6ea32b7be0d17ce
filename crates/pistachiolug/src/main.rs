//! Entry point of the `pistachiolug` program.

use std::process::ExitCode;

use pistachiolug::{
    args::{Pistachiolug, PistachiolugCmd},
    command, daemon,
};

fn main() -> ExitCode {
    let flags = Pistachiolug::from_env_or_exit();
    match flags.subcommand {
        PistachiolugCmd::Entry(entry) => daemon::run_entry(&entry.settings).into(),
        PistachiolugCmd::Agent(agent) => daemon::run_agent(&agent.settings).into(),
        PistachiolugCmd::Check(check) => command::check::run(&check).into(),
        PistachiolugCmd::Apply(apply) => command::apply::run(&apply).into(),
        PistachiolugCmd::Lists(lists) => command::lists::run(&lists).into(),
        PistachiolugCmd::Status(status) => command::status::run(&status).into(),
        PistachiolugCmd::Dump(dump) => command::dump::run(&dump).into(),
        PistachiolugCmd::Digest(_) => command::digest::run().into(),
        PistachiolugCmd::Demo(demo) => command::demo::run(&demo).into(),
    }
}
