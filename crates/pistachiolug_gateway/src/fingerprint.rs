//! What a request has in common with others, by which the cause of crashes is recognized.

use std::{fmt, rc::Rc};

use pistachiolug_routing::attribution::Part;
use pistachiolug_wire::digest::Digest;

use crate::{prefix::Prefix, state::hex};

/// Largest number of parts in a log field.
const MAX_LOGGED_PARTS: usize = 8;

/// Content and shared parts of a request; cheap to clone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fingerprint {
    /// Digest of the whole content.
    pub content: Digest,
    /// Shared parts of the prompt, in order.
    pub parts: Rc<[Part]>,
}

impl Fingerprint {
    /// Creates the fingerprint of a request to a model; the name of the model is empty if the request names none.
    pub fn new(content: Digest, model: &str, prefix: &Prefix) -> Self {
        let parts = prefix.ids().enumerate().map(|(position, id)| {
            let digest = Digest::of_parts(&[model.as_bytes(), id.as_bytes()]);
            Part {
                id: digest.short().value(),
                position: u8::try_from(position).unwrap_or(u8::MAX),
            }
        });
        Self {
            content,
            parts: parts.collect(),
        }
    }
}

/// Writes the hashes of the first parts, separated by commas.
impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, part) in self.parts.iter().take(MAX_LOGGED_PARTS).enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(formatter, "{separator}{}", hex(part.id))?;
        }
        Ok(())
    }
}
