//! Lists in force in this process, shared with every part that reads them.

use std::sync::Arc;

use tokio::sync::watch;

use crate::lists::Lists;

/// Holds the lists in force; clones share them.
#[derive(Debug, Clone)]
pub struct ActiveLists {
    sender: watch::Sender<Arc<Lists>>,
    /// Whether any list was ever trusted; never falls back to `false`.
    ready: watch::Sender<bool>,
}

impl Default for ActiveLists {
    fn default() -> Self {
        Self {
            sender: watch::Sender::new(Arc::default()),
            ready: watch::Sender::new(false),
        }
    }
}

impl ActiveLists {
    /// Returns the lists in force.
    pub fn current(&self) -> Arc<Lists> {
        Arc::clone(&self.sender.borrow())
    }

    /// Puts newer lists in force; older ones are ignored.
    pub fn advance(&self, lists: Arc<Lists>) -> bool {
        let newer = self.replace_if(lists, |now, lists| lists.revision() > now.revision());
        if newer {
            self.ready.send_replace(true);
        }
        newer
    }

    /// Puts lists in force that a trusted source gave, also at the revision of now; older ones are ignored.
    ///
    /// The same revision may hold more rows than before when events came out of order.
    pub fn replace_trusted(&self, lists: Arc<Lists>) -> bool {
        let taken = self.replace_if(lists, |now, lists| lists.revision() >= now.revision());
        self.ready.send_replace(true);
        taken
    }

    /// Tells whether the lists in force came from a trusted source; a process serves no call before.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Waits until lists from a trusted source are in force.
    pub async fn wait_ready(&self) {
        let mut receiver = self.ready.subscribe();
        // An error means that all senders are gone, which `self` prevents.
        let _ = receiver.wait_for(|ready| *ready).await;
    }

    fn replace_if(&self, lists: Arc<Lists>, wanted: impl Fn(&Lists, &Lists) -> bool) -> bool {
        self.sender.send_if_modified(|now| {
            let replace = wanted(now, &lists);
            if replace {
                *now = Arc::clone(&lists);
            }
            replace
        })
    }

    /// Subscribes to changes.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Lists>> {
        self.sender.subscribe()
    }
}
