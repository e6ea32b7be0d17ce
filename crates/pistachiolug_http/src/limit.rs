//! Bounds that protect a server from oversized or slow peers.

use std::time::Duration;

/// Bounds one server's requests.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    /// Largest accepted request body in bytes.
    pub body_bytes: usize,
    /// Longest time from the first byte of a request head to its last.
    pub head_timeout: Duration,
    /// Longest time a whole body may take to arrive.
    pub body_timeout: Duration,
    /// Largest number of requests served at once; more are refused with 503.
    pub requests: usize,
}

impl Default for Limit {
    fn default() -> Self {
        Self {
            body_bytes: 4 << 20,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(20),
            requests: 8192,
        }
    }
}
