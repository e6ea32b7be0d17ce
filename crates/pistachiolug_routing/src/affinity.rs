//! Affinity of prompts that share a prefix, so that an engine's prefix cache is hit.
//!
//! The preferred instance follows from the prompt's beginning by rendezvous hashing (Thaler and Ravishankar, 1998).
//! Nothing is remembered, so a lost cache event or a restarted engine leaves no false belief behind.

use crate::subset::{hash, weight};

/// Bytes of a prompt that decide its affinity; about 256 tokens.
pub const PREFIX_BYTES: usize = 1024;

/// Returns the part of a prompt that decides its affinity.
pub fn prefix(prompt: &[u8]) -> &[u8] {
    &prompt[..prompt.len().min(PREFIX_BYTES)]
}

/// Returns the index of the instance that prompts with this prefix prefer.
///
/// # Arguments
/// `names` are the hashes of the instances' names.
pub fn prefer(prefix: &[u8], names: impl Iterator<Item = u64>) -> Option<usize> {
    let prefix = hash(prefix);
    let best = names
        .enumerate()
        .max_by_key(|(_, name)| weight(prefix, *name));
    best.map(|(index, _)| index)
}
