//! Active lists of this process, shared with every component that reads them.

use std::sync::Arc;

use tokio::sync::watch;

use crate::lists::Lists;

/// Handle to the active lists; clones share the same lists.
#[derive(Debug, Clone)]
pub struct ActiveLists {
    lists: watch::Sender<Arc<Lists>>,
    /// Whether lists from a trusted source have been installed; never goes back to `false`.
    ready: watch::Sender<bool>,
}

impl Default for ActiveLists {
    fn default() -> Self {
        Self {
            lists: watch::Sender::new(Arc::default()),
            ready: watch::Sender::new(false),
        }
    }
}

impl ActiveLists {
    /// Returns the active lists; empty until [`ActiveLists::is_ready`].
    pub fn current(&self) -> Arc<Lists> {
        Arc::clone(&self.lists.borrow())
    }

    /// Activates lists with a higher revision than the active ones and marks this handle as ready.
    ///
    /// Returns `false` and changes nothing for any other revision.
    pub fn advance(&self, lists: Arc<Lists>) -> bool {
        let newer = self.replace_if(lists, |current, lists| {
            lists.revision() > current.revision()
        });
        if newer {
            self.ready.send_replace(true);
        }
        newer
    }

    /// Activates lists from a trusted source unless their revision is lower than the active one, and marks this handle
    /// as ready.
    ///
    /// The same revision is accepted because it may hold more rows than before if events arrived out of order.
    /// Returns whether the lists were activated.
    pub fn replace_trusted(&self, lists: Arc<Lists>) -> bool {
        let replaced = self.replace_if(lists, |current, lists| {
            lists.revision() >= current.revision()
        });
        self.ready.send_replace(true);
        replaced
    }

    /// Returns whether lists from a trusted source are active; the process serves no calls before that.
    pub fn is_ready(&self) -> bool {
        *self.ready.borrow()
    }

    /// Waits until lists from a trusted source are active.
    pub async fn wait_ready(&self) {
        let mut receiver = self.ready.subscribe();
        // `wait_for` fails only when all senders are dropped, and `self` holds one.
        let _ = receiver.wait_for(|ready| *ready).await;
    }

    fn replace_if(
        &self,
        lists: Arc<Lists>,
        should_replace: impl Fn(&Lists, &Lists) -> bool,
    ) -> bool {
        self.lists.send_if_modified(|current| {
            let replace = should_replace(current, &lists);
            if replace {
                *current = Arc::clone(&lists);
            }
            replace
        })
    }

    /// Subscribes to changes of the active lists.
    pub fn subscribe(&self) -> watch::Receiver<Arc<Lists>> {
        self.lists.subscribe()
    }
}
