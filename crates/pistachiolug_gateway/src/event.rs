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

/// Bytes that a stream may begin with and that belong to no line.
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

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
    /// Whether the ids of all events so far, of former servers too, have risen by one each; `None` before the second one.
    is_consecutive: Option<bool>,
    /// Whether the stream goes on after an event of a former server, so that its ids have to rise.
    is_resumed: bool,
    /// Why what follows the last whole event is not relayed.
    flaw: Option<Flaw>,
}

/// Event after which a stream is resumed at another server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cursor {
    /// Id of the event.
    pub id: u64,
    /// Whether the ids of all events up to it have risen by one each; `None` if it is the first.
    pub is_consecutive: Option<bool>,
}

/// Reason why bytes are no stream of events.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flaw {
    /// An event is larger than the allowed size.
    Oversized,
    /// Too many bytes form no event.
    Empty,
    /// A line is none of an event, such as the text or the head of an error.
    Foreign,
    /// An event has an id that the caller has already got.
    Repeated,
    /// Events are missing after the last one that the caller has got.
    Gap,
}

impl fmt::Display for Flaw {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Oversized => "event too large",
            Self::Empty => "too many bytes without an event",
            Self::Foreign => "line that belongs to no event",
            Self::Repeated => "event that was relayed before",
            Self::Gap => "events are missing",
        })
    }
}

impl Splitter {
    /// Creates a splitter for a stream that goes on after an event of another server; `None` if that had no id.
    pub fn resuming(cursor: Option<Cursor>) -> Self {
        Self {
            last_event_id: cursor.map(|cursor| cursor.id),
            is_consecutive: cursor.and_then(|cursor| cursor.is_consecutive),
            is_resumed: cursor.is_some(),
            ..Self::default()
        }
    }

    /// Adds bytes and returns the whole events that they complete; `None` if they complete none.
    ///
    /// # Errors
    /// [`Flaw`] if the unfinished event, or what stands between two events, exceeds the allowed size or is not to be relayed.
    /// Whole events before it are returned first.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Option<Bytes>, Flaw> {
        if let Some(flaw) = self.flaw {
            return Err(flaw);
        }
        self.buffer.extend_from_slice(bytes);
        let mut end = 0;
        while let Some(line_end) = self.next_line_end() {
            match self.record_line(line_end) {
                Ok(true) => end = line_end,
                Ok(false) => {}
                Err(flaw) => {
                    self.flaw = Some(flaw);
                    break;
                }
            }
        }
        if let Some(flaw) = self.flaw.filter(|_| end == 0) {
            return Err(flaw);
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

    /// Returns the last whole event that had a numeric id.
    pub fn cursor(&self) -> Option<Cursor> {
        self.last_event_id.map(|id| Cursor {
            id,
            is_consecutive: self.is_consecutive,
        })
    }

    /// Returns the number of whole events.
    pub fn events(&self) -> u64 {
        self.event_count
    }

    /// Returns whether the buffer holds lines that no blank line has ended, or what is not to be relayed.
    pub fn has_partial(&self) -> bool {
        self.flaw.is_some() || self.buffer.len() > self.block_start
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
    fn record_line(&mut self, line_end: usize) -> Result<bool, Flaw> {
        let line = &self.buffer[self.line_start..line_end - 1];
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        self.line_start = line_end;
        if !line.is_empty() {
            let line = line.strip_prefix(BYTE_ORDER_MARK).unwrap_or(line);
            let mut parts = line.splitn(2, |byte| *byte == b':');
            let (name, value) = (parts.next().unwrap_or_default(), parts.next());
            let is_field = FIELDS.contains(&name);
            let is_other_field = value.is_some() && name.iter().copied().all(is_name_byte);
            if !is_field && !is_other_field {
                return Err(Flaw::Foreign);
            }
            self.has_field |= is_field;
            if name == b"id" {
                let value = std::str::from_utf8(value.unwrap_or_default()).ok();
                let id = value.and_then(|value| value.trim().parse().ok());
                self.block_id = id.or(self.block_id);
            }
            return Ok(false);
        }
        let is_event = std::mem::take(&mut self.has_field);
        if let Some(id) = self.block_id.take() {
            self.check_id(id)?;
            self.last_event_id = Some(id);
        } else if is_event {
            self.is_consecutive = Some(false);
        }
        self.block_start = line_end;
        self.event_count += u64::from(is_event);
        Ok(is_event)
    }

    /// Records whether an id follows the one before it.
    fn check_id(&mut self, id: u64) -> Result<(), Flaw> {
        let Some(last) = self.last_event_id else {
            return Ok(());
        };
        let is_next = last.checked_add(1) == Some(id);
        if self.is_resumed && id <= last {
            return Err(Flaw::Repeated);
        }
        if self.is_resumed && self.is_consecutive == Some(true) && !is_next {
            return Err(Flaw::Gap);
        }
        self.is_consecutive = Some(self.is_consecutive != Some(false) && is_next);
        Ok(())
    }
}

/// Returns whether the name of a field may contain a byte. Fields with other names than those of an event are ignored by
/// callers; a line that is no field at all is not of an event.
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-_.".contains(&byte)
}
