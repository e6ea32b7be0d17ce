//! `check`: checks settings files and lists.

use std::path::Path;

use pistachiolug_lists::document::Document;
use pistachiolug_settings::{finding::Finding, load, ports, source::Source};

use crate::{args, exit::Exit, output};

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

fn read_file(path: &Path) -> Result<Source, Exit> {
    Source::read(path).map_err(|error| {
        let report = format!("{}: {error}", path.display());
        output::fail(Exit::Unavailable, &report)
    })
}

/// Checks each file by its kind, and customers and plans lists against each other.
fn check(files: &[Source], live: bool) -> Vec<Finding> {
    let of_kind = |kind: Kind| {
        files
            .iter()
            .filter(move |file| recognize(&file.text) == kind)
    };
    let mut findings: Vec<Finding> = of_kind(Kind::Operator)
        .filter_map(|file| file.parse(load::operator).err())
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

fn check_daemon(file: &Source, live: bool) -> Vec<Finding> {
    match file.parse(|name, text| load::daemon(name, text, None)) {
        Ok(settings) if live => ports::check(&file.name, &settings),
        Ok(_) => Vec::new(),
        Err(findings) => findings,
    }
}

/// Checks each customers list against the plans list at the same position among the arguments. A list without its
/// counterpart is checked alone.
fn check_lists(customers: &[&Source], plans: &[&Source]) -> Vec<Finding> {
    let pair_count = customers.len().max(plans.len());
    let absent = Source::default();
    let pairs = (0..pair_count).map(|index| (customers.get(index), plans.get(index)));
    pairs
        .flat_map(|(customers, plans)| {
            let customers = customers.copied().unwrap_or(&absent);
            let parsed = Document::decode(customers, plans.copied().unwrap_or(&absent));
            parsed.err().unwrap_or_default()
        })
        .filter(|finding| !finding.document.is_empty())
        .collect()
}
