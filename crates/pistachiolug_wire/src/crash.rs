//! Notices of requests that were running when a backend server died.

use serde::{Deserialize, Serialize};

use crate::digest::Digest;

/// Tells an agent of deaths, ahead of the lists; posted to `/internal/crash`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Deaths, one for each content that was running.
    pub deaths: Vec<Death>,
}

/// Death of one backend server while it ran a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Death {
    /// Digest of the content.
    pub content: Digest,
    /// Incarnation of the backend server, so that one death counts once.
    pub incarnation: u64,
}
