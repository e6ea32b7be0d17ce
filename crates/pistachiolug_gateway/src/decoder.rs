//! Decoding of the rows of the key-value service.

use std::net::SocketAddr;

use pistachiolug_wire::datagram::{Culprit, Suspect};

use crate::{
    config::Parts,
    server::{Record, Version},
};

/// Decoded row.
#[derive(Debug, Clone)]
pub enum Row {
    /// Configuration.
    Config(Parts),
    /// Backend server.
    Server(Record),
    /// Version that a model's servers should hold.
    Version {
        /// Name of the model.
        model: String,
        /// Version of its weights.
        version: Version,
    },
    /// Order to evacuate an availability zone.
    Evacuation {
        /// Name of the zone.
        zone: String,
    },
    /// Entry.
    Entry {
        /// Name of the entry.
        name: String,
        /// Internal address of the entry.
        address: SocketAddr,
    },
    /// Content that crashed servers.
    Suspect(Suspect),
    /// Part of prompts that crashed servers.
    Culprit(Culprit),
    /// Row that entries don't use.
    Other,
    /// Row that can't be decoded; its earlier value is no longer valid.
    Unreadable {
        /// Description of the error.
        reason: String,
    },
}

/// Subject of a row, as far as its key names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Subject {
    /// Row of a backend server.
    Server(String),
    /// Row of an entry.
    Entry(String),
    /// Order to evacuate an availability zone.
    Evacuation(String),
    /// Row of a part of prompts that crashed servers, by its hash.
    Culprit(u64),
    /// Any other row.
    Other,
}

/// Decoder of rows in the deployment's format.
pub trait Decoder {
    /// Decodes a row.
    fn decode(&self, key: &str, value: &[u8]) -> Row;

    /// Returns the subject that a key names.
    fn subject(&self, key: &str) -> Subject;

    /// Returns the key and value of the row by which an entry registers itself.
    fn entry_row(&self, name: &str, address: SocketAddr) -> (String, Vec<u8>);

    /// Returns the key and value of the row of a suspect.
    fn suspect_row(&self, suspect: &Suspect) -> (String, Vec<u8>);

    /// Returns the key and value of the row of a part of prompts.
    fn culprit_row(&self, culprit: &Culprit) -> (String, Vec<u8>);
}
