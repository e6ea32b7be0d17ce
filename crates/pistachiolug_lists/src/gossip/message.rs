//! Messages between peers, sealed with a code that only holders of the deployment's secret can make.

use bytes::Bytes;
use pistachiolug_http::secret::Secret;
use pistachiolug_wire::{codec, digest::Digest};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::{Snafu, ensure};

use crate::table::Change;

/// Bytes of the code in front of a message.
const CODE_BYTES: usize = 32;

/// Context of the key that is derived from the secret.
const CONTEXT: &str = "pistachiolug 2026-12 lists between peers";

/// Asks a peer for what it has more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullRequest {
    /// Revision of the asking place; 0 asks for all rows.
    pub after: u64,
    /// Digest of the asking place's rows.
    pub digest: Digest,
}

/// Rows after a revision, or all rows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Name of the sending instance.
    pub sender: String,
    /// Revision that the receiver must have to be at `revision` afterwards.
    pub after: u64,
    /// Revision of the sender.
    pub revision: u64,
    /// Digest of the sender's rows.
    pub digest: Digest,
    /// Time since the service confirmed the sender's rows, in milliseconds.
    pub age_ms: u64,
    /// Whether `changes` are all rows.
    pub whole: bool,
    /// Rows.
    pub changes: Vec<Change>,
}

/// Reports a message that must not be believed.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The code is wrong or missing.
    #[snafu(display("message is not from this deployment"))]
    Forged,
    /// The content is no message.
    #[snafu(context(false), display("{source}"))]
    Malformed {
        /// Cause.
        source: codec::Error,
    },
}

/// Encodes a message with its code.
pub fn encode<T: Serialize>(secret: &Secret, message: &T) -> Bytes {
    let body = codec::encode(message);
    let mut sealed = Vec::with_capacity(CODE_BYTES + body.len());
    sealed.extend_from_slice(code(secret, &body).as_bytes());
    sealed.extend_from_slice(&body);
    sealed.into()
}

/// Checks a message's code and decodes it.
///
/// # Errors
/// [`Error`].
pub fn decode<T: DeserializeOwned>(secret: &Secret, sealed: &[u8]) -> Result<T, Error> {
    let Some((found, body)) = sealed.split_first_chunk::<CODE_BYTES>() else {
        return ForgedSnafu.fail();
    };
    // The comparison of hashes takes the same time whatever they are.
    ensure!(
        code(secret, body) == blake3::Hash::from_bytes(*found),
        ForgedSnafu
    );
    Ok(codec::decode(body)?)
}

fn code(secret: &Secret, body: &[u8]) -> blake3::Hash {
    let key = blake3::derive_key(CONTEXT, secret.expose().as_bytes());
    blake3::keyed_hash(&key, body)
}
