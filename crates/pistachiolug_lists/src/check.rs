//! Validation rules for single rows and for references between rows.

use std::collections::BTreeSet;

use crate::{
    customer::Customer,
    lists::Lists,
    plan::{Model, Plan, Service},
    row::{Kind, Name, Row},
};

/// Maximum length of a name in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Maximum share of a plan.
const MAX_SHARE: u32 = 1_000_000;

/// Violation of one rule by a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Violation {
    /// Path of the field within the row, such as `replicas.most`; empty for the whole row.
    pub field: String,
    /// What is wrong.
    pub reason: String,
    /// How to fix it.
    pub fix: String,
}

impl Violation {
    fn new(field: impl Into<String>, reason: impl Into<String>, fix: &str) -> Self {
        Self {
            field: field.into(),
            reason: reason.into(),
            fix: fix.to_owned(),
        }
    }
}

/// Checks a row against the rules that do not depend on other rows.
pub fn check_row(row: &Row) -> Vec<Violation> {
    let mut violations = Vec::new();
    check_name("name", &row.name().name, &mut violations);
    match row {
        Row::Customer(customer) => check_customer(customer, &mut violations),
        Row::Plan(plan) => check_plan(plan, &mut violations),
        Row::Model(model) => check_model(model, &mut violations),
        Row::Service(service) => check_service(service, &mut violations),
        Row::Suspect(_) => {}
    }
    violations
}

/// Checks a row's references and keys against the other rows of `lists`, which may contain the row itself.
pub fn check_with_lists(row: &Row, lists: &Lists) -> Vec<Violation> {
    let mut violations = Vec::new();
    for (field, name) in references(row) {
        if !exists(lists, &name) {
            let kind = kind_label(name.kind);
            let reason = format!("no {kind} `{}`", name.name);
            violations.push(Violation::new(
                field,
                reason,
                "add it or remove the reference",
            ));
        }
    }
    if let Row::Customer(customer) = row {
        check_keys(customer, lists, &mut violations);
    }
    violations
}

/// Returns the rows that a row refers to, each with the path of the referring field.
pub fn references(row: &Row) -> Vec<(String, Name)> {
    let name = |kind, name: &str| Name {
        kind,
        name: name.to_owned(),
    };
    match row {
        Row::Customer(customer) => vec![("plan".to_owned(), name(Kind::Plans, &customer.plan))],
        Row::Plan(plan) => {
            let models = plan.models.iter().enumerate();
            let models = models.map(|(at, it)| (format!("models[{at}]"), name(Kind::Models, it)));
            let services = plan.services.iter().enumerate();
            let services =
                services.map(|(at, it)| (format!("services[{at}]"), name(Kind::Services, it)));
            models.chain(services).collect()
        }
        Row::Model(_) | Row::Service(_) | Row::Suspect(_) => Vec::new(),
    }
}

fn exists(lists: &Lists, name: &Name) -> bool {
    match name.kind {
        Kind::Plans => lists.plan(&name.name).is_some(),
        Kind::Models => lists.model(&name.name).is_some(),
        Kind::Services => lists.service(&name.name).is_some(),
        Kind::Customers | Kind::Suspects => false,
    }
}

/// Returns a kind's name for messages, in the singular.
pub const fn kind_label(kind: Kind) -> &'static str {
    match kind {
        Kind::Customers => "customer",
        Kind::Plans => "plan",
        Kind::Models => "model",
        Kind::Services => "service",
        Kind::Suspects => "suspect",
    }
}

fn check_name(field: &str, name: &str, violations: &mut Vec<Violation>) {
    if name.is_empty() || name.len() > MAX_NAME_BYTES {
        let reason = format!("a name has 1 to {MAX_NAME_BYTES} bytes");
        violations.push(Violation::new(field, reason, "choose another name"));
    }
    if name.chars().any(|it| it == '/' || it.is_control()) {
        let reason = "a name has no `/` and no control characters";
        violations.push(Violation::new(field, reason, "choose another name"));
    }
}

fn check_customer(customer: &Customer, violations: &mut Vec<Violation>) {
    let mut seen = BTreeSet::new();
    for (at, key) in customer.keys.iter().enumerate() {
        if !seen.insert(*key) {
            let reason = "the key digest is listed twice";
            violations.push(Violation::new(format!("keys[{at}]"), reason, "remove one"));
        }
    }
}

fn check_keys(customer: &Customer, lists: &Lists, violations: &mut Vec<Violation>) {
    for (at, key) in customer.keys.iter().enumerate() {
        let owner = lists.customer_of(key);
        if let Some(owner) = owner.filter(|owner| owner.name != customer.name) {
            let reason = format!("the key digest belongs to customer `{}`", owner.name);
            let fix = "issue another key";
            violations.push(Violation::new(format!("keys[{at}]"), reason, fix));
        }
    }
}

fn check_plan(plan: &Plan, violations: &mut Vec<Violation>) {
    if plan.share > MAX_SHARE {
        let reason = format!("a share is at most {MAX_SHARE}");
        violations.push(Violation::new("share", reason, "scale all shares down"));
    }
    if plan.share == 0 && !plan.trial {
        let reason = "a plan without a share gets nothing while others wait";
        let fix = "give a share of at least 1, or mark the plan as trial";
        violations.push(Violation::new("share", reason, fix));
    }
    check_duplicates("models", &plan.models, violations);
    check_duplicates("services", &plan.services, violations);
}

fn check_model(model: &Model, violations: &mut Vec<Violation>) {
    check_name("service", &model.service, violations);
    check_name("version", &model.version, violations);
    if model.replicas.least > model.replicas.most {
        let reason = "`least` is above `most`";
        violations.push(Violation::new(
            "replicas",
            reason,
            "raise `most` or lower `least`",
        ));
    }
    let names: Vec<String> = model.adapters.iter().map(|it| it.name.clone()).collect();
    check_duplicates("adapters", &names, violations);
    for (at, adapter) in model.adapters.iter().enumerate() {
        check_name(&format!("adapters[{at}].name"), &adapter.name, violations);
        check_name(
            &format!("adapters[{at}].version"),
            &adapter.version,
            violations,
        );
    }
}

fn check_service(service: &Service, violations: &mut Vec<Violation>) {
    for (at, path) in service.idempotent.iter().enumerate() {
        if !path.starts_with('/') {
            let reason = "a path prefix starts with `/`";
            violations.push(Violation::new(
                format!("idempotent[{at}]"),
                reason,
                "add the `/`",
            ));
        }
    }
}

fn check_duplicates(field: &str, names: &[String], violations: &mut Vec<Violation>) {
    let mut seen = BTreeSet::new();
    for (at, name) in names.iter().enumerate() {
        if !seen.insert(name) {
            let reason = format!("`{name}` is listed twice");
            violations.push(Violation::new(
                format!("{field}[{at}]"),
                reason,
                "remove one",
            ));
        }
    }
}
