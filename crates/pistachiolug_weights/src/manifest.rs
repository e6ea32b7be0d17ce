//! Manifests, which describe a version's weights as a list of chunks identified by digest.

use pistachiolug_wire::digest::Digest;
use serde::{Deserialize, Serialize};

/// Version of a model or adapter, stored at the origin under the digest of its JSON text.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Manifest {
    /// Name of the model or adapter.
    pub model: String,
    /// Name of the version.
    pub version: String,
    /// Digest of the complete weights.
    pub digest: Digest,
    /// Chunks in order; their lengths add up to the length of the weights.
    pub chunks: Vec<Chunk>,
}

/// Part of the weights, stored at the origin as `chunks/{digest}`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Chunk {
    /// Digest of the content.
    pub digest: Digest,
    /// Length in bytes.
    pub length: u32,
}

impl Manifest {
    /// Builds the manifest of complete weights, split into chunks of `chunk_bytes`.
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

    /// Returns the length of the complete weights in bytes.
    pub fn length(&self) -> u64 {
        self.chunks
            .iter()
            .map(|chunk| u64::from(chunk.length))
            .sum()
    }

    /// Serializes the manifest to the JSON text whose digest identifies it.
    ///
    /// # Panics
    /// Never: all fields are serializable.
    pub fn render(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("manifests are serializable")
    }
}

/// Returns the object name of a manifest at the origin.
pub fn object(digest: &Digest) -> String {
    format!("manifests/{digest}")
}

/// Returns the object name of a chunk at the origin.
pub fn chunk_object(digest: &Digest) -> String {
    format!("chunks/{digest}")
}
