//! Manifests: a version's weights as a list of chunks named by digest.

use pistachiolug_wire::digest::Digest;
use serde::{Deserialize, Serialize};

/// One version of a model or adapter; an origin object named by the digest of its JSON text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Model's or adapter's name.
    pub model: String,
    /// Version's name.
    pub version: String,
    /// Digest of the whole weights.
    pub digest: Digest,
    /// Chunks in order; their lengths add up to the length of the weights.
    pub chunks: Vec<Chunk>,
}

/// Piece of weights, an origin object at `chunks/{digest}`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chunk {
    /// Digest of the content.
    pub digest: Digest,
    /// Length in bytes.
    pub length: u32,
}

impl Manifest {
    /// Builds the manifest of whole weights cut into chunks of `chunk_bytes`.
    pub fn build(model: &str, version: &str, weights: &[u8], chunk_bytes: usize) -> Self {
        let chunks = weights
            .chunks(chunk_bytes)
            .map(|piece| Chunk {
                digest: Digest::of(piece),
                length: piece.len() as u32,
            })
            .collect();
        Self {
            model: model.to_owned(),
            version: version.to_owned(),
            digest: Digest::of(weights),
            chunks,
        }
    }

    /// Returns the length of the whole weights in bytes.
    pub fn length(&self) -> u64 {
        self.chunks
            .iter()
            .map(|chunk| u64::from(chunk.length))
            .sum()
    }

    /// Renders the JSON text whose digest names the manifest.
    ///
    /// # Panics
    /// Never: all fields are serializable.
    pub fn render(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("manifests are serializable")
    }
}

/// Returns the origin's name of a manifest.
pub fn object(digest: &Digest) -> String {
    format!("manifests/{digest}")
}

/// Returns the origin's name of a chunk.
pub fn chunk_object(digest: &Digest) -> String {
    format!("chunks/{digest}")
}
