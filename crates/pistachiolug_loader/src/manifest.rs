//! Digests of a version's pieces.

use sha2::{Digest as _, Sha256};

/// SHA-256 of one piece.
pub type Digest = [u8; 32];

/// Pieces of one version by digest, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Manifest {
    /// Digests in order of the pieces.
    pub digests: Vec<Digest>,
}

impl Manifest {
    /// Tells whether `bytes` are the piece at `index`.
    pub fn fits(&self, index: usize, bytes: &[u8]) -> bool {
        let digest: Digest = Sha256::digest(bytes).into();
        self.digests.get(index) == Some(&digest)
    }
}
