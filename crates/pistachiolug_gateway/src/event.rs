//! Splits a stream into whole events (`text/event-stream`, WHATWG HTML section 9.2).
//!
//! Blank lines and comments that stand alone form no event. They are passed on with the event that follows, or at the
//! end of the stream.

use std::fmt;

use bytes::{Bytes, BytesMut};

/// Largest event in bytes; a stream with a larger one counts as broken.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Largest number of bytes between two events that form none; a stream with more counts as broken. Comments that keep a
/// connection open for hours have less.
const MAX_EMPTY_BYTES: usize = 64 << 10;

/// Names of the fields of an event.
const FIELDS: [&[u8]; 4] = [b"data", b"id", b"event", b"retry"];

/// Buffer that collects bytes until events are whole.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Start of the block of lines that no blank line has ended yet.
    block_start: usize,
    /// Start of the line that is not whole yet.
    line_start: usize,
    /// Number of bytes of `buffer` that were searched for the end of a line.
    searched: usize,
    /// Whether the unfinished block has a field, so that it will be an event.
    has_field: bool,
    /// Id that the unfinished block sets.
    block_id: Option<u64>,
    last_event_id: Option<u64>,
    event_count: u64,
}

/// Reason why bytes are no stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// An event is larger than the allowed size.
    Oversized,
    /// Too many bytes form no event.
    Empty,
}

impl fmt::Display for Flaw {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Oversized => "event too large",
            Self::Empty => "too many bytes without an event",
        })
    }
}

impl Splitter {
    /// Adds bytes and returns the whole events that they complete; `None` if they complete none.
    ///
    /// # Errors
    /// [`Flaw`] if the unfinished event, or what stands between two events, exceeds the allowed size.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, Flaw> {
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(line_end) = self.next_line_end() {
            if self.record_line(line_end) {
                end = line_end;
            }
        }
        if self.buffer.len() - self.block_start > MAX_EVENT_BYTES {
            return Err(Flaw::Oversized);
        }
        if self.block_start - end > MAX_EMPTY_BYTES {
            return Err(Flaw::Empty);
        }
        if end == 0 {
            return Ok(None);
        }
        self.block_start -= end;
        self.line_start -= end;
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

    /// Returns whether the buffer holds lines that no blank line has ended.
    pub fn has_partial(&self) -> bool {
        self.buffer.len() > self.block_start
    }

    /// Returns whether an event has begun that is not whole.
    pub fn is_in_event(&self) -> bool {
        let line = &self.buffer[self.line_start..];
        self.has_field || line.first().is_some_and(|first| !b":\r".contains(first))
    }

    /// Returns the number of bytes that are kept.
    pub fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Takes the blank lines and comments after the last event of a stream that has ended; `None` without any.
    pub fn take_rest(&mut self) -> Option<Bytes> {
        let rest = std::mem::take(&mut self.buffer).freeze();
        (self.block_start, self.line_start, self.searched) = (0, 0, 0);
        (!rest.is_empty()).then_some(rest)
    }

    /// Returns the end of the next whole line; `None` if there is none.
    fn next_line_end(&mut self) -> Option<usize> {
        let unsearched = &self.buffer[self.searched..];
        let Some(length) = unsearched.iter().position(|byte| *byte == b'\n') else {
            self.searched = self.buffer.len();
            return None;
        };
        self.searched += length + 1;
        Some(self.searched)
    }

    /// Records a whole line; returns whether it ends an event.
    fn record_line(&mut self, line_end: usize) -> bool {
        let line = &self.buffer[self.line_start..line_end - 1];
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        self.line_start = line_end;
        if !line.is_empty() {
            let mut parts = line.splitn(2, |byte| *byte == b':');
            let name = parts.next().unwrap_or_default();
            self.has_field |= FIELDS.contains(&name);
            if name == b"id" {
                let value = std::str::from_utf8(parts.next().unwrap_or_default()).ok();
                let id = value.and_then(|value| value.trim().parse().ok());
                self.block_id = id.or(self.block_id);
            }
            return false;
        }
        self.block_start = line_end;
        let is_event = std::mem::take(&mut self.has_field);
        self.last_event_id = self.block_id.take().or(self.last_event_id);
        self.event_count += u64::from(is_event);
        is_event
    }
}
