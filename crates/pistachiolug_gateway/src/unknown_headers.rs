//! Headers of servers' answers that this version does not know. A server may state something new of itself in one.

use http::{HeaderMap, HeaderName, header};
use rustc_hash::FxHashSet;

use crate::names::Names;

/// Largest number of names that are remembered, and so logged.
const MAX_NAMES: usize = 64;

/// Headers of any HTTP answer.
const USUAL: [HeaderName; 12] = [
    header::CACHE_CONTROL,
    header::CONNECTION,
    header::CONTENT_ENCODING,
    header::CONTENT_LENGTH,
    header::CONTENT_TYPE,
    header::DATE,
    header::ETAG,
    header::RETRY_AFTER,
    header::SERVER,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    HeaderName::from_static("keep-alive"),
];

/// Names of unknown headers that were found.
#[derive(Debug, Default)]
pub struct UnknownHeaders {
    names: FxHashSet<HeaderName>,
}

impl UnknownHeaders {
    /// Returns the unknown headers of an answer that were not found before.
    pub fn find_new(&mut self, headers: &HeaderMap, names: &Names) -> Vec<HeaderName> {
        let unknown = headers.keys().filter(|name| !is_known(name, names));
        let mut new = Vec::new();
        for name in unknown {
            if self.names.len() < MAX_NAMES && self.names.insert(name.clone()) {
                new.push(name.clone());
            }
        }
        new
    }
}

fn is_known(name: &HeaderName, names: &Names) -> bool {
    let own = [
        &names.attempt,
        &names.signature,
        &names.not_run,
        &names.draining,
        &names.limit,
    ];
    own.contains(&name) || USUAL.contains(name) || names.passed_on.contains(name)
}
