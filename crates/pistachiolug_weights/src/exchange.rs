//! HTTP paths, headers and messages with which members query each other's pieces.

use pistachiolug_wire::digest::Digest;
use serde::{Deserialize, Serialize};

use crate::bitmap::Bitmap;

/// Path of a [`HaveRequest`].
pub const HAVE_PATH: &str = "/internal/weights/have";

/// Path prefix of a chunk, followed by its digest.
pub const CHUNK_PATH: &str = "/internal/weights/chunk/";

/// Request header of a chunk request: digest of the manifest of the version being pulled.
pub const MANIFEST_HEADER: &str = "x-manifest";

/// Response header of a 404: milliseconds since the peer's own transfer last gained a chunk.
pub const IDLE_HEADER: &str = "x-idle-ms";

/// Response header of a 503: milliseconds after which the request may be retried.
pub const RETRY_AFTER_HEADER: &str = "x-retry-after-ms";

/// Query for the pieces of a version that a member has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HaveRequest {
    /// Digest of the version's manifest.
    pub manifest: Digest,
    /// Epoch of the last response; 0 in the first request.
    pub epoch: u64,
    /// Sequence of the last response; 0 in the first request.
    pub since: u32,
    /// Milliseconds for which the response may be held back until a piece arrives (long polling).
    pub wait_ms: u32,
}

/// Response to a [`HaveRequest`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HaveResponse {
    /// Epoch of the sequence; changes whenever pieces were dropped.
    pub epoch: u64,
    /// Number of pieces held.
    pub sequence: u32,
    /// Whether the engine serves the version.
    pub serving: bool,
    /// All pieces held; `None` if `added` holds all changes.
    pub whole: Option<Bitmap>,
    /// Pieces added since the sequence of the request.
    pub added: Vec<u32>,
}
