//! Count of the bytes that this process spends on control: messages that carry neither calls nor weights.
//!
//! The count is of the process, because the allowance is: one client or server more must not hide its share.

use std::sync::atomic::{AtomicU64, Ordering};

use http::{HeaderMap, Uri};

/// Bytes of an HTTP/1.1 start line besides the path, and of the blank line after the headers.
const LINE_BYTES: u64 = 20;

/// Bytes between a header's name and value and after it.
const SEPARATOR_BYTES: u64 = 4;

/// Paths of control messages.
const CONTROL: [&str; 3] = ["/internal/", "/v1/instances", "/v3/"];

/// Paths below [`CONTROL`] that carry calls or weights.
const DATA: [&str; 2] = ["/internal/call", "/internal/weights/chunk"];

static SENT: AtomicU64 = AtomicU64::new(0);
static RECEIVED: AtomicU64 = AtomicU64::new(0);
static MESSAGES: AtomicU64 = AtomicU64::new(0);

/// Control traffic since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Total {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// Requests sent and served.
    pub messages: u64,
}

/// Returns the control traffic since the start of the process.
pub fn total() -> Total {
    Total {
        sent: SENT.load(Ordering::Relaxed),
        received: RECEIVED.load(Ordering::Relaxed),
        messages: MESSAGES.load(Ordering::Relaxed),
    }
}

/// Tells whether a path belongs to control.
pub fn is_control(path: &str) -> bool {
    let below = |prefix: &&str| path.starts_with(*prefix);
    CONTROL.iter().any(below) && !DATA.iter().any(below)
}

/// Counts one control request by its two sides' bytes.
pub fn count(sent: u64, received: u64) {
    SENT.fetch_add(sent, Ordering::Relaxed);
    RECEIVED.fetch_add(received, Ordering::Relaxed);
    MESSAGES.fetch_add(1, Ordering::Relaxed);
}

/// Counts bytes of a control stream that is read piece by piece.
pub fn count_received(bytes: usize) {
    RECEIVED.fetch_add(bytes as u64, Ordering::Relaxed);
}

/// Returns the bytes of a message's head.
pub fn head_bytes(uri: Option<&Uri>, headers: &HeaderMap) -> u64 {
    let path = uri
        .and_then(Uri::path_and_query)
        .map_or(0, |path| path.as_str().len());
    let fields: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    let separators = headers.len() as u64 * SEPARATOR_BYTES;
    LINE_BYTES + separators + (path + fields) as u64
}
