//! Bound on the memory that the answers of servers take until callers have them.

use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};

/// Memory in bytes that all answers of an entry take beyond [`SMALL_BYTES`] each: a fifth of an entry's memory.
pub const TOTAL_BYTES: usize = 32 << 20;

/// Memory in bytes that each answer may take in any case, so that large answers don't keep small ones out.
pub const SMALL_BYTES: usize = 16 << 10;

/// Memory that the answers of a process share; clones share it too.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Number of bytes that no answer takes.
    free: Arc<AtomicUsize>,
}

/// Memory that one answer takes. Dropping it gives the memory back.
#[derive(Debug)]
pub struct Share {
    budget: Budget,
    /// Bytes taken from the budget.
    taken: usize,
}

/// Error for memory that other answers take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exhausted;

impl Budget {
    /// Creates a budget of this many bytes.
    pub fn new(bytes: usize) -> Self {
        Self {
            free: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Returns the number of bytes that no answer takes.
    pub fn free(&self) -> usize {
        self.free.load(Ordering::Relaxed)
    }

    /// Returns the share of a new answer, which takes nothing yet.
    pub fn share(&self) -> Share {
        Share {
            budget: self.clone(),
            taken: 0,
        }
    }
}

impl Share {
    /// Changes the memory of the answer to `bytes`.
    ///
    /// # Errors
    /// [`Exhausted`] if not enough is free; the share stays as it is then.
    pub fn try_resize(&mut self, bytes: usize) -> Result<(), Exhausted> {
        let needed = bytes.saturating_sub(SMALL_BYTES);
        let free = &self.budget.free;
        if needed <= self.taken {
            free.fetch_add(self.taken - needed, Ordering::Relaxed);
        } else {
            let more = needed - self.taken;
            let update = |free: usize| free.checked_sub(more);
            free.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update)
                .map_err(|_| Exhausted)?;
        }
        self.taken = needed;
        Ok(())
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.budget.free.fetch_add(self.taken, Ordering::Relaxed);
    }
}
