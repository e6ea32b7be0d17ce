//! `check`: checks settings files and lists.

use std::{fs, path::Path};

use pistachiolug_lists::document::{Document, Text};
use pistachiolug_settings::{finding::Finding, load, ports};

use crate::{args, exit::Exit, output};

/// File to check.
struct File {
    name: String,
    text: String,
}

/// Kind of a file, recognized by its fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Customers,
    Plans,
    Operator,
    Daemon,
}

/// Checks all files and prints the findings.
pub fn run(flags: &args::Check) -> Exit {
    let mut files = Vec::new();
    for path in &flags.files {
        match read_file(path) {
            Ok(file) => files.push(file),
            Err(exit) => return exit,
        }
    }
    if files.is_empty() {
        return output::fail(Exit::Usage, "give at least one file");
    }
    let findings = check(&files, flags.live);
    if flags.json {
        output::print_json(&findings);
    }
    match (findings.is_empty(), flags.json) {
        (true, false) => {
            output::print(&format!("{} files have no findings", files.len()));
            Exit::Done
        }
        (true, true) => Exit::Done,
        (false, true) => Exit::Findings,
        (false, false) => output::report_findings(&findings),
    }
}

fn read_file(path: &Path) -> Result<File, Exit> {
    let name = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => Ok(File { name, text }),
        Err(error) => Err(output::fail(Exit::Unavailable, &format!("{name}: {error}"))),
    }
}

/// Checks each file by its kind, and customers and plans lists against each other.
fn check(files: &[File], live: bool) -> Vec<Finding> {
    let of_kind = |kind: Kind| {
        files
            .iter()
            .filter(move |file| recognize(&file.text) == kind)
    };
    let mut findings: Vec<Finding> = of_kind(Kind::Operator)
        .filter_map(|file| load::operator(&file.name, &file.text).err())
        .flatten()
        .collect();
    findings.extend(of_kind(Kind::Daemon).flat_map(|file| check_daemon(file, live)));
    findings.extend(check_lists(
        &of_kind(Kind::Customers).collect::<Vec<_>>(),
        &of_kind(Kind::Plans).collect::<Vec<_>>(),
    ));
    findings
}

fn recognize(text: &str) -> Kind {
    let has = |name| load::has_field(text, name);
    if has("customers") {
        Kind::Customers
    } else if has("plans") || has("models") {
        Kind::Plans
    } else if has("key_value") {
        Kind::Operator
    } else {
        Kind::Daemon
    }
}

fn check_daemon(file: &File, live: bool) -> Vec<Finding> {
    match load::daemon(&file.name, &file.text, None) {
        Ok(settings) if live => ports::check(&file.name, &settings),
        Ok(_) => Vec::new(),
        Err(findings) => findings,
    }
}

/// Checks each customers list against the plans list at the same position among the arguments. A list without its
/// counterpart is checked alone.
fn check_lists(customers: &[&File], plans: &[&File]) -> Vec<Finding> {
    let pair_count = customers.len().max(plans.len());
    let pairs = (0..pair_count).map(|index| (customers.get(index), plans.get(index)));
    pairs
        .flat_map(|(customers, plans)| {
            let parsed = Document::parse(text(customers), text(plans));
            parsed.err().unwrap_or_default()
        })
        .filter(|finding| !finding.document.is_empty())
        .collect()
}

/// Returns the name and text of a file; both are empty if there is no file.
fn text<'a>(file: Option<&&'a File>) -> Text<'a> {
    Text {
        name: file.map_or("", |file| &file.name),
        text: file.map_or("", |file| &file.text),
    }
}
