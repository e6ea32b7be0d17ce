//! `demo`: starts the program that holds the demo, so that the daemons never link it.

use std::{
    env, io,
    path::PathBuf,
    process::{Command, ExitCode},
};

use crate::{args, exit::Exit, output};

/// Program with the demo; it is installed beside this one.
const PROGRAM: &str = "pistachiolug-bench";

/// Runs the command and passes its exit code on.
pub fn run(flags: &args::Demo) -> ExitCode {
    let started = sibling().and_then(|program| {
        let mut command = Command::new(program);
        command.arg("demo");
        if flags.stay {
            command.arg("--stay");
        }
        command.status()
    });
    match started {
        Ok(status) => {
            let code = status.code().and_then(|code| u8::try_from(code).ok());
            code.map_or(Exit::Broken.into(), ExitCode::from)
        }
        Err(error) => output::fail(Exit::Unavailable, &error.to_string()).into(),
    }
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
