//! Apply of the operators' documents to the key-value service, row by row.

mod preview;
mod write;

use std::{
    collections::BTreeSet,
    time::{SystemTime, UNIX_EPOCH},
};

use pistachiolug_platform::kv::{self, Store};
use pistachiolug_settings::finding::Finding;
use snafu::Snafu;

pub use self::preview::{Preview, preview};
use self::{
    preview::{agreed, read},
    write::{Failure, write_row},
};
use crate::{
    base::{self, Base},
    difference::{Conflict, Difference, Verb},
    document::{self, Document},
    history::{self, Record, Written},
    row::{Edit, Kind, Name},
};

/// Who applies, and how conflicts are decided.
#[derive(Debug, Clone, Default)]
pub struct Operator {
    /// Operator's name.
    pub author: String,
    /// Rows that go into the service as the document has them, whatever others wrote.
    pub prefer: BTreeSet<Name>,
}

/// Result of an apply.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Rows that were written.
    pub written: Vec<Written>,
    /// Base to keep beside the documents.
    pub base: Base,
    /// Revision that has all of the writes; wait until places report it.
    pub revision: u64,
}

/// Reports an apply that was not carried out, or not to its end; running it again is always safe.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The result would break rules; nothing was written.
    #[snafu(display("{} findings", findings.len()))]
    Findings {
        /// All findings.
        findings: Vec<Finding>,
    },
    /// Others changed the same rows; rows before the first conflict may have been written.
    #[snafu(display("{} conflicts", conflicts.len()))]
    Conflicts {
        /// The rows.
        conflicts: Vec<Conflict>,
        /// What was written before.
        outcome: Box<Outcome>,
    },
    /// The service could not be read; nothing was written.
    #[snafu(display("{source}"))]
    ReadFailed {
        /// Cause.
        source: kv::Error,
    },
    /// The service failed in the middle.
    #[snafu(display("stopped after {} rows: {source}", outcome.written.len()))]
    Interrupted {
        /// Cause.
        source: kv::Error,
        /// What was written before.
        outcome: Box<Outcome>,
    },
}

/// Applies the documents: checks the result, then writes row by row.
///
/// # Errors
/// [`Error`].
pub async fn run<S: Store>(
    store: &S,
    document: &Document,
    base: &Base,
    operator: &Operator,
) -> Result<Outcome, Error> {
    let mut preview = preview(store, document, base, operator).await?;
    if !preview.findings.is_empty() {
        let findings = std::mem::take(&mut preview.findings);
        return FindingsSnafu { findings }.fail();
    }
    let mut outcome = Outcome {
        base: agreed(base, document, &preview),
        revision: preview.revision,
        ..Outcome::default()
    };
    if !preview.conflicts.is_empty() {
        let conflicts = std::mem::take(&mut preview.conflicts);
        return conflicted(conflicts, outcome);
    }
    let edit = Edit {
        by: operator.author.clone(),
        at_ms: now_ms(),
        token: format!("{:016x}", rand::random::<u64>()),
    };
    let written = write_all(store, document, &preview, &edit, &mut outcome).await;
    let record = Record::new(&edit.by, edit.at_ms, &edit.token, &outcome.written);
    if !outcome.written.is_empty()
        && let Err(error) = history::add(store, &record).await
    {
        log::warn!(error:% = error; "apply not recorded in the history");
    }
    match written {
        Ok(()) => Ok(outcome),
        Err(Failure::Conflict(conflict)) => conflicted(vec![*conflict], outcome),
        Err(Failure::Service(source)) => Err(Error::Interrupted {
            source,
            outcome: Box::new(outcome),
        }),
    }
}

fn conflicted(conflicts: Vec<Conflict>, outcome: Outcome) -> Result<Outcome, Error> {
    Err(Error::Conflicts {
        conflicts,
        outcome: Box::new(outcome),
    })
}

async fn write_all<S: Store>(
    store: &S,
    document: &Document,
    preview: &Preview,
    edit: &Edit,
    outcome: &mut Outcome,
) -> Result<(), Failure> {
    for difference in ordered(&preview.differences) {
        let name = &difference.name;
        let row = document.rows.get(name);
        let service = preview.service.get(name);
        let revision = write_row(store, name, row, service, edit, preview.revision).await?;
        outcome.written.push(Written {
            name: name.clone(),
            revision,
        });
        if revision == 0 {
            // The row was gone before its removal could be confirmed, so the revision of that is not known.
            let range = read(store).await.map_err(Failure::Service)?;
            outcome.revision = outcome.revision.max(range.revision);
        }
        outcome.revision = outcome.revision.max(revision);
        match row {
            Some(row) => drop(outcome.base.rows.insert(name.clone(), base::digest(row))),
            None => drop(outcome.base.rows.remove(name)),
        }
    }
    Ok(())
}

/// Orders writes so that no row refers to one that is not there yet, or is gone already.
fn ordered(differences: &[Difference]) -> impl Iterator<Item = &Difference> {
    let of = |kind: Kind, remove: bool| {
        differences
            .iter()
            .filter(move |it| it.name.kind == kind && (it.verb == Verb::Remove) == remove)
    };
    let writes = document::write_order().flat_map(move |kind| of(kind, false));
    let removals = document::write_order().rev();
    writes.chain(removals.flat_map(move |kind| of(kind, true)))
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
