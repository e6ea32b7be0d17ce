//! Ranked peers, worked out once per instance list.

use std::sync::Arc;

use pistachiolug_platform::directory::Snapshot;
use tokio::sync::watch;

use super::{Settings, topology::Topology};

/// Peers of one process; each task keeps its own clone.
#[derive(Debug, Clone)]
pub struct Peers {
    settings: Arc<Settings>,
    lists: watch::Receiver<Arc<Snapshot>>,
    topology: Option<Arc<Topology>>,
}

impl Peers {
    /// Creates peers that follow the instance list.
    pub fn new(settings: Arc<Settings>, lists: watch::Receiver<Arc<Snapshot>>) -> Self {
        Self {
            settings,
            lists,
            topology: None,
        }
    }

    /// Returns the peers by the instance list of now.
    pub fn topology(&mut self) -> Arc<Topology> {
        let changed = self.lists.has_changed().unwrap_or(false);
        if let Some(topology) = self.topology.as_ref().filter(|_| !changed) {
            return Arc::clone(topology);
        }
        let list = Arc::clone(&self.lists.borrow_and_update());
        let settings = &self.settings;
        let topology = Arc::new(Topology::new(&list, &settings.instance, &settings.place));
        self.topology = Some(Arc::clone(&topology));
        topology
    }
}
