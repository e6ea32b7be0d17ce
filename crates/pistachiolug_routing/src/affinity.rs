//! Prefix affinity: sends prompts with the same prefix to the same instance, so that its engine's prefix cache is hit.
//!
//! The preferred instance is computed from the start of the prompt by rendezvous hashing (Thaler and Ravishankar,
//! 1998). The cache contents are not tracked, so a lost cache event or a restarted engine can't leave stale state
//! behind.

use crate::subset::{hash, weight};

/// Length of the prompt prefix that determines the affinity, in bytes; about 256 tokens.
pub const PREFIX_BYTES: usize = 1024;

/// Returns the first [`PREFIX_BYTES`] of a prompt, or all of a shorter one.
pub fn prefix(prompt: &[u8]) -> &[u8] {
    &prompt[..prompt.len().min(PREFIX_BYTES)]
}

/// Returns the index of the instance that is preferred for prompts with this prefix; `None` without instances.
///
/// # Arguments
/// `name_hashes` are the hashes of the instances' names.
pub fn prefer(prefix: &[u8], name_hashes: impl Iterator<Item = u64>) -> Option<usize> {
    let prefix_hash = hash(prefix);
    let preferred = name_hashes
        .enumerate()
        .max_by_key(|(_, name_hash)| weight(prefix_hash, *name_hash));
    preferred.map(|(index, _)| index)
}
