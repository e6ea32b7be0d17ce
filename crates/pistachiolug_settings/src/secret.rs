//! Secrets, which come from a file or the environment and are never shown.

use std::{env, fs, io};

use crate::daemon::Daemon;

/// Environment variable that holds the deployment's secret when no file is set.
pub const VARIABLE: &str = "PISTACHIOLUG_SECRET";

/// Reads the deployment's secret.
///
/// # Errors
/// Returns the error of the file, or `NotFound` when neither a file nor the variable is set.
pub fn read(settings: &Daemon) -> io::Result<String> {
    let text = match &settings.secret_file {
        Some(path) => fs::read_to_string(path)?,
        None => env::var(VARIABLE).map_err(|_| {
            io::Error::new(
                io::ErrorKind::NotFound,
                format!("set `secret_file` or the variable {VARIABLE}"),
            )
        })?,
    };
    Ok(text.trim().to_owned())
}
