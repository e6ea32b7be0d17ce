//! Parts of a prompt that a request shares with others.

use std::fmt;

use http::HeaderMap;

use crate::names::Names;

/// Largest number of parts that are kept of one request; callers choose how many they send.
const MAX_PARTS: usize = 32;

/// Largest number of ids in a log field.
const MAX_LOGGED_IDS: usize = 8;

/// Largest number of characters of one id in a log field.
const MAX_LOGGED_CHARS: usize = 16;

/// Ids of the shared parts of a prompt, in order. The last part of a prompt belongs to the request or its session and
/// is left out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prefix {
    ids: Vec<Box<str>>,
}

impl Prefix {
    /// Reads the shared parts from a request's headers; empty without a valid header. Parts beyond the first 32 are
    /// ignored.
    pub fn from_headers(headers: &HeaderMap, names: &Names) -> Self {
        let mut ids: Vec<Box<str>> = parts(headers, names).map(|(id, _)| id.into()).collect();
        ids.pop();
        Self { ids }
    }

    /// Returns the ids in lower case, in the order of the prompt.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.ids.iter().map(|id| &**id)
    }
}

/// Returns the ids in lower case and the tokens of the first 33 parts of a prompt, the request's own part included; `None` for
/// tokens that are not stated as a number.
pub fn parts<'a>(
    headers: &'a HeaderMap,
    names: &Names,
) -> impl Iterator<Item = (String, Option<u32>)> + use<'a> {
    let values = headers.get_all(&names.prefix).iter();
    let entries = values.filter_map(|value| value.to_str().ok());
    let parts = entries.flat_map(|value| value.split(',')).map(split);
    parts
        .filter(|(id, _)| !id.is_empty())
        .take(MAX_PARTS + 1)
        .map(|(id, tokens)| (id.to_ascii_lowercase(), tokens))
}

/// Splits an entry `ID:TOKENS`.
fn split(entry: &str) -> (&str, Option<u32>) {
    let (id, tokens) = entry.split_once(':').unwrap_or((entry, ""));
    (id.trim(), tokens.trim().parse().ok())
}

/// Writes the first ids, separated by commas, and the number of those left out.
impl fmt::Display for Prefix {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, id) in self.ids.iter().take(MAX_LOGGED_IDS).enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(formatter, "{separator}{id:.MAX_LOGGED_CHARS$}")?;
        }
        match self.ids.len().saturating_sub(MAX_LOGGED_IDS) {
            0 => Ok(()),
            left_out => write!(formatter, ",+{left_out}"),
        }
    }
}
