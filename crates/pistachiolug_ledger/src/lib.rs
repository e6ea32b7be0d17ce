//! Ledger for at-most-once execution: claims of calls that must not run twice, and the fencing tokens of the processes
//! that claim them.

pub mod claim;
pub mod incarnation;
pub mod ledger;
pub mod memory;
pub mod page;
pub mod segment;
pub mod shard;
pub mod timestamp;
