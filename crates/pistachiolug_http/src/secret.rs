//! Shared secret that protects internal ports.

use std::fmt;

use http::HeaderMap;
use subtle::ConstantTimeEq;

/// Header with the shared secret in requests between processes of one deployment.
pub const HEADER: &str = "x-pistachiolug-secret";

/// Shared secret, whose debug output never shows it.
#[derive(Clone)]
pub struct Secret(Box<str>);

impl Secret {
    /// Creates a secret from its text.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }

    /// Returns whether the headers hold this secret; compares in constant time.
    pub fn is_sent_in(&self, headers: &HeaderMap) -> bool {
        headers
            .get(HEADER)
            .is_some_and(|value| bool::from(value.as_bytes().ct_eq(self.0.as_bytes())))
    }

    /// Returns the text for the header of an outgoing request.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Secret(..)")
    }
}
