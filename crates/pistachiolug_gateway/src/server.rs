//! Records of backend servers in the platform's server list.

use std::{hash::Hasher, net::SocketAddr, sync::Arc, time::Duration};

use rustc_hash::FxHasher;

/// Version of a model's weights.
pub type Version = u64;

/// Model that a server has loaded completely.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Model {
    /// Name of the model.
    pub name: Arc<str>,
    /// Version of its weights.
    pub version: Version,
}

/// Listed record of one incarnation of a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Id; usually a new one for each start.
    pub id: Arc<str>,
    /// Name of the service.
    pub service: Arc<str>,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: Arc<str>,
    /// Requests that the server processes at once.
    pub slots: u32,
    /// Whether the server is draining and takes no new requests.
    pub leaving: bool,
    /// Models that the server has loaded completely.
    pub models: Vec<Model>,
    /// Unix time of the server's start in milliseconds; 0 if not stated. Distinguishes starts under one id.
    pub started_ms: u64,
    /// Number of times that this incarnation has written its row. A lower one than that of the known row comes from a write that
    /// was carried out late.
    pub writes: u64,
    /// Time for which the server stays cold, from the moment at which the row was written; `None` if the row says nothing.
    pub cold_for: Option<Duration>,
}

impl Record {
    /// Returns whether another record says the same, whatever it says of the time for which the server stays cold, and of the
    /// number of its writes. These change with each row.
    pub fn is_same_listing(&self, other: &Self) -> bool {
        let other = Self {
            writes: self.writes,
            cold_for: self.cold_for,
            ..other.clone()
        };
        *self == other
    }

    /// Returns the hash that tells this incarnation from others; the same in all processes.
    pub fn incarnation(&self) -> u64 {
        let mut hasher = FxHasher::default();
        hasher.write(self.id.as_bytes());
        hasher.write_u64(self.started_ms);
        hasher.finish()
    }

    /// Sets the version of a model that the server holds; replaces another version of it.
    pub fn set_model(&mut self, model: Model) {
        self.models.retain(|known| known.name != model.name);
        self.models.push(model);
    }

    /// Returns the version of a model that the server holds; `None` if it holds none.
    pub fn version(&self, model: &str) -> Option<Version> {
        let held = self.models.iter().find(|held| &*held.name == model);
        held.map(|held| held.version)
    }
}

/// Hashes a server id for beacons. A collision only makes the load of two servers less exact.
pub(crate) fn hash_id(id: &str) -> u32 {
    let mut hasher = FxHasher::default();
    hasher.write(id.as_bytes());
    hasher.finish() as u32
}
