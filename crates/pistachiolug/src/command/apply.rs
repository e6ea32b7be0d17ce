//! `apply`: updates the rows in the key-value service to those of the operators' two lists.

use std::{
    collections::BTreeSet,
    env,
    fmt::Display,
    fs, io,
    path::{Path, PathBuf},
};

use pistachiolug_lists::{
    apply::{self, Error, Outcome, Preview},
    base::Base,
    difference::Conflict,
    document::Document,
    row::{Kind, Name},
};
use pistachiolug_settings::source::Source;
use serde::Serialize;

use super::with_operator;
use crate::{args, exit::Exit, operator::Operator, output};

/// Name of the base file, beside the customers list. It has the digests of the rows when the lists last agreed with the
/// service.
const BASE_FILE: &str = "lists.applied.json";

/// Author in the history if neither `--author` nor `$USER` is set.
const DEFAULT_AUTHOR: &str = "unnamed";

/// JSON report of an apply, for scripts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Whether nothing was written because of `--dry-run`.
    pub dry_run: bool,
    /// Rows that differ from the service and are written unless this is a dry run.
    pub rows: Vec<Row>,
    /// Rows that someone else has changed as well; they are not overwritten.
    pub conflicts: Vec<Name>,
    /// Rows of the service that these lists never contained; they are kept.
    pub unmanaged: Vec<Name>,
    /// Rows that others have changed since this checkout; they are kept.
    pub behind: Vec<Name>,
    /// Revision that includes all writes.
    pub revision: u64,
}

/// One row of a [`Report`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Row {
    /// Kind and name of the row.
    pub name: Name,
    /// `add`, `change` or `remove`.
    pub verb: &'static str,
}

/// Lists and base of a checkout, as they were read.
struct Input {
    document: Document,
    base: Base,
    base_path: PathBuf,
    author: apply::Operator,
}

/// Shows the differences between the lists and the service, and applies them unless this is a dry run.
pub fn run(flags: &args::Apply) -> Exit {
    let input = match read_input(flags) {
        Ok(input) => input,
        Err(exit) => return exit,
    };
    with_operator(flags.settings.as_deref(), async |operator| {
        let preview = apply::preview(&operator.store, &input.document, &input.base, &input.author);
        match preview.await {
            Ok(preview) => apply_preview(&operator, &input, &preview, flags).await,
            Err(error) => report_error(&error),
        }
    })
}

fn read_input(flags: &args::Apply) -> Result<Input, Exit> {
    let customers = read_file(&flags.customers)?;
    let plans = read_file(&flags.plans)?;
    let document = Document::decode(&customers, &plans);
    let document = document.map_err(|findings| output::report_findings(&findings))?;
    let base_path = flags.customers.with_file_name(BASE_FILE);
    let prefer = flags.prefer.iter().map(|text| parse_name(text));
    let prefer: Result<BTreeSet<Name>, Exit> = prefer.collect();
    Ok(Input {
        document,
        base: read_base(&base_path)?,
        base_path,
        author: apply::Operator {
            author: author(flags),
            prefer: prefer?,
        },
    })
}

fn read_file(path: &Path) -> Result<Source, Exit> {
    Source::read(path).map_err(|error| report_file_error(path, &error))
}

fn read_base(path: &Path) -> Result<Base, Exit> {
    let fail = |reason: &dyn Display| {
        let report = format!("{reason}; restore it from version control");
        output::fail(Exit::Findings, &report)
    };
    match Source::read(path) {
        Ok(Source {
            fault: Some(fault), ..
        }) => Err(fail(&fault)),
        Ok(source) => Base::parse(&source.text)
            .map_err(|error| fail(&format_args!("{}: {error}", source.name))),
        // Without a base file, the lists were never applied from this folder.
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Base::default()),
        Err(error) => Err(report_file_error(path, &error)),
    }
}

/// Prints the error of a file that can't be read or written.
fn report_file_error(path: &Path, error: &io::Error) -> Exit {
    output::fail(Exit::Unavailable, &format!("{}: {error}", path.display()))
}

/// Returns the author for the history.
fn author(flags: &args::Apply) -> String {
    let author = flags.author.clone().or_else(|| env::var("USER").ok());
    author.unwrap_or_else(|| DEFAULT_AUTHOR.to_owned())
}

