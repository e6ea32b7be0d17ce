//! Bearer keys of callers.

use pistachiolug_wire::digest::Digest;

/// Returns the digest under which the customers list holds a bearer key.
pub fn digest(key: &str) -> Digest {
    Digest::of(key.as_bytes())
}
