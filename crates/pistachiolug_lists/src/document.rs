//! Customers and plans documents: JSON with comments, validated together.

use std::collections::BTreeMap;

use pistachiolug_settings::{
    finding::Finding,
    load,
    source::{self, Source},
};
use serde::Deserialize;

use crate::{
    check::{self, Violation},
    customer::Customer,
    fields::{CUSTOMERS_LIST, PLANS_LIST},
    lists::Lists,
    plan::{Model, Plan, Service},
    row::{Kind, Name, Row},
};

/// Text of one document with its name.
#[derive(Debug, Clone, Copy)]
pub struct Text<'a> {
    /// Name used in findings, such as the path of the file.
    pub name: &'a str,
    /// Content of the document.
    pub text: &'a str,
}

/// Rows of both documents after validation.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Document {
    /// Rows by name; their order in the documents is irrelevant.
    pub rows: BTreeMap<Name, Row>,
}

#[derive(Debug, Default, Deserialize)]
struct CustomersList {
    customers: Vec<Customer>,
}

#[derive(Debug, Default, Deserialize)]
struct PlansList {
    plans: Vec<Plan>,
    models: Vec<Model>,
    services: Vec<Service>,
}

/// Row with its location in a document.
struct LocatedRow {
    row: Row,
    /// JSON path of the row, such as `plans[2]`.
    path: String,
}

impl Document {
    /// Parses and validates both documents.
    ///
    /// # Errors
    /// Returns the findings of both documents.
    pub fn parse(customers: Text<'_>, plans: Text<'_>) -> Result<Self, Vec<Finding>> {
        Self::parse_beside(Vec::new(), customers, plans)
    }

    /// Parses and validates both documents, as they were read from files.
    ///
    /// # Errors
    /// Returns the findings of both documents. Bytes that are not UTF-8 are among them.
    pub fn decode(customers: &Source, plans: &Source) -> Result<Self, Vec<Finding>> {
        let sources = [customers, plans];
        let faults: Vec<Finding> = sources
            .iter()
            .filter_map(|source| source.fault.clone())
            .collect();
        let [customers, plans] = sources.map(|source| Text {
            name: &source.name,
            text: &source.text,
        });
        Self::parse_beside(faults, customers, plans)
    }

    /// Parses and validates documents that have faults already. References are not checked then: a name that is damaged
    /// in one document would look unknown in the other.
    fn parse_beside(
        faults: Vec<Finding>,
        customers: Text<'_>,
        plans: Text<'_>,
    ) -> Result<Self, Vec<Finding>> {
        let mut findings = Vec::new();
        let customers_list: CustomersList = read(customers, CUSTOMERS_LIST, &mut findings);
        let plans_list: PlansList = read(plans, PLANS_LIST, &mut findings);
        let is_complete = faults.is_empty() && findings.is_empty();
        let customer_rows = locate("customers", customers_list.customers, Row::Customer);
        let mut plan_rows = locate("plans", plans_list.plans, Row::Plan);
        plan_rows.extend(locate("models", plans_list.models, Row::Model));
        plan_rows.extend(locate("services", plans_list.services, Row::Service));
        let mut lists = Lists::default();
        for located in plan_rows.iter().chain(&customer_rows) {
            lists.insert(located.row.clone());
        }
        for (text, rows) in [(customers, &customer_rows), (plans, &plan_rows)] {
            // References are checked only if both documents could be parsed: with a missing document, all references
            // into it would be reported.
            let lists = is_complete.then_some(&lists);
            findings.extend(check_rows(text, rows, lists));
        }
        let findings = source::join(faults, findings);
        if !findings.is_empty() {
            return Err(findings);
        }
        let rows = customer_rows.into_iter().chain(plan_rows);
        Ok(Self {
            rows: rows
                .map(|located| (located.row.name(), located.row))
                .collect(),
        })
    }
}

fn read<T: Default + for<'de> Deserialize<'de>>(
    text: Text<'_>,
    fields: &[pistachiolug_settings::fields::Field],
    findings: &mut Vec<Finding>,
) -> T {
    load::document(text.name, text.text, fields).unwrap_or_else(|found| {
        findings.extend(found);
        T::default()
    })
}

fn locate<T>(field: &str, rows: Vec<T>, wrap: fn(T) -> Row) -> Vec<LocatedRow> {
    let rows = rows.into_iter().enumerate();
    let located = rows.map(|(index, row)| LocatedRow {
        row: wrap(row),
        path: format!("{field}[{index}]"),
    });
    located.collect()
}

fn check_rows(text: Text<'_>, rows: &[LocatedRow], lists: Option<&Lists>) -> Vec<Finding> {
    let mut violations: Vec<(String, Violation)> = Vec::new();
    let mut seen: BTreeMap<Name, &str> = BTreeMap::new();
    for located in rows {
        let with_lists = lists.map(|lists| check::check_with_lists(&located.row, lists));
        let own = check::check_row(&located.row).into_iter();
        for violation in own.chain(with_lists.into_iter().flatten()) {
            violations.push((join(&located.path, &violation.field), violation));
        }
        if let Some(first) = seen.insert(located.row.name(), &located.path) {
            let violation = Violation {
                field: "name".to_owned(),
                reason: format!("{first} has the same name"),
                fix: "rename or remove one".to_owned(),
            };
            violations.push((join(&located.path, "name"), violation));
        }
    }
    let paths: Vec<String> = violations.iter().map(|(path, _)| path.clone()).collect();
    let places = load::find_positions(text.text, &paths).into_iter();
    let placed = violations.into_iter().zip(places);
    let findings = placed.map(|((field, violation), place)| Finding {
        document: text.name.to_owned(),
        place,
        field,
        reason: violation.reason,
        mend: violation.fix,
    });
    findings.collect()
}

fn join(path: &str, field: &str) -> String {
    if field.is_empty() {
        return path.to_owned();
    }
    format!("{path}.{field}")
}

/// Returns the kinds in the order in which rows may be written: referenced kinds come before those that refer to them.
pub fn write_order() -> impl DoubleEndedIterator<Item = Kind> {
    Kind::EDITED.into_iter().rev()
}
