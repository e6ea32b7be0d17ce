//! Shared secret that guards internal ports.

use std::fmt;

use http::HeaderMap;
use subtle::ConstantTimeEq;

/// Header that carries the shared secret between processes of one deployment.
pub const HEADER: &str = "x-pistachiolug-secret";

/// Holds a shared secret; its debug form never shows it.
#[derive(Clone)]
pub struct Secret(Box<str>);

impl Secret {
    /// Wraps a secret read from a file or the environment.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Compares the header's secret in constant time.
    pub fn is_sent_in(&self, headers: &HeaderMap) -> bool {
        headers
            .get(HEADER)
            .is_some_and(|value| bool::from(value.as_bytes().ct_eq(self.0.as_bytes())))
    }

    /// Returns the text to put into an outgoing header.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret(..)")
    }
}
