//! At-most-once ledger: claims of calls that may not be repeated.

pub mod claim;
pub mod memory;
