//! Preview of an apply: its effect on the rows of the key-value service, computed without writing.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use pistachiolug_platform::kv::{self, Entry, Store};
use pistachiolug_settings::finding::Finding;
use snafu::ResultExt;
use tokio::time::sleep;

use super::{Error, Operator, ReadFailedSnafu};
use crate::{
    base::{self, Base},
    check,
    difference::{Conflict, Difference},
    document::Document,
    lists::Lists,
    merge::{self, Merge},
    row::{Kind, Name, PREFIX, Row, Stored},
};

/// Maximum number of attempts to read the rows.
const MAX_ATTEMPTS: u32 = 10;

/// Backoff after the first failed attempt; doubles with every further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Maximum backoff between two attempts.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Effect that applying the documents would have.
#[derive(Debug, Clone, Default)]
pub struct Preview {
    /// Rows that would be written.
    pub differences: Vec<Difference>,
    /// Rows that both sides changed; nothing is written while there are any.
    pub conflicts: Vec<Conflict>,
    /// Rows of the service that are neither in the documents nor in the base; they are kept.
    pub unmanaged: Vec<Name>,
    /// Rows that others changed since the checkout; they are kept, and the checkout should be updated.
    pub behind: Vec<Name>,
    /// Rules that the resulting lists would violate; nothing is written while there are any.
    pub findings: Vec<Finding>,
    /// Revision at which the service's rows were read.
    pub revision: u64,
    pub(super) service: BTreeMap<Name, ServiceRow>,
}

/// Row as stored in the key-value service.
#[derive(Debug, Clone)]
pub(super) struct ServiceRow {
    pub(super) revision: u64,
    /// `None` if the stored value is not a valid row.
    pub(super) stored: Option<Stored>,
}

impl Preview {
    /// Returns whether an apply would write its changes: there are no conflicts and no violations.
    pub fn is_applicable(&self) -> bool {
        self.conflicts.is_empty() && self.findings.is_empty()
    }
}

/// Computes the effect of an apply without writing anything.
///
/// # Errors
/// Returns [`Error::ReadFailed`] if the service's rows cannot be read.
pub async fn preview<S: Store>(
    store: &S,
    document: &Document,
    base: &Base,
    operator: &Operator,
) -> Result<Preview, Error> {
    let range = read_rows(store).await.context(ReadFailedSnafu)?;
    let mut preview = Preview {
        revision: range.position.revision,
        service: range.entries.iter().filter_map(parse_entry).collect(),
        ..Preview::default()
    };
    for name in all_names(document, base, &preview.service) {
        let row = document.rows.get(&name);
        let service = preview.service.get(&name);
        match decide_merge(&name, row, service, base, operator) {
            Merge::Same => {}
            Merge::Behind => preview.behind.push(name),
            Merge::Unmanaged => preview.unmanaged.push(name),
            Merge::Conflict => preview.conflicts.push(conflict(&name, row, service)),
            Merge::Write => {
                let before = service.and_then(ServiceRow::row);
                let difference = Difference::between(&name, before, row);
                preview.differences.push(difference);
            }
        }
    }
    preview.findings = findings(&preview, document);
    Ok(preview)
}

