//! The two lists as operators keep them: JSON with comments, checked across both.

use std::collections::BTreeMap;

use pistachiolug_settings::{finding::Finding, load};
use serde::Deserialize;

use crate::{
    check::{self, Violation},
    customer::Customer,
    fields::{CUSTOMERS_LIST, PLANS_LIST},
    lists::Lists,
    plan::{Model, Plan, Service},
    row::{Kind, Name, Row},
};

/// Text of one document.
#[derive(Debug, Clone, Copy)]
pub struct Text<'a> {
    /// Name for findings, such as the file's path.
    pub name: &'a str,
    /// Content.
    pub text: &'a str,
}

/// Both lists, valid each alone and together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Document {
    /// Rows by name; their order in the texts does not matter.
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

/// Row with its place in a document.
struct Found {
    row: Row,
    /// Path of the row, such as `plans[2]`.
    path: String,
}

impl Document {
    /// Reads and checks both lists.
    ///
    /// # Errors
    /// Returns all findings of both texts.
    pub fn parse(customers: Text<'_>, plans: Text<'_>) -> Result<Self, Vec<Finding>> {
        let mut findings = Vec::new();
        let customers_list: CustomersList = read(customers, CUSTOMERS_LIST, &mut findings);
        let plans_list: PlansList = read(plans, PLANS_LIST, &mut findings);
        let whole = findings.is_empty();
        let customer_rows = found("customers", customers_list.customers, Row::Customer);
        let mut plan_rows = found("plans", plans_list.plans, Row::Plan);
        plan_rows.extend(found("models", plans_list.models, Row::Model));
        plan_rows.extend(found("services", plans_list.services, Row::Service));
        let mut lists = Lists::default();
        for found in plan_rows.iter().chain(&customer_rows) {
            lists.insert(found.row.clone());
        }
        for (text, rows) in [(customers, &customer_rows), (plans, &plan_rows)] {
            // A list that could not be read would make every reference into it look wrong.
            let lists = whole.then_some(&lists);
            findings.extend(check_rows(text, rows, lists));
        }
        if !findings.is_empty() {
            return Err(findings);
        }
        let rows = customer_rows.into_iter().chain(plan_rows);
        Ok(Self {
            rows: rows.map(|found| (found.row.name(), found.row)).collect(),
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

fn found<T>(field: &str, rows: Vec<T>, wrap: fn(T) -> Row) -> Vec<Found> {
    let rows = rows.into_iter().enumerate();
    let found = rows.map(|(index, row)| Found {
        row: wrap(row),
        path: format!("{field}[{index}]"),
    });
    found.collect()
}

fn check_rows(text: Text<'_>, rows: &[Found], lists: Option<&Lists>) -> Vec<Finding> {
    let mut violations: Vec<(String, Violation)> = Vec::new();
    let mut seen: BTreeMap<Name, &str> = BTreeMap::new();
    for found in rows {
        let together = lists.map(|lists| check::check_with_lists(&found.row, lists));
        let own = check::check_row(&found.row).into_iter();
        for violation in own.chain(together.into_iter().flatten()) {
            violations.push((join(&found.path, &violation.field), violation));
        }
        if let Some(first) = seen.insert(found.row.name(), &found.path) {
            let violation = Violation {
                field: "name".to_owned(),
                reason: format!("{first} has the same name"),
                fix: "rename or remove one".to_owned(),
            };
            violations.push((join(&found.path, "name"), violation));
        }
    }
    let paths: Vec<String> = violations.iter().map(|(path, _)| path.clone()).collect();
    let places = load::places(text.text, &paths).into_iter();
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

/// Returns the kinds in the order in which rows may be written: what others refer to comes first.
pub fn write_order() -> impl DoubleEndedIterator<Item = Kind> {
    Kind::EDITED.into_iter().rev()
}
