//! Shared view of the instances.

use std::sync::Arc;

use pistachiolug_platform::directory::Snapshot;
use pistachiolug_wire::instance::{Instance, Role, State};
use tokio::sync::watch;

/// Latest instances; clones share them.
#[derive(Debug, Clone)]
pub struct View {
    sender: watch::Sender<Arc<Snapshot>>,
}

impl Default for View {
    fn default() -> Self {
        Self {
            sender: watch::Sender::new(Arc::default()),
        }
    }
}

impl View {
    /// Returns the snapshot of now.
    pub fn now(&self) -> Arc<Snapshot> {
        Arc::clone(&self.sender.borrow())
    }

    /// Takes a newer snapshot.
    pub fn replace(&self, snapshot: Snapshot) {
        self.sender.send_replace(Arc::new(snapshot));
    }

    /// Subscribes to changes.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Snapshot>> {
        self.sender.subscribe()
    }
}

/// Iterates over the live agents of a service.
pub fn agents<'a>(
    snapshot: &'a Snapshot,
    service: &'a str,
) -> impl Iterator<Item = &'a Instance> + 'a {
    snapshot.instances.iter().filter(move |instance| {
        instance.role == Role::Agent && instance.state == State::Live && instance.service == service
    })
}
