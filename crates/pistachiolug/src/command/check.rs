//! `check`: findings of settings files.

use std::{fs, path::Path};

use pistachiolug_settings::{finding::Finding, load, ports};

use crate::{args, exit::Exit, output};

/// Runs the command.
pub fn run(flags: &args::Check) -> Exit {
    let mut findings = Vec::new();
    for path in &flags.files {
        match fs::read_to_string(path) {
            Ok(text) => findings.extend(file(path, &text, flags.live)),
            Err(error) => {
                let report = format!("{}: {error}", path.display());
                return output::fail(Exit::Unavailable, &report);
            }
        }
    }
    if flags.json {
        output::print_json(&findings);
    }
    match (findings.is_empty(), flags.json) {
        (true, false) => {
            output::print(&format!("{} files hold", flags.files.len()));
            Exit::Done
        }
        (true, true) => Exit::Done,
        (false, true) => Exit::Findings,
        (false, false) => output::report(&findings),
    }
}

fn file(path: &Path, text: &str, live: bool) -> Vec<Finding> {
    let document = path.display().to_string();
    if is_operator(text) {
        return load::operator(&document, text).err().unwrap_or_default();
    }
    match load::daemon(&document, text, None) {
        Ok(settings) if live => ports::check(&document, &settings),
        Ok(_) => Vec::new(),
        Err(findings) => findings,
    }
}

/// Tells an operator's settings, which name the platform at their top, from a daemon's.
fn is_operator(text: &str) -> bool {
    load::has_field(text, "key_value")
}
