//! Backend servers as the platform's list names them.

use std::{net::SocketAddr, sync::Arc};

/// Version of a model's weights.
pub type Version = u64;

/// Model that a server holds whole.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// Model's name.
    pub name: Arc<str>,
    /// Version of its weights.
    pub version: Version,
}

/// What the list says of one incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Id, new with most starts.
    pub id: Arc<str>,
    /// Service's name.
    pub service: Arc<str>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Requests that it processes at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub leaving: bool,
    /// Models that it holds whole.
    pub models: Vec<Model>,
    /// Unix time of its start in milliseconds; 0 if it does not say. Tells starts under one id apart.
    pub started: u64,
}

impl Record {
    /// Notes that the server holds a version of a model, in the place of another version.
    pub fn set_model(&mut self, model: Model) {
        self.models.retain(|known| known.name != model.name);
        self.models.push(model);
    }

    /// Returns the version of a model that the server holds.
    pub fn version(&self, model: &str) -> Option<Version> {
        let held = self.models.iter().find(|held| &*held.name == model);
        held.map(|held| held.version)
    }
}