/// Parses the name of a row, such as `customers/delis`.
fn parse_name(text: &str) -> Result<Name, Exit> {
    let parts = text.split_once('/');
    let name = parts.and_then(|(kind, name)| {
        let kind = Kind::ALL.into_iter().find(|known| known.as_str() == kind)?;
        Some(Name {
            kind,
            name: name.to_owned(),
        })
    });
    name.ok_or_else(|| {
        let report = format!("--prefer {text}: expected a kind and a name such as customers/delis");
        output::fail(Exit::Usage, &report)
    })
}

/// Shows the preview, then writes the differences unless there are findings or conflicts or this is a dry run.
async fn apply_preview(
    operator: &Operator,
    input: &Input,
    preview: &Preview,
    flags: &args::Apply,
) -> Exit {
    if !flags.json {
        show(preview);
    }
    if !preview.findings.is_empty() {
        return output::report_findings(&preview.findings);
    }
    if !preview.conflicts.is_empty() {
        print_json_if(flags, preview, preview.revision);
        return report_conflicts(&preview.conflicts);
    }
    if flags.dry_run {
        print_json_if(flags, preview, preview.revision);
        return Exit::Done;
    }
    let result = apply::run(&operator.store, &input.document, &input.base, &input.author).await;
    let written = match &result {
        Ok(outcome) => Some(outcome),
        Err(Error::Conflicts { outcome, .. } | Error::Interrupted { outcome, .. }) => {
            Some(&**outcome)
        }
        Err(_) => None,
    };
    if let Some(Err(exit)) = written.map(|outcome| write_base(input, outcome)) {
        return exit;
    }
    match result {
        Ok(outcome) => {
            print_json_if(flags, preview, outcome.revision);
            finish(operator, &outcome, flags).await
        }
        Err(error) => report_error(&error),
    }
}

/// Writes the base file. This is also necessary after an interrupted apply, for the rows it has written.
fn write_base(input: &Input, outcome: &Outcome) -> Result<(), Exit> {
    let result = fs::write(&input.base_path, outcome.base.render());
    result.map_err(|error| report_file_error(&input.base_path, &error))
}

/// Prints the preview as text.
fn show(preview: &Preview) {
    for difference in &preview.differences {
        output::print(&difference.to_string());
    }
    for (names, note) in [
        (&preview.unmanaged, "not in these lists, kept"),
        (
            &preview.behind,
            "changed by others since this checkout, kept; update the checkout",
        ),
    ] {
        for name in names {
            output::print(&format!("{}/{}: {note}", name.kind.as_str(), name.name));
        }
    }
    if preview.differences.is_empty() && preview.conflicts.is_empty() {
        output::print("nothing to change");
    }
}

fn print_json_if(flags: &args::Apply, preview: &Preview, revision: u64) {
    if !flags.json {
        return;
    }
    let rows = preview.differences.iter().map(|difference| Row {
        name: difference.name.clone(),
        verb: difference.verb.as_str(),
    });
    output::print_json(&Report {
        dry_run: flags.dry_run,
        rows: rows.collect(),
        conflicts: preview
            .conflicts
            .iter()
            .map(|conflict| conflict.name.clone())
            .collect(),
        unmanaged: preview.unmanaged.clone(),
        behind: preview.behind.clone(),
        revision,
    });
}

async fn finish(operator: &Operator, outcome: &Outcome, flags: &args::Apply) -> Exit {
    if !flags.json {
        let (rows, revision) = (outcome.written.len(), outcome.revision);
        output::print(&format!("{rows} rows written, revision {revision}"));
    }
    match flags.wait {
        Some(seconds) => super::lists::wait_for(operator, outcome.revision, seconds).await,
        None => Exit::Done,
    }
}

fn report_error(error: &Error) -> Exit {
    match error {
        Error::Findings { findings } => output::report_findings(findings),
        Error::Conflicts { conflicts, .. } => report_conflicts(conflicts),
        Error::ReadFailed { .. } | Error::Interrupted { .. } => {
            let report = format!("{error}; run apply again, which is always safe");
            output::fail(Exit::Unavailable, &report)
        }
    }
}

fn report_conflicts(conflicts: &[Conflict]) -> Exit {
    for conflict in conflicts {
        output::fail(Exit::Conflict, &conflict.to_string());
    }
    let advice = "update the checkout, or overwrite the row with yours by --prefer KIND/NAME";
    output::fail(Exit::Conflict, advice)
}
