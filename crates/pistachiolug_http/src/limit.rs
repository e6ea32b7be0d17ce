//! Limits that protect a server from large, slow or too many requests.

use std::time::Duration;

/// Limits for the requests of one server.
#[derive(Debug, Clone, Copy)]
pub struct Limit {
    /// Largest accepted request body in bytes.
    pub body_bytes: usize,
    /// Longest time from the first to the last byte of a request head.
    pub head_timeout: Duration,
    /// Longest time until a request body has arrived completely.
    pub body_timeout: Duration,
    /// Largest number of requests served at once; others are refused with status 503.
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
