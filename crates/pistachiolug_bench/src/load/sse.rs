//! Parser of server-sent events.

use bytes::{Buf, BytesMut};
use serde_json::Value;

/// Event of a streamed answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// Text of a token, and the version that the event names or an empty string.
    Text(String, String),
    /// The answer is complete.
    Done,
    /// The answer ends with this error body.
    Error(Value),
}

/// Parser that splits a byte stream into events.
#[derive(Debug, Default)]
pub struct Parser {
    buffer: BytesMut,
}

impl Parser {
    /// Adds received bytes.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Removes the next complete event from the buffer and returns it. Comments and events without text are skipped.
    ///
    /// Returns `None` if the buffer holds no complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        loop {
            let end = self.buffer.windows(2).position(|pair| pair == b"\n\n")?;
            let block = self.buffer.split_to(end);
            self.buffer.advance(2);
            if let Some(event) = parse(&String::from_utf8_lossy(&block)) {
                return Some(event);
            }
        }
    }
}

/// Parses the lines of one event; `None` for comments and events without text.
fn parse(block: &str) -> Option<Event> {
    let data = block
        .lines()
        .find_map(|line| line.strip_prefix("data:"))?
        .trim();
    if data == "[DONE]" {
        return Some(Event::Done);
    }
    let value: Value = serde_json::from_str(data).ok()?;
    if value["error"].is_object() {
        return Some(Event::Error(value));
    }
    let choice = &value["choices"][0];
    let text = choice["delta"]["content"]
        .as_str()
        .or_else(|| choice["text"].as_str())
        .filter(|text| !text.is_empty())?;
    let version = value["version"].as_str().unwrap_or_default();
    Some(Event::Text(text.to_owned(), version.to_owned()))
}
