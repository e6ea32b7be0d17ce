//! What an agent learns from the key-value service.

use std::net::SocketAddr;

use pistachiolug_weights::roster::Member;

/// Model whose weights come in pieces.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// Name.
    pub name: String,
    /// Number of pieces of each version.
    pub pieces: usize,
    /// Bytes of a piece; the last one may be shorter.
    pub piece_bytes: usize,
}

/// Origin of weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Origin {
    /// Address.
    pub address: SocketAddr,
    /// Region.
    pub region: String,
}

/// Decoded row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fact {
    /// Configuration, as far as it concerns weights.
    Weights {
        /// Models of the agent's service.
        models: Vec<Model>,
        /// Origin of weights.
        origin: Option<Origin>,
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
