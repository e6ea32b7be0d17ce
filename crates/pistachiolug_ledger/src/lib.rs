//! At-most-once ledger: claims of calls that may not be repeated, and fencing numbers of the processes that make them.

pub mod claim;
pub mod incarnation;
pub mod ledger;
pub mod memory;
pub mod page;
pub mod segment;
pub mod shard;
pub mod timestamp;
