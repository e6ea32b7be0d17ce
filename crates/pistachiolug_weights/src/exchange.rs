//! Messages by which neighbours tell each other what they hold.

use pistachiolug_wire::digest::Digest;
use serde::{Deserialize, Serialize};

use crate::bitmap::Bitmap;

/// Path of [`HaveRequest`].
pub const HAVE_PATH: &str = "/internal/weights/have";

/// Prefix of the path of a chunk, which its digest follows.
pub const CHUNK_PATH: &str = "/internal/weights/chunk/";

/// Header of a chunk request: digest of the manifest of the version that is pulled.
pub const MANIFEST_HEADER: &str = "x-manifest";

/// Header of a 404: milliseconds since the peer's own transfer last gained a chunk.
pub const IDLE_HEADER: &str = "x-idle-ms";

/// Header of a 503: milliseconds after which to come back.
pub const RETRY_AFTER_HEADER: &str = "x-retry-after-ms";

/// Asks which pieces of a version have arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HaveRequest {
    /// Digest of the version's manifest.
    pub manifest: Digest,
    /// Epoch of the last answer; 0 at first.
    pub epoch: u64,
    /// Sequence of the last answer; 0 at first.
    pub since: u32,
    /// Milliseconds that the answer may wait for news.
    pub wait_ms: u32,
}

/// Tells which pieces have arrived.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HaveResponse {
    /// Changes when pieces were dropped.
    pub epoch: u64,
    /// Number of pieces held.
    pub sequence: u32,
    /// Whether the engine serves the version.
    pub serving: bool,
    /// All pieces held; `None` if `added` says it all.
    pub whole: Option<Bitmap>,
    /// Pieces added since the question's sequence.
    pub added: Vec<u32>,
}
