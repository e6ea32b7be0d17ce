//! Customers and plans lists: checks, application to the key-value service, and replication to all processes.

pub mod active;
pub mod apply;
pub mod base;
pub mod check;
pub mod customer;
pub mod difference;
pub mod document;
pub mod fields;
pub mod gossip;
pub mod history;
pub mod key;
pub mod lists;
pub mod merge;
pub mod plan;
pub mod row;
pub mod suspect;
pub mod table;
