//! Fixtures shared by the tests.

#![allow(dead_code)]

pub(crate) mod fleet;
pub(crate) mod line;

use pistachiolug_lists::{customer::Customer, key, plan::Plan, row::Row};

/// Plan with a share and no more.
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

/// Customer with one key.
pub(crate) fn customer(name: &str, plan: &str, bearer: &str) -> Row {
    Row::Customer(Customer {
        name: name.to_owned(),
        plan: plan.to_owned(),
        keys: vec![key::digest(bearer)],
        tokens_per_minute: 0,
    })
}
