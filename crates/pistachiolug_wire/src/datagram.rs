//! Datagrams between instances; each is one UDP packet in `postcard` and replaces what its sender said before.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Work that an entry has at one backend server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Open requests.
    pub calls: u32,
    /// Prompt tokens of those whose first event is still to come.
    pub prompt: u32,
}

/// Load of one entry and the newest row it knows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beacon {
    /// Sender's name.
    pub name: String,
    /// Sender's internal address, where its rows can be read.
    pub address: SocketAddr,
    /// Sender's region.
    pub region: String,
    /// Whether the key-value service answers the sender.
    pub in_touch: bool,
    /// Revision of the sender's rows.
    pub revision: u64,
    /// Work by short hash of the server's id; servers without work are left out.
    pub work: Vec<(u32, Work)>,
}

/// What the agent beside a model engine says of it, ahead of the platform's lagging list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Address at which the engine takes requests.
    pub server: SocketAddr,
    /// Unix time of the engine's start in milliseconds; 0 if it does not say.
    pub started: u64,
    /// Model's name.
    pub model: String,
    /// What has changed.
    pub change: Change,
}

/// Change of an engine's weights.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// It is about to load and takes nothing new for this many milliseconds at most.
    Loading {
        /// Milliseconds.
        for_ms: u32,
    },
    /// It holds a version and takes requests.
    Holds {
        /// Version.
        version: u64,
    },
}

/// Datagram to an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Datagram {
    /// From another entry.
    Beacon(Beacon),
    /// From an agent.
    Notice(Notice),
}

/// Datagram to an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AgentDatagram {
    /// From an entry or another agent: a version was named.
    Named {
        /// Model's name.
        model: String,
        /// Version.
        version: u64,
    },
    /// From another agent: asks what is staged of a version.
    Ask {
        /// Internal address of the asking agent.
        from: SocketAddr,
        /// Model's name.
        model: String,
        /// Version.
        version: u64,
    },
    /// From another agent: says what is staged of a version.
    Have {
        /// Internal address of the agent that has it.
        from: SocketAddr,
        /// Model's name.
        model: String,
        /// Version.
        version: u64,
        /// Number of pieces of the version.
        pieces: u32,
        /// Bits of the staged pieces, lowest indices first.
        held: Vec<u64>,
        /// Whether the engine serves the version already.
        serving: bool,
    },
}

/// Encodes a datagram.
///
/// # Errors
/// Returns the codec's error, as for a message beyond its bounds.
pub fn encode(datagram: &impl Serialize) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(datagram)
}

/// Decodes what [`encode`] made.
///
/// # Errors
/// Returns the codec's error for bytes that are no such datagram.
pub fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, postcard::Error> {
    postcard::from_bytes(bytes)
}
