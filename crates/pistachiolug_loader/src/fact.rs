//! What an agent learns from the key-value service.

use std::net::SocketAddr;

use crate::roster::Member;

/// Decoded row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fact {
    /// Configuration, as far as it concerns weights.
    Weights {
        /// Models of the agent's service, with the number of pieces of each version.
        models: Vec<(String, usize)>,
        /// Origin of weights.
        origin: Option<SocketAddr>,
    },
    /// The version that a model's engines should hold.
    Version {
        /// Model's name.
        model: String,
        /// Version.
        version: u64,
    },
    /// An engine with an agent beside it.
    Member(Member),
    /// Internal address of an entry.
    Entry(SocketAddr),
    /// Nothing that an agent acts on.
    Other,
}

/// Reads rows in the deployment's format.
pub trait Decoder: Clone + 'static {
    /// Decodes a row.
    fn decode(&self, key: &str, value: &[u8]) -> Fact;

    /// Returns the prefix of the rows with configuration and versions.
    fn orders_prefix(&self) -> &'static str;
}
