//! Local copy of a key-value service's rows, kept up by a watch and, while the service is away, by peers.

pub mod follow;
pub mod rows;
pub mod snapshot;
