//! Slots for running generations, given out by priority.

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
    free: u32,
    /// Number of the next waiter; orders waiters of one priority by arrival.
    next: u64,
    /// Waiters, highest priority first.
    waiting: BTreeMap<(Reverse<u8>, u64), oneshot::Sender<Slot>>,
}

/// Held slot; dropping it hands the slot on.
#[derive(Debug)]
pub struct Slot {
    slots: Slots,
}

impl Slots {
    /// Creates `count` free slots.
    pub fn new(count: u32) -> Self {
        let shared = Shared {
            free: count,
            next: 0,
            waiting: BTreeMap::new(),
        };
        Self {
            shared: Arc::new(Mutex::new(shared)),
        }
    }

    /// Asks for a slot; the receiver gets it when it is this priority's turn.
    pub fn request(&self, priority: u8) -> oneshot::Receiver<Slot> {
        let (sender, receiver) = oneshot::channel();
        let mut shared = self.shared();
        let number = shared.next;
        shared.next += 1;
        shared.waiting.insert((Reverse(priority), number), sender);
        drop(shared);
        self.hand_out();
        receiver
    }

    /// Returns the number of waiters.
    pub fn waiter_count(&self) -> u32 {
        self.shared().waiting.len() as u32
    }

    fn hand_out(&self) {
        while let Some(waiter) = self.take_waiter() {
            let slot = Slot {
                slots: self.clone(),
            };
            // A waiter that is gone drops the slot, which hands it on.
            let _ = waiter.send(slot);
        }
    }

    fn take_waiter(&self) -> Option<oneshot::Sender<Slot>> {
        let mut shared = self.shared();
        shared.waiting.retain(|_, waiter| !waiter.is_closed());
        if shared.free == 0 {
            return None;
        }
        let (_, waiter) = shared.waiting.pop_first()?;
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
        self.slots.hand_out();
    }
}
