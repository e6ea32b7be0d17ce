//! Splits a stream into whole events (`text/event-stream`, WHATWG HTML section 9.2).

use bytes::{Bytes, BytesMut};

/// Largest event in bytes; a stream with a larger one counts as broken.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Buffer that collects bytes until events are whole.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Start of the part of `buffer` that was not searched for an end yet.
    searched: usize,
    last_event_id: Option<u64>,
    event_count: u64,
}

/// Error for an event that is larger than the allowed size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Oversized;

impl Splitter {
    /// Adds bytes and returns the whole events that they complete; `None` if they complete none.
    ///
    /// # Errors
    /// [`Oversized`] if the unfinished event exceeds the allowed size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, Oversized> {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(event_end) = self.next_end() {
            self.record_event(end, event_end);
            end = event_end;
            self.searched = event_end;
        }
        if self.buffer.len() - end > MAX_EVENT_BYTES {
            return Err(Oversized);
        }
        if end == 0 {
            return Ok(None);
        }
        self.searched -= end;
        Ok(Some(self.buffer.split_to(end).freeze()))
    }

    /// Returns the id of the last whole event that had a numeric one.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last_event_id
    }

    /// Returns the number of whole events.
    pub fn events(&self) -> u64 {
        self.event_count
    }

    /// Returns whether the buffer holds bytes of an unfinished event.
    pub fn has_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Drops the bytes of an unfinished event, for a stream that is resumed elsewhere.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.searched = 0;
    }

    /// Returns the end of the first event that ends after `searched`; `None` if there is none.
    fn next_end(&self) -> Option<usize> {
        // A blank line may begin in the bytes that were searched before.
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

    /// Counts an event and records its id.
    fn record_event(&mut self, start: usize, end: usize) {
        self.event_count += 1;
        for line in self.buffer[start..end].split(|byte| *byte == b'\n') {
            let Some(value) = line.strip_prefix(b"id:") else {
                continue;
            };
            let id = std::str::from_utf8(value).ok();
            if let Some(id) = id.and_then(|id| id.trim().parse().ok()) {
                self.last_event_id = Some(id);
            }
        }
    }
}
