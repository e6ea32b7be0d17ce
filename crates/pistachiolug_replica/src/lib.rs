//! Local copy of rows of a key-value service, kept up to date by a watch and, while the service is unreachable, by
//! peers.

pub mod follow;
pub mod rows;
pub mod snapshot;
