//! Result of one run.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{check::Violation, document::Document, usage::Usage};
use crate::load::summary::Summary;

/// Figures and findings of one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Outcome {
    /// What was run.
    pub document: Document,
    /// Figures by customer.
    pub customers: BTreeMap<String, Summary>,
    /// Usage of each daemon during the load.
    pub usage: BTreeMap<String, Usage>,
    /// Bookings that ran, and how many of them more than once.
    pub bookings: Bookings,
    /// Time from each list change until the last process had it, in milliseconds.
    pub in_force_ms: Vec<u64>,
    /// Bytes that the origin sent, in copies of the weights.
    pub origin_copies: f64,
    /// Violated invariants.
    pub violations: Vec<Violation>,
}

/// Runs of bookings.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bookings {
    /// Bookings that ran.
    pub ran: u64,
    /// Bookings that ran more than once.
    pub twice: u64,
}
