//! What an agent learns from the key-value service.

use std::net::SocketAddr;

use pistachiolug_wire::weights::View;

/// Decoded row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Row {
    /// Configuration, as far as it concerns the weights of the agent's service; agents and entries are left out.
    Weights(View),
    /// The version that a model's engines should hold.
    Version {
        /// Model's name.
        model: String,
        /// Version.
        version: u64,
    },
    /// Internal address of an entry.
    Entry(SocketAddr),
    /// Nothing that an agent acts on.
    Other,
}

/// Reads rows in the deployment's format.
pub trait Decoder: Clone + 'static {
    /// Decodes a row.
    fn decode(&self, key: &str, value: &[u8]) -> Row;

    /// Returns the prefix of the rows that name versions.
    fn versions_prefix(&self) -> &'static str;

    /// Returns the prefix of the entries' rows.
    fn entries_prefix(&self) -> &'static str;

    /// Returns the key of the configuration.
    fn configuration_key(&self) -> &'static str;
}
