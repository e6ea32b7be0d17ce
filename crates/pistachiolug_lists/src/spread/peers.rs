//! Ranked peers, worked out once per instance list.

use std::sync::Arc;

use pistachiolug_platform::directory::Snapshot;
use tokio::sync::watch;

use super::{Settings, choice::Zone};

/// Peers of one process; each task keeps its own clone.
#[derive(Debug, Clone)]
pub struct Peers {
    settings: Arc<Settings>,
    lists: watch::Receiver<Arc<Snapshot>>,
    zone: Option<Arc<Zone>>,
}

impl Peers {
    /// Creates peers that follow the instance list.
    pub fn new(settings: Arc<Settings>, lists: watch::Receiver<Arc<Snapshot>>) -> Self {
        Self {
            settings,
            lists,
            zone: None,
        }
    }

    /// Returns the peers by the instance list of now.
    pub fn now(&mut self) -> Arc<Zone> {
        let changed = self.lists.has_changed().unwrap_or(false);
        if let Some(zone) = self.zone.as_ref().filter(|_| !changed) {
            return Arc::clone(zone);
        }
        let list = Arc::clone(&self.lists.borrow_and_update());
        let settings = &self.settings;
        let zone = Arc::new(Zone::of(&list, &settings.instance, &settings.place));
        self.zone = Some(Arc::clone(&zone));
        zone
    }
}
