//! Bound on the memory that a process holds for others: bodies of requests and answers, and unfinished events.

use std::{
    error::Error,
    fmt,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
};

use bytes::Bytes;

/// Memory in bytes that each body may take in any case, so that large bodies don't keep small ones out.
pub const SMALL_BYTES: usize = 16 << 10;

/// Memory that bodies share, each beyond its first [`SMALL_BYTES`]; clones share it too.
#[derive(Debug, Clone)]
pub struct Budget {
    /// Number of bytes that no body takes.
    free: Arc<AtomicUsize>,
}

/// Memory that one body takes. Dropping it gives the memory back.
#[derive(Debug)]
pub struct Share {
    budget: Budget,
    /// Bytes taken from the budget.
    taken: usize,
    /// Bytes of the budget that this share leaves free.
    reserve: usize,
}

/// Error for a body that is larger than allowed, or than the memory that other bodies leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Exhausted;

impl fmt::Display for Exhausted {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("body larger than allowed, or than the memory left for it")
    }
}

impl Error for Exhausted {}

/// Bytes of a body that are kept, within a limit of its own and the memory of all bodies.
#[derive(Debug)]
pub struct Buffer {
    bytes: Vec<u8>,
    max_bytes: usize,
    share: Share,
}

impl Buffer {
    /// Creates an empty buffer for at most `max_bytes` bytes.
    pub fn new(budget: &Budget, max_bytes: usize) -> Self {
        Self::leaving(budget, max_bytes, 0)
    }

    /// Creates an empty buffer for at most `max_bytes` bytes, which leaves `reserve` bytes of the budget free.
    pub fn leaving(budget: &Budget, max_bytes: usize, reserve: usize) -> Self {
        let mut share = budget.share();
        share.reserve = reserve;
        Self {
            bytes: Vec::new(),
            max_bytes,
            share,
        }
    }

    /// Returns the number of bytes that the buffer takes from the budget.
    pub fn held_bytes(&self) -> usize {
        self.share.taken
    }

    /// Takes the memory for this many bytes in all.
    ///
    /// # Errors
    /// [`Exhausted`] if they do not fit; the buffer stays as it is then.
    pub fn reserve(&mut self, len: usize) -> Result<(), Exhausted> {
        if len > self.max_bytes {
            return Err(Exhausted);
        }
        if len > self.bytes.capacity() {
            self.share.try_resize(len)?;
            self.bytes.reserve_exact(len - self.bytes.len());
        }
        Ok(())
    }

    /// Returns the number of bytes that are kept.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether no bytes are kept.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes. They are copied, since small pieces of large read buffers would keep these.
    ///
    /// # Errors
    /// [`Exhausted`] if they do not fit; the buffer stays as it is then.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), Exhausted> {
        let len = self.bytes.len() + bytes.len();
        if len > self.max_bytes {
            return Err(Exhausted);
        }
        if len > self.bytes.capacity() {
            let capacity = len.max(self.bytes.capacity() * 2).min(self.max_bytes);
            self.share.try_resize(capacity)?;
            self.bytes.reserve_exact(capacity - self.bytes.len());
        }
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the bytes, which take their memory until the last reference to them is dropped.
    pub fn freeze(self) -> Bytes {
        Bytes::from_owner(self)
    }
}

impl AsRef<[u8]> for Buffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Budget {
    /// Creates a budget of this many bytes.
    pub fn new(bytes: usize) -> Self {
        Self {
            free: Arc::new(AtomicUsize::new(bytes)),
        }
    }

    /// Returns the number of bytes that no body takes.
    pub fn free(&self) -> usize {
        self.free.load(Ordering::Relaxed)
    }

    /// Returns the share of a new body, which takes nothing yet.
    pub fn share(&self) -> Share {
        Share {
            budget: self.clone(),
            taken: 0,
            reserve: 0,
        }
    }
}

impl Share {
    /// Changes the memory of the body to `bytes`.
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
            let reserve = self.reserve;
            let update = |free: usize| free.checked_sub(more).filter(|left| *left >= reserve);
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
