//! The deployment's secret, which comes from a file or the environment and is never printed.

use std::{env, fs, io, path::Path};

/// Environment variable with the deployment's secret, read if no file is set.
pub const VARIABLE: &str = "PISTACHIOLUG_SECRET";

/// Reads the deployment's secret from a file, or from [`VARIABLE`] if `file` is `None`.
///
/// # Errors
/// Returns the error of reading the file, `NotFound` if neither file nor variable is set, or `InvalidData` if the
/// secret is empty or not allowed in an HTTP header.
pub fn read(file: Option<&str>) -> io::Result<String> {
    let (origin, content) = if let Some(path) = file {
        let origin = format!("secret_file {path}");
        let content = fs::read(Path::new(path))
            .map_err(|error| io::Error::new(error.kind(), format!("{origin}: {error}")))?;
        (origin, content)
    } else {
        let variable = env::var_os(VARIABLE).ok_or_else(|| {
            let reason = format!(
                "no secret is set: set `secret_file` or the environment variable {VARIABLE}"
            );
            io::Error::new(io::ErrorKind::NotFound, reason)
        })?;
        (VARIABLE.to_owned(), variable.into_encoded_bytes())
    };
    let secret = str::from_utf8(&content).map_or("", str::trim);
    if secret.is_empty() || !secret.bytes().all(|byte| byte.is_ascii_graphic()) {
        let reason =
            format!("{origin}: secret is empty or contains characters other than visible ASCII");
        return Err(io::Error::new(io::ErrorKind::InvalidData, reason));
    }
    Ok(secret.to_owned())
}
