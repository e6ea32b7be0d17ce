//! Rows of the key-value service that an agent reads.

use std::net::SocketAddr;

use pistachiolug_wire::weights::View;

/// Decoded row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Row {
    /// Part of the configuration that concerns the weights of the agent's service; the lists of agents and entries are
    /// empty.
    Weights(View),
    /// Version that a model's engines should load.
    Version {
        /// Name of the model.
        model: String,
        /// Version number.
        version: u64,
    },
    /// Internal address of an entry.
    Entry(SocketAddr),
    /// Row that agents do not use.
    Other,
}

/// Decoder of rows in the deployment's format.
pub trait Decoder: Clone + 'static {
    /// Decodes a row.
    fn decode(&self, key: &str, value: &[u8]) -> Row;

    /// Returns the key prefix of the rows that announce versions.
    fn versions_prefix(&self) -> &'static str;

    /// Returns the key prefix of the entries' rows.
    fn entries_prefix(&self) -> &'static str;

    /// Returns the key of the configuration.
    fn configuration_key(&self) -> &'static str;
}
