//! Start of the daemons from their settings files.

use std::{fmt::Display, fs, future::Future, path::Path, process::ExitCode};

use pistachiolug_http::secret::Secret;
use pistachiolug_kernel::logs;
use pistachiolug_settings::{
    daemon::{Daemon, Role},
    finding::Finding,
    load, ports, secret,
};

/// Exit code of settings that do not hold.
const EXIT_SETTINGS: u8 = 1;

/// Exit code of a daemon that could not start.
const EXIT_START: u8 = 2;

/// Runs an entry.
pub(crate) fn entry(settings: &Path) -> ExitCode {
    start(settings, Role::Entry, pistachiolug_entry::process::run)
}

/// Runs an agent.
pub(crate) fn agent(settings: &Path) -> ExitCode {
    start(settings, Role::Agent, pistachiolug_agent::process::run)
}

fn start<F, R, E>(path: &Path, role: Role, run: F) -> ExitCode
where
    F: FnOnce(Daemon, Secret) -> R,
    R: Future<Output = Result<(), E>>,
    E: Display,
{
    let (settings, secret) = match read(path, role) {
        Ok(read) => read,
        Err(report) => return fail(EXIT_SETTINGS, &report),
    };
    logs::init(&settings.log_level);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    let ended = match runtime {
        Ok(runtime) => runtime
            .block_on(run(settings, secret))
            .map_err(|error| error.to_string()),
        Err(error) => Err(error.to_string()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(EXIT_START, &error),
    }
}

fn read(path: &Path, role: Role) -> Result<(Daemon, Secret), String> {
    let document = path.display().to_string();
    let text = fs::read_to_string(path).map_err(|error| format!("{document}: {error}"))?;
    let settings = load::daemon(&document, &text, Some(role)).map_err(|found| report(&found))?;
    let busy = ports::check(&document, &settings);
    if !busy.is_empty() {
        return Err(report(&busy));
    }
    let secret = secret::read(settings.secret_file.as_deref());
    let secret = secret.map_err(|error| format!("{document}: {error}"))?;
    Ok((settings, Secret::new(&secret)))
}

fn report(findings: &[Finding]) -> String {
    let lines: Vec<String> = findings.iter().map(ToString::to_string).collect();
    lines.join("\n")
}

#[allow(clippy::print_stderr)]
fn fail(code: u8, report: &str) -> ExitCode {
    eprintln!("{report}");
    ExitCode::from(code)
}
