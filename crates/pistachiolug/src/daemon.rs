//! Commands that run the daemons from their settings files.

use std::{error::Error, fmt::Display, future::Future, path::Path};

use pistachiolug_http::secret::Secret;
use pistachiolug_kernel::{kernel, logs};
use pistachiolug_settings::{
    daemon::{Daemon, Role},
    load, ports, secret,
    source::Source,
};

use crate::{exit::Exit, output};

/// Number of worker threads of a daemon, in addition to those of its HTTP servers.
const WORKER_THREADS: usize = 2;

/// Runs an entry until it is stopped.
pub fn run_entry(settings: &Path) -> Exit {
    run_daemon(settings, Role::Entry, pistachiolug_entry::process::run)
}

/// Runs an agent until it is stopped.
pub fn run_agent(settings: &Path) -> Exit {
    run_daemon(settings, Role::Agent, pistachiolug_agent::process::run)
}

/// Reads the settings of a daemon and runs it.
fn run_daemon<F, R, E>(path: &Path, role: Role, run: F) -> Exit
where
    F: FnOnce(Daemon, Secret) -> R,
    R: Future<Output = Result<(), E>>,
    E: Error + 'static,
{
    let (settings, secret) = match read_settings(path, role) {
        Ok(read) => read,
        Err(exit) => return exit,
    };
    logs::init(&settings.log_level);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => return output::fail(Exit::Unavailable, &error.to_string()),
    };
    match runtime.block_on(run(settings, secret)) {
        Ok(()) => Exit::Done,
        Err(error) => output::fail(exit_code(&error), &error.to_string()),
    }
}

/// Returns the exit code for an error: `Failed` for a daemon that ran and then failed, `Unavailable` for one that could
/// not start.
fn exit_code(error: &(dyn Error + 'static)) -> Exit {
    let mut cause = Some(error);
    while let Some(error) = cause {
        if error.is::<kernel::Error>() {
            return Exit::Failed;
        }
        cause = error.source();
    }
    Exit::Unavailable
}

/// Reads and checks the settings, checks that their addresses are free, and reads the secret. Problems are printed.
fn read_settings(path: &Path, role: Role) -> Result<(Daemon, Secret), Exit> {
    let document = path.display().to_string();
    let unavailable = |error: &dyn Display| {
        let report = format!("{document}: {error}");
        output::fail(Exit::Unavailable, &report)
    };
    let source = Source::read(path).map_err(|error| unavailable(&error))?;
    let settings = source.parse(|name, text| load::daemon(name, text, Some(role)));
    let settings = settings.map_err(|findings| output::report_findings(&findings))?;
    let unavailable_ports = ports::check(&document, &settings);
    if !unavailable_ports.is_empty() {
        return Err(output::report_findings(&unavailable_ports));
    }
    let secret = secret::read(settings.secret_file.as_deref());
    let secret = secret.map_err(|error| unavailable(&error))?;
    Ok((settings, Secret::new(&secret)))
}
