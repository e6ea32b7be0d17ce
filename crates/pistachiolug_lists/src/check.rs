//! Rules that rows must keep, each alone and together.

use std::collections::BTreeSet;

use crate::{
    customer::Customer,
    lists::Lists,
    plan::{Model, Plan, Service},
    row::{Kind, Name, Row},
};

/// Longest name in bytes.
const NAME_BYTES: usize = 128;

/// Largest share of a plan.
const SHARE_MOST: u32 = 1_000_000;

/// One rule that a row breaks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// Path of the field within the row, such as `replicas.most`; empty for the whole row.
    pub field: String,
    /// What is wrong.
    pub reason: String,
    /// How to mend it.
    pub mend: String,
}

impl Breach {
    fn new(field: impl Into<String>, reason: impl Into<String>, mend: &str) -> Self {
        Self {
            field: field.into(),
            reason: reason.into(),
            mend: mend.to_owned(),
        }
    }
}

/// Checks a row against the rules that concern it alone.
pub fn alone(row: &Row) -> Vec<Breach> {
    let mut breaches = Vec::new();
    check_name("name", &row.name().name, &mut breaches);
    match row {
        Row::Customer(customer) => check_customer(customer, &mut breaches),
        Row::Plan(plan) => check_plan(plan, &mut breaches),
        Row::Model(model) => check_model(model, &mut breaches),
        Row::Service(service) => check_service(service, &mut breaches),
        Row::Suspect(_) => {}
    }
    breaches
}

/// Checks a row against the other rows of `lists`, which may hold the row itself.
pub fn together(row: &Row, lists: &Lists) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for (field, name) in references(row) {
        if !exists(lists, &name) {
            let kind = singular(name.kind);
            let reason = format!("no {kind} `{}`", name.name);
            breaches.push(Breach::new(field, reason, "add it or remove the reference"));
        }
    }
    if let Row::Customer(customer) = row {
        check_keys(customer, lists, &mut breaches);
    }
    breaches
}

/// Returns the rows that a row refers to, with the fields.
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

/// Returns a kind's word for messages.
pub const fn singular(kind: Kind) -> &'static str {
    match kind {
        Kind::Customers => "customer",
        Kind::Plans => "plan",
        Kind::Models => "model",
        Kind::Services => "service",
        Kind::Suspects => "suspect",
    }
}

fn check_name(field: &str, name: &str, breaches: &mut Vec<Breach>) {
    if name.is_empty() || name.len() > NAME_BYTES {
        let reason = format!("a name has 1 to {NAME_BYTES} bytes");
        breaches.push(Breach::new(field, reason, "choose another name"));
    }
    if name.chars().any(|it| it == '/' || it.is_control()) {
        let reason = "a name has no `/` and no control characters";
        breaches.push(Breach::new(field, reason, "choose another name"));
    }
}

fn check_customer(customer: &Customer, breaches: &mut Vec<Breach>) {
    let mut seen = BTreeSet::new();
    for (at, key) in customer.keys.iter().enumerate() {
        if !seen.insert(*key) {
            let reason = "the key digest is listed twice";
            breaches.push(Breach::new(format!("keys[{at}]"), reason, "remove one"));
        }
    }
}

fn check_keys(customer: &Customer, lists: &Lists, breaches: &mut Vec<Breach>) {
    for (at, key) in customer.keys.iter().enumerate() {
        let owner = lists.customer_of(key);
        if let Some(owner) = owner.filter(|owner| owner.name != customer.name) {
            let reason = format!("the key digest belongs to customer `{}`", owner.name);
            let mend = "issue another key";
            breaches.push(Breach::new(format!("keys[{at}]"), reason, mend));
        }
    }
}

fn check_plan(plan: &Plan, breaches: &mut Vec<Breach>) {
    if plan.share > SHARE_MOST {
        let reason = format!("a share is at most {SHARE_MOST}");
        breaches.push(Breach::new("share", reason, "scale all shares down"));
    }
    if plan.share == 0 && !plan.trial {
        let reason = "a plan without a share gets nothing while others wait";
        let mend = "give a share of at least 1, or mark the plan as trial";
        breaches.push(Breach::new("share", reason, mend));
    }
    check_twice("models", &plan.models, breaches);
    check_twice("services", &plan.services, breaches);
}

fn check_model(model: &Model, breaches: &mut Vec<Breach>) {
    check_name("service", &model.service, breaches);
    check_name("version", &model.version, breaches);
    if model.replicas.least > model.replicas.most {
        let reason = "`least` is above `most`";
        breaches.push(Breach::new(
            "replicas",
            reason,
            "raise `most` or lower `least`",
        ));
    }
    let names: Vec<String> = model.adapters.iter().map(|it| it.name.clone()).collect();
    check_twice("adapters", &names, breaches);
    for (at, adapter) in model.adapters.iter().enumerate() {
        check_name(&format!("adapters[{at}].name"), &adapter.name, breaches);
        check_name(
            &format!("adapters[{at}].version"),
            &adapter.version,
            breaches,
        );
    }
}

fn check_service(service: &Service, breaches: &mut Vec<Breach>) {
    for (at, path) in service.idempotent.iter().enumerate() {
        if !path.starts_with('/') {
            let reason = "a path prefix starts with `/`";
            breaches.push(Breach::new(
                format!("idempotent[{at}]"),
                reason,
                "add the `/`",
            ));
        }
    }
}

fn check_twice(field: &str, names: &[String], breaches: &mut Vec<Breach>) {
    let mut seen = BTreeSet::new();
    for (at, name) in names.iter().enumerate() {
        if !seen.insert(name) {
            let reason = format!("`{name}` is listed twice");
            breaches.push(Breach::new(format!("{field}[{at}]"), reason, "remove one"));
        }
    }
}
