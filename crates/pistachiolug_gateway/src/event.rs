//! Splits a stream into whole events (`text/event-stream`, WHATWG HTML section 9.2).

use bytes::{Bytes, BytesMut};

/// Largest event; a stream with a larger one is broken.
const EVENT_BYTES: usize = 1 << 20;

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Start of the part of `buffer` that was not searched yet.
    searched: usize,
    last_id: Option<u64>,
    events: u64,
}

/// Reports an event that is larger than any sound one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Oversized;

impl Splitter {
    /// Adds bytes and returns the whole events that they complete, if any.
    ///
    /// # Errors
    /// [`Oversized`] for an event without an end in reach.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, Oversized> {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(stop) = self.next_end() {
            self.note(end, stop);
            end = stop;
            self.searched = stop;
        }
        if self.buffer.len() - end > EVENT_BYTES {
            return Err(Oversized);
        }
        if end == 0 {
            return Ok(None);
        }
        self.searched -= end;
        Ok(Some(self.buffer.split_to(end).freeze()))
    }

    /// Returns the id of the last whole event.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns the number of whole events.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Tells whether bytes of an unfinished event wait.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops the bytes of an unfinished event, as before a stream goes on elsewhere.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// Finds the end of the first event that ends after `searched`.
    fn next_end(&self) -> Option<usize> {
        // A blank line may begin just before the bytes that are new.
        let from = self.searched.saturating_sub(3);
        let rest = &self.buffer[from..];
        let ends = rest.iter().enumerate().filter_map(|(index, byte)| {
            let tail = &rest[index..];
            let length = match byte {
                b'\n' if tail.starts_with(b"\n\n") => 2,
                b'\n' if tail.starts_with(b"\n\r\n") => 3,
                _ => return None,
            };
            Some(from + index + length)
        });
        ends.into_iter().find(|end| *end > self.searched)
    }

    fn note(&mut self, start: usize, end: usize) {
        self.events += 1;
        for line in self.buffer[start..end].split(|byte| *byte == b'\n') {
            let Some(value) = line.strip_prefix(b"id:") else {
                continue;
            };
            let id = std::str::from_utf8(value).ok();
            if let Some(id) = id.and_then(|id| id.trim().parse().ok()) {
                self.last_id = Some(id);
            }
        }
    }
}
