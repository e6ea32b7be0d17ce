//! `check`: findings of settings files and lists.

use std::{fs, path::Path};

use pistachiolug_lists::document::{Document, Text};
use pistachiolug_settings::{finding::Finding, load, ports};

use crate::{args, exit::Exit, output};

/// One file that is checked.
struct File {
    name: String,
    text: String,
}

/// What a file holds, told by its fields.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Content {
    Customers,
    Plans,
    Operator,
    Daemon,
}

/// Runs the command.
pub fn run(flags: &args::Check) -> Exit {
    let mut files = Vec::new();
    for path in &flags.files {
        match read(path) {
            Ok(file) => files.push(file),
            Err(exit) => return exit,
        }
    }
    if files.is_empty() {
        return output::fail(Exit::Usage, "name at least one file");
    }
    let findings = check(&files, flags.live);
    if flags.json {
        output::print_json(&findings);
    }
    match (findings.is_empty(), flags.json) {
        (true, false) => {
            output::print(&format!("{} files hold", files.len()));
            Exit::Done
        }
        (true, true) => Exit::Done,
        (false, true) => Exit::Findings,
        (false, false) => output::report_findings(&findings),
    }
}

fn read(path: &Path) -> Result<File, Exit> {
    let name = path.display().to_string();
    match fs::read_to_string(path) {
        Ok(text) => Ok(File { name, text }),
        Err(error) => Err(output::fail(Exit::Unavailable, &format!("{name}: {error}"))),
    }
}

fn check(files: &[File], live: bool) -> Vec<Finding> {
    let of = |content: Content| files.iter().filter(move |file| kind(&file.text) == content);
    let mut findings: Vec<Finding> = of(Content::Operator)
        .filter_map(|file| load::operator(&file.name, &file.text).err())
        .flatten()
        .collect();
    findings.extend(of(Content::Daemon).flat_map(|file| daemon(file, live)));
    findings.extend(lists(
        &of(Content::Customers).collect::<Vec<_>>(),
        &of(Content::Plans).collect::<Vec<_>>(),
    ));
    findings
}

fn kind(text: &str) -> Content {
    let has = |name| load::has_field(text, name);
    if has("customers") {
        Content::Customers
    } else if has("plans") || has("models") {
        Content::Plans
    } else if has("key_value") {
        Content::Operator
    } else {
        Content::Daemon
    }
}

fn daemon(file: &File, live: bool) -> Vec<Finding> {
    match load::daemon(&file.name, &file.text, None) {
        Ok(settings) if live => ports::check(&file.name, &settings),
        Ok(_) => Vec::new(),
        Err(findings) => findings,
    }
}

/// Checks each customers list with the plans list named at the same turn; one without the other only by itself.
fn lists(customers: &[&File], plans: &[&File]) -> Vec<Finding> {
    let turns = customers.len().max(plans.len());
    let pairs = (0..turns).map(|turn| (customers.get(turn), plans.get(turn)));
    pairs
        .flat_map(|(customers, plans)| {
            let parsed = Document::parse(text(customers), text(plans));
            parsed.err().unwrap_or_default()
        })
        .filter(|finding| !finding.document.is_empty())
        .collect()
}

/// Returns a file's text; a missing file is an empty text without a name.
fn text<'a>(file: Option<&&'a File>) -> Text<'a> {
    Text {
        name: file.map_or("", |file| &file.name),
        text: file.map_or("", |file| &file.text),
    }
}
