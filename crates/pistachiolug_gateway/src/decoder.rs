//! What one row of the key-value service says.

use std::net::SocketAddr;

use crate::{
    config::Parts,
    server::{Record, Version},
};

/// Decoded row.
#[derive(Debug, Clone)]
pub enum Row {
    /// The configuration.
    Config(Parts),
    /// A backend server.
    Server(Record),
    /// The version that a model's servers should hold.
    Version {
        /// Model's name.
        model: String,
        /// Version of its weights.
        version: Version,
    },
    /// Another entry.
    Entry {
        /// Its name.
        name: String,
        /// Its internal address.
        address: SocketAddr,
    },
    /// Nothing that an entry acts on.
    Other,
    /// The row can't be read; what it said before no longer holds.
    Unreadable {
        /// What is wrong.
        reason: String,
    },
}

/// Key of a row, as far as it names something by itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// Row of a backend server.
    Server(String),
    /// Row of an entry.
    Entry(String),
    /// Any other row.
    Other,
}

/// Reads and names rows in the deployment's format.
pub trait Decoder {
    /// Decodes a row.
    fn decode(&self, key: &str, value: &[u8]) -> Row;

    /// Tells what a key names.
    fn subject(&self, key: &str) -> Subject;

    /// Returns the row by which an entry makes itself known.
    fn entry_row(&self, name: &str, address: SocketAddr) -> (String, Vec<u8>);
}
