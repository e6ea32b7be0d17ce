//! The two lists that operators edit, and the state that is in force.

pub mod check;
pub mod customer;
pub mod force;
pub mod key;
pub mod lists;
pub mod plan;
pub mod reader;
pub mod row;
pub mod suspect;
pub mod table;
