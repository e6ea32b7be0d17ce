//! Slots for running generations, granted by priority and then in order of arrival.

use std::{
    cmp::Reverse,
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use tokio::sync::oneshot;

/// Slots of one engine; clones share them.
#[derive(Debug, Clone)]
pub struct Slots {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug)]
struct Shared {
    /// Number of slots that nobody holds.
    free: u32,
    /// Ticket number of the next waiter; sorts waiters of one priority by arrival.
    next_ticket: u64,
    /// Waiters, highest priority first.
    waiters: BTreeMap<(Reverse<u8>, u64), oneshot::Sender<Slot>>,
}

/// Held slot; dropping it frees the slot for the next waiter.
#[derive(Debug)]
pub struct Slot {
    slots: Slots,
}

impl Slots {
    /// Creates `count` free slots.
    pub fn new(count: u32) -> Self {
        let shared = Shared {
            free: count,
            next_ticket: 0,
            waiters: BTreeMap::new(),
        };
        Self {
            shared: Arc::new(Mutex::new(shared)),
        }
    }

    /// Requests a slot; the receiver yields it as soon as one is free for this priority.
    pub fn request(&self, priority: u8) -> oneshot::Receiver<Slot> {
        let (sender, receiver) = oneshot::channel();
        let mut shared = self.shared();
        let ticket = shared.next_ticket;
        shared.next_ticket += 1;
        shared.waiters.insert((Reverse(priority), ticket), sender);
        drop(shared);
        self.grant_free();
        receiver
    }

    /// Returns the number of requests that wait for a slot.
    pub fn waiter_count(&self) -> u32 {
        self.shared().waiters.len() as u32
    }

    /// Grants free slots to waiters.
    fn grant_free(&self) {
        while let Some(waiter) = self.next_waiter() {
            let slot = Slot {
                slots: self.clone(),
            };
            // Sending fails if the waiter is gone. That drops the slot, which frees it for the next waiter.
            let _ = waiter.send(slot);
        }
    }

    /// Takes a slot for the first waiter and returns that waiter; `None` if no slot is free or nobody waits.
    fn next_waiter(&self) -> Option<oneshot::Sender<Slot>> {
        let mut shared = self.shared();
        shared.waiters.retain(|_, waiter| !waiter.is_closed());
        if shared.free == 0 {
            return None;
        }
        let (_, waiter) = shared.waiters.pop_first()?;
        shared.free -= 1;
        Some(waiter)
    }

    fn shared(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.slots.shared().free += 1;
        self.slots.grant_free();
    }
}
