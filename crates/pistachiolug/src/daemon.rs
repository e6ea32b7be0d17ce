//! Start of the daemons from their settings files.

use std::{error::Error, fmt::Display, fs, future::Future, path::Path};

use pistachiolug_http::secret::Secret;
use pistachiolug_kernel::{kernel, logs};
use pistachiolug_settings::{
    daemon::{Daemon, Role},
    load, ports, secret,
};

use crate::{exit::Exit, output};

/// Worker threads of a daemon beside those of its servers.
const THREADS: usize = 2;

/// Runs an entry.
pub fn run_entry(settings: &Path) -> Exit {
    start(settings, Role::Entry, pistachiolug_entry::process::run)
}

/// Runs an agent.
pub fn run_agent(settings: &Path) -> Exit {
    start(settings, Role::Agent, pistachiolug_agent::process::run)
}

fn start<F, R, E>(path: &Path, role: Role, run: F) -> Exit
where
    F: FnOnce(Daemon, Secret) -> R,
    R: Future<Output = Result<(), E>>,
    E: Error + 'static,
{
    let (settings, secret) = match read(path, role) {
        Ok(read) => read,
        Err(exit) => return exit,
    };
    logs::init(&settings.log_level);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(THREADS)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return output::fail(Exit::Unavailable, &error.to_string()),
    };
    match runtime.block_on(run(settings, secret)) {
        Ok(()) => Exit::Done,
        Err(error) => output::fail(exit(&error), &error.to_string()),
    }
}

/// Tells a daemon that ran and failed from one that could not start.
fn exit(error: &(dyn Error + 'static)) -> Exit {
    let mut cause = Some(error);
    while let Some(error) = cause {
        if error.is::<kernel::Error>() {
            return Exit::Failed;
        }
        cause = error.source();
    }
    Exit::Unavailable
}

fn read(path: &Path, role: Role) -> Result<(Daemon, Secret), Exit> {
    let document = path.display().to_string();
    let unavailable = |error: &dyn Display| {
        let report = format!("{document}: {error}");
        output::fail(Exit::Unavailable, &report)
    };
    let text = fs::read_to_string(path).map_err(|error| unavailable(&error))?;
    let settings = load::daemon(&document, &text, Some(role));
    let settings = settings.map_err(|findings| output::report_findings(&findings))?;
    let busy = ports::check(&document, &settings);
    if !busy.is_empty() {
        return Err(output::report_findings(&busy));
    }
    let secret = secret::read(settings.secret_file.as_deref());
    let secret = secret.map_err(|error| unavailable(&error))?;
    Ok((settings, Secret::new(&secret)))
}
