//! Digests of callers' bearer keys.

use pistachiolug_wire::digest::Digest;

/// Returns the digest of a bearer key, as stored in the customers list.
pub fn digest(key: &str) -> Digest {
    Digest::of(key.as_bytes())
}
