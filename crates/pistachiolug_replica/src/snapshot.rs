//! Encoding of rows that one process sends to another.

use bytes::Bytes;
use pistachiolug_platform::kv::{Entry, Range};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::rows::{Change, Delta, Rows};

/// Failure to encode or decode rows.
#[derive(Debug, Snafu)]
#[snafu(display("rows can't be encoded or decoded: {source}"))]
pub struct Error {
    /// Error of the codec.
    source: postcard::Error,
}

#[derive(Serialize, Deserialize)]
struct Message<'a> {
    /// Revision to which the changes have to be applied; 0 if `rows` are all rows.
    after: u64,
    /// Revision after the changes.
    revision: u64,
    #[serde(borrow)]
    rows: Vec<Row<'a>>,
    /// Keys of the removed rows.
    removed: Vec<&'a str>,
}

#[derive(Serialize, Deserialize)]
struct Row<'a> {
    key: &'a str,
    value: &'a [u8],
    revision: u64,
}

impl<'a> Row<'a> {
    fn new(entry: &'a Entry) -> Self {
        Self {
            key: &entry.key,
            value: &entry.value,
            revision: entry.revision,
        }
    }

    fn to_entry(&self) -> Entry {
        Entry {
            key: self.key.to_owned(),
            value: Bytes::copy_from_slice(self.value),
            revision: self.revision,
        }
    }
}

/// Encodes the changes after a revision, or all rows if the changes are not all known or `after` is 0.
///
/// # Errors
/// Returns an [`Error`] if the codec fails.
pub fn encode(rows: &Rows, after: u64) -> Result<Vec<u8>, Error> {
    let delta = rows.delta(after);
    let message = match &delta {
        Some(delta) => Message {
            after,
            revision: delta.revision,
            rows: delta.entries.iter().map(Row::new).collect(),
            removed: delta.removed.iter().map(String::as_str).collect(),
        },
        None => Message {
            after: 0,
            revision: rows.revision(),
            rows: rows.entries().map(Row::new).collect(),
            removed: Vec::new(),
        },
    };
    postcard::to_stdvec(&message).context(Snafu)
}

/// Decodes the output of [`encode`], applies it to the rows and returns the changes.
///
/// # Errors
/// Returns an [`Error`] if the bytes can't be decoded; the rows are then not changed.
pub fn apply(bytes: &[u8], rows: &mut Rows) -> Result<Vec<Change>, Error> {
    let message: Message<'_> = postcard::from_bytes(bytes).context(Snafu)?;
    let entries: Vec<Entry> = message.rows.iter().map(Row::to_entry).collect();
    if message.after == 0 {
        return Ok(rows.reset(Range {
            entries,
            revision: message.revision,
        }));
    }
    Ok(rows.merge(Delta {
        base_revision: message.after,
        revision: message.revision,
        entries,
        removed: message.removed.into_iter().map(str::to_owned).collect(),
    }))
}
