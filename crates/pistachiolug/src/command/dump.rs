//! `dump`: one process's whole state.

use crate::{args, exit::Exit, output};

/// Runs the command.
pub fn run(flags: &args::Dump) -> Exit {
    super::with_operator(flags.settings.as_deref(), async |operator| {
        match operator.dump(flags.address).await {
            Ok(state) => output::print_json(&state),
            Err(error) => output::fail(Exit::Unavailable, &error.to_string()),
        }
    })
}
