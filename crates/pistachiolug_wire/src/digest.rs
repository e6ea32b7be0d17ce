//! Content digests (BLAKE3, 32 bytes).

use std::{fmt, str::FromStr};

use serde::{Deserialize, Serialize};

/// BLAKE3 hash that identifies content; written as hex digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Digest([u8; 32]);

impl Digest {
    /// Computes the digest of `content`.
    pub fn of(content: &[u8]) -> Self {
        Self(*blake3::hash(content).as_bytes())
    }

    /// Computes the digest of several parts.
    ///
    /// Each part is hashed with its length, so that moving a byte from one part to the next changes the digest.
    pub fn of_parts(parts: &[&[u8]]) -> Self {
        let mut hasher = blake3::Hasher::new();
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(*hasher.finalize().as_bytes())
    }

    /// Returns the bytes of the hash.
    pub fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Returns the first bytes of the hash, for uses in which a collision does little harm.
    pub fn short(&self) -> Short {
        let (prefix, _) = self.0.split_at(8);
        Short(
            prefix
                .iter()
                .fold(0, |sum, byte| sum << 8 | u64::from(*byte)),
        )
    }
}

/// First eight bytes of a [`Digest`]; written as hex digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Short(u64);

impl Short {
    /// Returns the bytes as a number, the first one highest.
    pub fn value(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Short {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl From<[u8; 32]> for Digest {
    fn from(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        blake3::Hash::from_bytes(self.0).to_hex().fmt(formatter)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}

impl FromStr for Digest {
    type Err = blake3::HexError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        blake3::Hash::from_hex(text).map(|hash| Self(*hash.as_bytes()))
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

impl TryFrom<String> for Digest {
    type Error = blake3::HexError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}
