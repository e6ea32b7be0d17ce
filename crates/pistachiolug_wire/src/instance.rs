//! Instances of a deployment as the platform lists them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Role of a process in the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Receives calls from callers and relays them to agents.
    Entry,
    /// Admits the calls of one backend server.
    Agent,
}

/// State of an instance in the instance list of the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Accepts calls.
    Live,
    /// Finishes its calls and accepts no new ones.
    Leaving,
}

/// Location of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// Region; the links between regions have little bandwidth.
    pub region: String,
    /// Availability zone within the region.
    pub zone: String,
}

/// Row of the instance list of the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Unique name; the replacement of an instance gets a new name.
    pub name: String,
    /// Role of the process at `address`.
    pub role: Role,
    /// Service of the backend server behind an agent; empty for an entry.
    pub service: String,
    /// Internal address of the process.
    pub address: SocketAddr,
    /// Region and availability zone.
    pub place: Place,
    /// State, which may be outdated because the list lags.
    pub state: State,
}
