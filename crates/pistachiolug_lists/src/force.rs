//! Lists in force in this process, shared with every part that reads them.

use std::sync::Arc;

use tokio::sync::watch;

use crate::lists::Lists;

/// Holds the lists in force; clones share them.
#[derive(Debug, Clone)]
pub struct Force {
    sender: watch::Sender<Arc<Lists>>,
}

impl Default for Force {
    fn default() -> Self {
        Self {
            sender: watch::Sender::new(Arc::default()),
        }
    }
}

impl Force {
    /// Returns the lists in force.
    pub fn now(&self) -> Arc<Lists> {
        Arc::clone(&self.sender.borrow())
    }

    /// Puts newer lists in force; older ones are ignored.
    pub fn advance(&self, lists: Arc<Lists>) -> bool {
        self.sender.send_if_modified(|now| {
            let newer = lists.revision() > now.revision();
            if newer {
                *now = lists;
            }
            newer
        })
    }

    /// Subscribes to changes.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Lists>> {
        self.sender.subscribe()
    }
}
