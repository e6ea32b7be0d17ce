//! Cost of control traffic and list changes per process at several deployment sizes, as a base for capacity planning.

pub mod measure;
pub mod table;
pub mod traffic;
