//! Secrets, which come from a file or the environment and are never shown.

use std::{env, fs, io, path::Path};

/// Environment variable that holds the deployment's secret when no file is set.
pub const VARIABLE: &str = "PISTACHIOLUG_SECRET";

/// Reads the deployment's secret from a file, or from [`VARIABLE`] when none is set.
///
/// # Errors
/// Returns the error of the file, `NotFound` when neither is set, or `InvalidData` for an empty secret or one that
/// can't stand in a header.
pub fn read(file: Option<&str>) -> io::Result<String> {
    let text = match file {
        Some(path) => fs::read_to_string(Path::new(path)).map_err(|error| {
            io::Error::new(error.kind(), format!("secret_file {path}: {error}"))
        })?,
        None => env::var(VARIABLE).map_err(|_| {
            io::Error::new(
                io::ErrorKind::NotFound,
                format!("no secret: set `secret_file` or the variable {VARIABLE}"),
            )
        })?,
    };
    let secret = text.trim();
    if secret.is_empty() || !secret.bytes().all(|byte| byte.is_ascii_graphic()) {
        let reason = "secret is empty or has spaces or signs beyond ASCII";
        return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
    }
    Ok(secret.to_owned())
}
