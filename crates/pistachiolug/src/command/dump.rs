//! `dump`: prints the state of one process.

use crate::{args, exit::Exit, output};

/// Prints the state dump of a process as JSON.
pub fn run(flags: &args::Dump) -> Exit {
    super::with_operator(flags.settings.as_deref(), async |operator| {
        match operator.dump(flags.address).await {
            Ok(state) => output::print_json(&state),
            Err(error) => output::fail(Exit::Unavailable, &error.to_string()),
        }
    })
}
