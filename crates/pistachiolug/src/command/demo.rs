//! `demo`: starts the program that holds the demo, so that the daemons never link it.

use std::{env, io, os::unix::process::CommandExt, path::PathBuf, process::Command};

use crate::{args, exit::Exit, output};

/// Program with the demo; it is installed beside this one.
const PROGRAM: &str = "pistachiolug-bench";

/// Becomes the other program, so that its exit code and its signals are this command's.
pub fn run(flags: &args::Demo) -> Exit {
    let error = match sibling() {
        Ok(program) => {
            let stay = flags.stay.then_some("--stay");
            Command::new(program).arg("demo").args(stay).exec()
        }
        Err(error) => error,
    };
    output::fail(Exit::Unavailable, &error.to_string())
}

fn sibling() -> io::Result<PathBuf> {
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
