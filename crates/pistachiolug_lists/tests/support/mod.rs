//! Fixtures shared by the tests and the example.

#![allow(dead_code)]

pub(crate) mod fleet;
pub(crate) mod link;

use pistachiolug_lists::{customer::Customer, key, plan::Plan, row::Row};

/// Returns a plan with a share and default values otherwise.
pub(crate) fn plan(name: &str, share: u32) -> Row {
    Row::Plan(Plan {
        name: name.to_owned(),
        share,
        priority: 0,
        models: Vec::new(),
        services: Vec::new(),
        tokens_per_minute: 0,
        trial: false,
    })
}

/// Returns a customer with one bearer key.
pub(crate) fn customer(name: &str, plan: &str, bearer_key: &str) -> Row {
    Row::Customer(Customer {
        name: name.to_owned(),
        plan: plan.to_owned(),
        keys: vec![key::digest(bearer_key)],
        tokens_per_minute: 0,
    })
}
