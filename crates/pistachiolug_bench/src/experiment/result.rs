//! Result of one run of an experiment.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{check::Violation, document::Document, usage::Usage};
use crate::load::summary::Summary;

/// Figures and violations of one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// Experiment that was run.
    pub document: Document,
    /// Figures of the calls, by name of the customer.
    pub customers: BTreeMap<String, Summary>,
    /// Resources that each daemon used during the load, by name of the instance.
    pub usage: BTreeMap<String, Usage>,
    /// Counts of bookings.
    pub bookings: Bookings,
    /// For each list change, time from the first process that had it in force to the last one, in milliseconds.
    pub in_force_ms: Vec<u64>,
    /// Bytes that the origin sent, in copies of the weights.
    pub origin_copies: f64,
    /// Violated invariants; empty if all held.
    pub violations: Vec<Violation>,
}

/// Counts of bookings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bookings {
    /// Number of bookings that ran.
    pub ran: u64,
    /// Number of bookings that ran more than once.
    pub twice: u64,
}
