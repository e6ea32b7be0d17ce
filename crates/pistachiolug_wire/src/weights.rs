//! What an entry tells an agent of the weights and the agents of its service.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Address with its region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// Address.
    pub address: SocketAddr,
    /// Region.
    pub region: String,
}

/// Model of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Name.
    pub name: String,
    /// Number of pieces of each version.
    pub pieces: usize,
    /// Bytes of a piece; the last one may be shorter.
    pub piece_bytes: usize,
    /// Newest version; 1 if none was named.
    pub version: u64,
}

/// Weights and agents of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct View {
    /// Models of the service.
    pub models: Vec<Model>,
    /// Origin of weights.
    pub origin: Option<Place>,
    /// Agents beside the engines of the service, by their internal addresses.
    pub agents: Vec<Place>,
    /// Internal addresses of the entries.
    pub entries: Vec<SocketAddr>,
}

/// Internal path of an entry's view of a service.
pub fn path(service: &str) -> String {
    format!("/internal/weights/{service}")
}
