//! Messages between peers, each with a message authentication code (MAC) keyed by the deployment's secret.

use bytes::Bytes;
use pistachiolug_http::secret::Secret;
use pistachiolug_wire::{codec, digest::Digest};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{Snafu, ensure};

use crate::table::Change;

/// Length in bytes of the MAC in front of a message.
const MAC_BYTES: usize = 32;

/// BLAKE3 context for deriving the MAC key from the secret.
const KEY_CONTEXT: &str = "pistachiolug 2026-12 lists between peers";

/// Request for the changes that the sender lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// Revision of the requesting instance; 0 requests all rows.
    pub after: u64,
    /// Digest of the requesting instance's rows.
    pub digest: Digest,
}

/// Changes after a revision, or all rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Name of the instance that sent the message.
    pub sender: String,
    /// Revision that the receiver must at least have to be at `revision` after applying the changes.
    pub after: u64,
    /// Revision of the sender's rows.
    pub revision: u64,
    /// Digest of the sender's rows.
    pub digest: Digest,
    /// Time in milliseconds since the key-value service confirmed the sender's rows; `u64::MAX` if it never has.
    pub age_ms: u64,
    /// Whether `changes` contains all rows instead of the changes after `after`.
    pub whole: bool,
    /// Changes or rows, by `whole`.
    pub changes: Vec<Change>,
}

/// Error of a message that must be rejected.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The MAC is wrong or missing.
    #[snafu(display("message is not authenticated with this deployment's secret"))]
    Forged,
    /// The MAC is right, but the content cannot be decoded.
    #[snafu(context(false), display("{source}"))]
    Malformed {
        /// Decoding error.
        source: codec::Error,
    },
}

/// Encodes a message with its MAC in front.
pub fn encode<T: Serialize>(secret: &Secret, message: &T) -> Bytes {
    let body = codec::encode(message);
    let mut encoded = Vec::with_capacity(MAC_BYTES + body.len());
    encoded.extend_from_slice(mac(secret, &body).as_bytes());
    encoded.extend_from_slice(&body);
    encoded.into()
}

/// Verifies a message's MAC and decodes the message.
///
/// # Errors
/// Returns [`Error`] if the MAC does not match or the content is malformed.
pub fn decode<T: DeserializeOwned>(secret: &Secret, encoded: &[u8]) -> Result<T, Error> {
    let Some((found, body)) = encoded.split_first_chunk::<MAC_BYTES>() else {
        return ForgedSnafu.fail();
    };
    // `blake3::Hash` compares in constant time, so the response time reveals nothing about the MAC.
    ensure!(
        mac(secret, body) == blake3::Hash::from_bytes(*found),
        ForgedSnafu
    );
    Ok(codec::decode(body)?)
}

fn mac(secret: &Secret, body: &[u8]) -> blake3::Hash {
    let key = blake3::derive_key(KEY_CONTEXT, secret.expose().as_bytes());
    blake3::keyed_hash(&key, body)
}
