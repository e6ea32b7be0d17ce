//! Rows as one process hands them to another.

use bytes::Bytes;
use pistachiolug_platform::kv::{Entry, Range};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::rows::{Change, Delta, Rows};

/// Reports a message that can't be written or read.
#[derive(Debug, Snafu)]
#[snafu(display("malformed rows: {source}"))]
pub struct Error {
    /// Cause given by the codec.
    source: postcard::Error,
}

#[derive(Serialize, Deserialize)]
struct Message<'a> {
    /// Revision that the rows build on; 0 if they are all rows.
    after: u64,
    revision: u64,
    #[serde(borrow)]
    rows: Vec<Row<'a>>,
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

    fn entry(&self) -> Entry {
        Entry {
            key: self.key.to_owned(),
            value: Bytes::copy_from_slice(self.value),
            revision: self.revision,
        }
    }
}

/// Encodes what changed after a revision, or all rows if that is not known or `after` is 0.
///
/// # Errors
/// [`Error`] when the codec refuses the rows.
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

/// Takes what [`encode`] made into rows and returns what differs.
///
/// # Errors
/// [`Error`] for bytes that are no such message; nothing is taken then.
pub fn apply(bytes: &[u8], rows: &mut Rows) -> Result<Vec<Change>, Error> {
    let message: Message<'_> = postcard::from_bytes(bytes).context(Snafu)?;
    let entries: Vec<Entry> = message.rows.iter().map(Row::entry).collect();
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
