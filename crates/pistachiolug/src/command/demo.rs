//! `demo`: runs the demo, which is in another program so that the daemons do not link its code.

use std::{env, io, os::unix::process::CommandExt, path::PathBuf, process::Command};

use crate::{args, exit::Exit, output};

/// Name of the program with the demo, which is installed in the same folder as this one.
const PROGRAM: &str = "pistachiolug-bench";

/// Replaces this process by the demo program, so that signals reach it and its exit code is that of the command.
pub fn run(flags: &args::Demo) -> Exit {
    let error = match find_program() {
        Ok(program) => {
            let stay = flags.stay.then_some("--stay");
            Command::new(program).arg("demo").args(stay).exec()
        }
        Err(error) => error,
    };
    output::fail(Exit::Unavailable, &error.to_string())
}

/// Finds the demo program beside this one.
fn find_program() -> io::Result<PathBuf> {
    let program = env::current_exe()?.with_file_name(PROGRAM);
    if program.is_file() {
        return Ok(program);
    }
    let reason = format!(
        "{} is missing; run `cargo build --workspace`",
        program.display()
    );
    Err(io::Error::new(io::ErrorKind::NotFound, reason))
}
