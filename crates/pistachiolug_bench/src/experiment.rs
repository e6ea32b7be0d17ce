//! Experiments: one document describes a deployment, its load, and its faults with their times.

pub mod check;
pub mod document;
pub mod fault;
pub mod record;
pub mod result;
pub mod run;
pub mod usage;
pub mod watch;
