//! `apply`: brings the key-value service into line with the operators' two lists.

use std::{
    collections::BTreeSet,
    env, fs, io,
    path::{Path, PathBuf},
};

use pistachiolug_lists::{
    apply::{self, Error, Outcome, Preview},
    base::Base,
    difference::Conflict,
    document::{Document, Text},
    row::{Kind, Name},
};
use serde::Serialize;

use super::with_operator;
use crate::{args, exit::Exit, operator::Operator, output};

/// File beside the customers list with the rows' digests when the lists last agreed with the service.
const BASE_FILE: &str = "lists.applied.json";

/// Name of an operator who gives none.
const UNNAMED: &str = "unnamed";

/// Effect of an apply, for scripts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Report {
    /// Whether this only showed what would be done.
    pub dry_run: bool,
    /// Rows that are written.
    pub rows: Vec<Row>,
    /// Rows that someone else changed too; nothing of them is overwritten.
    pub conflicts: Vec<Name>,
    /// Rows of the service that these lists never had; they stay.
    pub unmanaged: Vec<Name>,
    /// Rows that others changed since this checkout; they stay.
    pub behind: Vec<Name>,
    /// Revision that has all the writes.
    pub revision: u64,
}

/// One row of a [`Report`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Row {
    /// Row's name.
    pub name: Name,
    /// `add`, `change` or `remove`.
    pub verb: &'static str,
}

/// Lists as they were read, with what belongs to them.
struct Input {
    document: Document,
    base: Base,
    base_path: PathBuf,
    author: apply::Operator,
}

/// Runs the command.
pub fn run(flags: &args::Apply) -> Exit {
    let input = match read(flags) {
        Ok(input) => input,
        Err(exit) => return exit,
    };
    with_operator(flags.settings.as_deref(), async |operator| {
        let planned = apply::preview(&operator.store, &input.document, &input.base, &input.author);
        match planned.await {
            Ok(plan) => carry_out(&operator, &input, &plan, flags).await,
            Err(error) => report_error(&error),
        }
    })
}

fn read(flags: &args::Apply) -> Result<Input, Exit> {
    let customers = read_file(&flags.customers)?;
    let plans = read_file(&flags.plans)?;
    let (customers_name, plans_name) = (name_of(&flags.customers), name_of(&flags.plans));
    let document = Document::parse(
        Text {
            name: &customers_name,
            text: &customers,
        },
        Text {
            name: &plans_name,
            text: &plans,
        },
    );
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

fn name_of(path: &Path) -> String {
    path.display().to_string()
}

fn read_file(path: &Path) -> Result<String, Exit> {
    fs::read_to_string(path).map_err(|error| unreadable(path, &error))
}

fn read_base(path: &Path) -> Result<Base, Exit> {
    match fs::read_to_string(path) {
        Ok(text) => Base::parse(&text).map_err(|error| {
            let report = format!("{}: {error}; take it from version control", path.display());
            output::fail(Exit::Findings, &report)
        }),
        // The lists were never applied from this folder.
        Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(Base::default()),
        Err(error) => Err(unreadable(path, &error)),
    }
}

fn unreadable(path: &Path, error: &io::Error) -> Exit {
    output::fail(Exit::Unavailable, &format!("{}: {error}", path.display()))
}

fn author(flags: &args::Apply) -> String {
    let named = flags.author.clone().or_else(|| env::var("USER").ok());
    named.unwrap_or_else(|| UNNAMED.to_owned())
}

/// Reads a row's name such as `customers/delis`.
fn parse_name(text: &str) -> Result<Name, Exit> {
    let parts = text.split_once('/');
    let named = parts.and_then(|(kind, name)| {
        let kind = Kind::ALL.into_iter().find(|known| known.as_str() == kind)?;
        Some(Name {
            kind,
            name: name.to_owned(),
        })
    });
    named.ok_or_else(|| {
        let report = format!("--prefer {text}: write a kind and a name such as customers/delis");
        output::fail(Exit::Usage, &report)
    })
}

async fn carry_out(
    operator: &Operator,
    input: &Input,
    plan: &Preview,
    flags: &args::Apply,
) -> Exit {
    if !flags.json {
        show(plan);
    }
    if !plan.findings.is_empty() {
        return output::report_findings(&plan.findings);
    }
    if !plan.conflicts.is_empty() {
        print_json_if(flags, plan, plan.revision);
        return report_conflicts(&plan.conflicts);
    }
    if flags.dry_run {
        print_json_if(flags, plan, plan.revision);
        return Exit::Done;
    }
    let ran = apply::run(&operator.store, &input.document, &input.base, &input.author).await;
    let kept = match &ran {
        Ok(outcome) => Some(outcome),
        Err(Error::Conflicts { outcome, .. } | Error::Interrupted { outcome, .. }) => {
            Some(&**outcome)
        }
        Err(_) => None,
    };
    if let Some(Err(exit)) = kept.map(|outcome| keep_base(input, outcome)) {
        return exit;
    }
    match ran {
        Ok(outcome) => {
            print_json_if(flags, plan, outcome.revision);
            finish(operator, &outcome, flags).await
        }
        Err(error) => report_error(&error),
    }
}

fn keep_base(input: &Input, outcome: &Outcome) -> Result<(), Exit> {
    let written = fs::write(&input.base_path, outcome.base.render());
    written.map_err(|error| unreadable(&input.base_path, &error))
}

fn show(plan: &Preview) {
    for difference in &plan.differences {
        output::print(&difference.to_string());
    }
    for (names, note) in [
        (&plan.unmanaged, "not in these lists, stays"),
        (
            &plan.behind,
            "changed by others since this checkout, stays; update the checkout",
        ),
    ] {
        for name in names {
            output::print(&format!("{}/{}: {note}", name.kind.as_str(), name.name));
        }
    }
    if plan.differences.is_empty() && plan.conflicts.is_empty() {
        output::print("nothing to change");
    }
}

fn print_json_if(flags: &args::Apply, plan: &Preview, revision: u64) {
    if !flags.json {
        return;
    }
    let rows = plan.differences.iter().map(|difference| Row {
        name: difference.name.clone(),
        verb: difference.verb.as_str(),
    });
    output::print_json(&Report {
        dry_run: flags.dry_run,
        rows: rows.collect(),
        conflicts: plan.conflicts.iter().map(|it| it.name.clone()).collect(),
        unmanaged: plan.unmanaged.clone(),
        behind: plan.behind.clone(),
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
    let advice = "update the checkout, or take your row with --prefer KIND/NAME";
    output::fail(Exit::Conflict, advice)
}
