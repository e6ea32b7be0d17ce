//! Cost of control per process at several sizes, from which the planned size is worked out.

pub mod measure;
pub mod table;
pub mod traffic;
