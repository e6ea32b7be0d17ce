//! Names and places of instances.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What a process of the system does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Takes calls from callers.
    Entry,
    /// Guards one backend server.
    Agent,
}

/// Life stage of an instance as the platform's list tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Takes calls.
    Live,
    /// Finishes its calls and takes no new ones.
    Leaving,
}

/// Where an instance stands.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Place {
    /// Region; links between regions are narrow.
    pub region: String,
    /// Availability zone within the region.
    pub zone: String,
}

/// One row of the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Unique name; a replacement gets a new one.
    pub name: String,
    /// Role of the process at `address`.
    pub role: Role,
    /// Service of the backend server behind an agent; empty for an entry.
    pub service: String,
    /// Internal address of the process.
    pub address: SocketAddr,
    /// Region and availability zone.
    pub place: Place,
    /// Life stage, known with the list's lag.
    pub state: State,
}
