//! View of the weights and the agents of a service, as an entry gives it to an agent.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Address of a process with its region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Network address.
    pub address: SocketAddr,
    /// Name of the region.
    pub region: String,
}

/// Model of a service and its newest version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Name of the model.
    pub name: String,
    /// Number of pieces of each version.
    pub pieces: usize,
    /// Size of a piece in bytes; the last piece may be shorter.
    pub piece_bytes: usize,
    /// Number of layers; 0 if engines can't load them apart.
    #[serde(default)]
    pub layers: usize,
    /// Newest version; 1 if none was set.
    pub version: u64,
}

/// Weights and agents of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Models of the service.
    pub models: Vec<Model>,
    /// Origin server of the weights; `None` if there is none.
    pub origin: Option<Place>,
    /// Internal addresses of the agents of the service.
    pub agents: Vec<Place>,
    /// Internal addresses of the entries.
    pub entries: Vec<SocketAddr>,
}

/// Returns the path on the internal port of an entry that serves the [`View`] of `service`.
pub fn path(service: &str) -> String {
    format!("/internal/weights/{service}")
}
