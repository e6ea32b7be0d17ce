//! Datagram by which entries tell each other their load and the newest row they know.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Age at which a peer's load says nothing any more; several missed beacons.
pub const LOAD_AGE: Duration = Duration::from_millis(400);

/// Age at which a peer counts as gone.
pub const PEER_AGE: Duration = Duration::from_secs(2);

/// Work that an entry has at one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Work {
    /// Open requests.
    pub calls: u32,
    /// Prompt tokens of those whose first event is still to come.
    pub prompt: u32,
}

/// One entry's message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beacon {
    /// Sender's name.
    pub name: String,
    /// Sender's internal address, where its rows can be read.
    pub address: std::net::SocketAddr,
    /// Revision of the sender's rows.
    pub revision: u64,
    /// Work by short hash of the server's id; servers without work are left out.
    pub work: Vec<(u32, Work)>,
}
