//! Counters of the control traffic of this process: messages that carry neither calls nor weights.
//!
//! The counters are global because the limit on control traffic applies to the process: the traffic of an additional
//! client or server must count too.

use std::sync::atomic::{AtomicU64, Ordering};

use http::{HeaderMap, Uri};

/// Size of an HTTP/1.1 start line without the path, and of the blank line after the headers.
const START_LINE_BYTES: u64 = 20;

/// Size of the separators after the name and after the value of a header.
const SEPARATOR_BYTES: u64 = 4;

/// Prefixes of the paths of control messages.
const CONTROL_PREFIXES: [&str; 3] = ["/internal/", "/v1/instances", "/v3/"];

/// Prefixes of the paths within [`CONTROL_PREFIXES`] that carry calls or weights.
const DATA_PREFIXES: [&str; 2] = ["/internal/call", "/internal/weights/chunk"];

static SENT_BYTES: AtomicU64 = AtomicU64::new(0);
static RECEIVED_BYTES: AtomicU64 = AtomicU64::new(0);
static MESSAGES: AtomicU64 = AtomicU64::new(0);

/// Control traffic since the start of the process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Total {
    /// Number of bytes sent.
    pub sent: u64,
    /// Number of bytes received.
    pub received: u64,
    /// Number of requests sent and served.
    pub messages: u64,
}

/// Returns the control traffic since the start of the process.
pub fn total() -> Total {
    Total {
        sent: SENT_BYTES.load(Ordering::Relaxed),
        received: RECEIVED_BYTES.load(Ordering::Relaxed),
        messages: MESSAGES.load(Ordering::Relaxed),
    }
}

/// Returns whether requests to a path are control traffic.
pub fn is_control(path: &str) -> bool {
    let has_prefix = |prefix: &&str| path.starts_with(*prefix);
    CONTROL_PREFIXES.iter().any(has_prefix) && !DATA_PREFIXES.iter().any(has_prefix)
}

/// Records one control request with the bytes sent and received for it.
pub fn record_request(sent: u64, received: u64) {
    SENT_BYTES.fetch_add(sent, Ordering::Relaxed);
    RECEIVED_BYTES.fetch_add(received, Ordering::Relaxed);
    MESSAGES.fetch_add(1, Ordering::Relaxed);
}

/// Records received bytes of a control message whose body is read in chunks.
pub fn count_received(bytes: usize) {
    RECEIVED_BYTES.fetch_add(bytes as u64, Ordering::Relaxed);
}

/// Returns the approximate size in bytes of a message head; `uri` is `None` for a response.
pub fn head_bytes(uri: Option<&Uri>, headers: &HeaderMap) -> u64 {
    let path_bytes = uri
        .and_then(Uri::path_and_query)
        .map_or(0, |path| path.as_str().len());
    let header_bytes: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    let separator_bytes = headers.len() as u64 * SEPARATOR_BYTES;
    START_LINE_BYTES + separator_bytes + (path_bytes + header_bytes) as u64
}
