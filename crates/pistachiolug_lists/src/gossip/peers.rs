//! Topology of the current instance list, computed once per list.

use std::sync::Arc;

use pistachiolug_platform::directory::Snapshot;
use tokio::sync::watch;

use super::{Settings, topology::Topology};

/// Source of the current [`Topology`]; each task has its own clone.
#[derive(Debug, Clone)]
pub struct Peers {
    settings: Arc<Settings>,
    instances: watch::Receiver<Arc<Snapshot>>,
    topology: Option<Arc<Topology>>,
}

impl Peers {
    /// Creates a source that follows the instance list.
    pub fn new(settings: Arc<Settings>, instances: watch::Receiver<Arc<Snapshot>>) -> Self {
        Self {
            settings,
            instances,
            topology: None,
        }
    }

    /// Returns the topology of the current instance list.
    pub fn topology(&mut self) -> Arc<Topology> {
        let changed = self.instances.has_changed().unwrap_or(false);
        if let Some(topology) = self.topology.as_ref().filter(|_| !changed) {
            return Arc::clone(topology);
        }
        let snapshot = Arc::clone(&self.instances.borrow_and_update());
        let settings = &self.settings;
        let topology = Arc::new(Topology::new(
            &snapshot,
            &settings.instance,
            &settings.place,
        ));
        self.topology = Some(Arc::clone(&topology));
        topology
    }
}
