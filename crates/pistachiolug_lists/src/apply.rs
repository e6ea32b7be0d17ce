//! Application of the operators' documents to the key-value service, row by row.

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
    preview::{agreed_base, read_rows},
    write::{Failure, write_row},
};
use crate::{
    base::{self, Base},
    difference::{Conflict, Difference, Verb},
    document::{self, Document},
    history::{self, Record, Written},
    row::{Edit, Kind, Name},
};

/// Operator who applies the documents, with the conflict resolution they ask for.
#[derive(Debug, Clone, Default)]
pub struct Operator {
    /// Operator's name, stored with every row written.
    pub author: String,
    /// Rows for which the document wins over any change in the service.
    pub prefer: BTreeSet<Name>,
}

/// Result of applying the documents.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Rows that were written or removed.
    pub written: Vec<Written>,
    /// Base to store next to the documents.
    pub base: Base,
    /// Revision that includes all writes; an instance that reports it or a later one has received them.
    pub revision: u64,
}

/// Error of an apply that wrote nothing or only some of the rows; running it again is always safe.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The resulting lists would violate rules; nothing was written.
    #[snafu(display("{} findings", findings.len()))]
    Findings {
        /// All violations.
        findings: Vec<Finding>,
    },
    /// Someone else changed the same rows; rows before the first conflict may have been written.
    #[snafu(display("{} conflicts", conflicts.len()))]
    Conflicts {
        /// Rows in conflict.
        conflicts: Vec<Conflict>,
        /// Rows written before the conflict.
        outcome: Box<Outcome>,
    },
    /// The key-value service could not be read; nothing was written.
    #[snafu(display("{source}"))]
    ReadFailed {
        /// Error of the last attempt.
        source: kv::Error,
    },
    /// The key-value service failed after some of the rows were written.
    #[snafu(display("stopped after writing {} rows: {source}", outcome.written.len()))]
    Interrupted {
        /// Error of the last attempt.
        source: kv::Error,
        /// Rows written before the failure.
        outcome: Box<Outcome>,
    },
}

/// Applies the documents: checks the resulting lists, then writes the changed rows one by one.
///
/// # Errors
/// Returns [`Error`] if the documents were not applied completely.
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
        base: agreed_base(base, document, &preview),
        revision: preview.revision,
        ..Outcome::default()
    };
    if !preview.conflicts.is_empty() {
        let conflicts = std::mem::take(&mut preview.conflicts);
        return conflict_error(conflicts, outcome);
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
        log::warn!(error:% = error; "failed to record the apply in the history");
    }
    match written {
        Ok(()) => Ok(outcome),
        Err(Failure::Conflict(conflict)) => conflict_error(vec![*conflict], outcome),
        Err(Failure::Service(source)) => Err(Error::Interrupted {
            source,
            outcome: Box::new(outcome),
        }),
    }
}

fn conflict_error(conflicts: Vec<Conflict>, outcome: Outcome) -> Result<Outcome, Error> {
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
    for difference in in_write_order(&preview.differences) {
        let name = &difference.name;
        let row = document.rows.get(name);
        let service = preview.service.get(name);
        let revision = write_row(store, name, row, service, edit, preview.revision).await?;
        outcome.written.push(Written {
            name: name.clone(),
            revision,
        });
        if revision == 0 {
            // The row was gone before its removal could be confirmed, so the revision of the removal is unknown. The
            // current revision is not lower.
            let range = read_rows(store).await.map_err(Failure::Service)?;
            outcome.revision = outcome.revision.max(range.position.revision);
        }
        outcome.revision = outcome.revision.max(revision);
        match row {
            Some(row) => drop(outcome.base.rows.insert(name.clone(), base::digest(row))),
            None => drop(outcome.base.rows.remove(name)),
        }
    }
    Ok(())
}

/// Orders the differences so that no row ever refers to a row that is not written yet or already removed.
fn in_write_order(differences: &[Difference]) -> impl Iterator<Item = &Difference> {
    let differences_of = |kind: Kind, remove: bool| {
        differences
            .iter()
            .filter(move |it| it.name.kind == kind && (it.verb == Verb::Remove) == remove)
    };
    let writes = document::write_order().flat_map(move |kind| differences_of(kind, false));
    let removals = document::write_order().rev();
    writes.chain(removals.flat_map(move |kind| differences_of(kind, true)))
}

fn now_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}