pub(super) async fn read_rows<S: Store>(store: &S) -> Result<kv::Range, kv::Error> {
    let mut backoff = INITIAL_BACKOFF;
    for _ in 1..MAX_ATTEMPTS {
        match store.range(PREFIX).await {
            Ok(range) => return Ok(range),
            Err(error) => log::debug!(error:% = error; "failed to read the rows for an apply"),
        }
        sleep(backoff.mul_f64(rand::random_range(0.5..1.0))).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
    store.range(PREFIX).await
}

fn decide_merge(
    name: &Name,
    row: Option<&Row>,
    service: Option<&ServiceRow>,
    base: &Base,
    operator: &Operator,
) -> Merge {
    if service.is_some_and(|service| service.stored.is_none()) {
        // A value that is not a valid row is replaced only if the operator prefers the document's row.
        return match (row, operator.prefer.contains(name)) {
            (Some(_), true) => Merge::Write,
            (Some(_), false) => Merge::Conflict,
            (None, _) => Merge::Unmanaged,
        };
    }
    let merged = merge::merge_row(base.rows.get(name), row, service.and_then(ServiceRow::row));
    match merged {
        Merge::Conflict | Merge::Behind | Merge::Unmanaged if operator.prefer.contains(name) => {
            Merge::Write
        }
        merged => merged,
    }
}

fn all_names(
    document: &Document,
    base: &Base,
    service: &BTreeMap<Name, ServiceRow>,
) -> BTreeSet<Name> {
    let names = document.rows.keys().chain(base.rows.keys());
    names.chain(service.keys()).cloned().collect()
}

/// Returns `base` updated with the rows on which the document and the service agree.
pub(super) fn agreed_base(base: &Base, document: &Document, preview: &Preview) -> Base {
    let mut agreed = base.clone();
    for name in all_names(document, base, &preview.service) {
        let row = document.rows.get(&name);
        if row != preview.service.get(&name).and_then(ServiceRow::row) {
            continue;
        }
        match row {
            Some(row) => drop(agreed.rows.insert(name, base::digest(row))),
            None => drop(agreed.rows.remove(&name)),
        }
    }
    agreed
}

/// Returns the rules that the resulting rows would violate and that the service's rows do not violate already.
fn findings(preview: &Preview, document: &Document) -> Vec<Finding> {
    let mut rows: BTreeMap<&Name, &Row> = preview
        .service
        .iter()
        .filter_map(|(name, service)| service.row().map(|row| (name, row)))
        .collect();
    let before = violations(&rows);
    for difference in &preview.differences {
        match document.rows.get(&difference.name) {
            Some(row) => drop(rows.insert(&difference.name, row)),
            None => drop(rows.remove(&difference.name)),
        }
    }
    let after = violations(&rows);
    after.difference(&before).map(finding).collect()
}

/// Row with the field, reason and fix of a violation; ordered, unlike [`check::Violation`].
type RowViolation = (Name, String, String, String);

fn violations(rows: &BTreeMap<&Name, &Row>) -> BTreeSet<RowViolation> {
    let mut lists = Lists::default();
    for row in rows.values() {
        lists.insert((*row).clone());
    }
    let violations = rows.iter().flat_map(|(name, row)| {
        let violations = check::check_with_lists(row, &lists).into_iter();
        violations.map(|it| ((*name).clone(), it.field, it.reason, it.fix))
    });
    violations.collect()
}

fn finding((name, field, reason, fix): &RowViolation) -> Finding {
    let kind = check::kind_label(name.kind);
    Finding {
        document: "lists".to_owned(),
        place: None,
        field: format!("{kind} `{}`: {field}", name.name),
        reason: reason.clone(),
        mend: fix.clone(),
    }
}

pub(super) fn conflict(name: &Name, row: Option<&Row>, service: Option<&ServiceRow>) -> Conflict {
    let stored = service.and_then(|service| service.stored.as_ref());
    Conflict {
        name: name.clone(),
        document: row.map(Row::render),
        service: stored.map(|stored| stored.row.render()),
        by: stored.and_then(|stored| stored.edit.clone()),
        revision: service.map_or(0, |service| service.revision),
    }
}

fn parse_entry(entry: &Entry) -> Option<(Name, ServiceRow)> {
    let name = Name::parse(&entry.key).filter(|name| Kind::EDITED.contains(&name.kind))?;
    let service = parse_service_row(name.kind, entry);
    Some((name, service))
}

pub(super) fn parse_service_row(kind: Kind, entry: &Entry) -> ServiceRow {
    ServiceRow {
        revision: entry.revision,
        stored: Stored::parse(kind, &entry.value).ok(),
    }
}

impl ServiceRow {
    pub(super) fn row(&self) -> Option<&Row> {
        self.stored.as_ref().map(|stored| &stored.row)
    }
}
