//! Notices of requests that were running when a backend server crashed.

use serde::{Deserialize, Serialize};

use crate::digest::Digest;

/// Notice of crashes to an agent, sent before the lists are updated; posted to `/internal/crash`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Notice {
    /// Crashes, one for each content that was running.
    pub deaths: Vec<Death>,
}

/// Crash of one backend server while it ran a content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Death {
    /// Digest of the content ([`Work::content_digest`](crate::call::Work::content_digest)).
    pub content: Digest,
    /// Incarnation of the backend server, by which a crash that is reported several times counts once.
    pub incarnation: u64,
}
