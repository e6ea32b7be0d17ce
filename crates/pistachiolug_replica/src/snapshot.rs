//! Rows as one process hands them to another.

use bytes::Bytes;
use pistachiolug_platform::kv::{Entry, Range};
use serde::{Deserialize, Serialize};
use snafu::{ResultExt, Snafu};

use crate::rows::Rows;

/// Reports a snapshot that can't be read.
#[derive(Debug, Snafu)]
#[snafu(display("malformed snapshot: {source}"))]
pub struct Error {
    /// Cause given by the codec.
    source: postcard::Error,
}

#[derive(Serialize, Deserialize)]
struct Message<'a> {
    revision: u64,
    #[serde(borrow)]
    rows: Vec<Row<'a>>,
}

#[derive(Serialize, Deserialize)]
struct Row<'a> {
    key: &'a str,
    value: &'a [u8],
    revision: u64,
}

/// Encodes all rows.
///
/// # Errors
/// [`Error`] when the codec refuses the rows.
pub fn encode(rows: &Rows) -> Result<Vec<u8>, Error> {
    let message = Message {
        revision: rows.revision(),
        rows: rows
            .entries()
            .map(|entry| Row {
                key: &entry.key,
                value: &entry.value,
                revision: entry.revision,
            })
            .collect(),
    };
    postcard::to_stdvec(&message).context(Snafu)
}

/// Decodes what [`encode`] made.
///
/// # Errors
/// [`Error`] for bytes that are no snapshot.
pub fn decode(bytes: &[u8]) -> Result<Range, Error> {
    let message: Message<'_> = postcard::from_bytes(bytes).context(Snafu)?;
    let entries = message.rows.iter().map(|row| Entry {
        key: row.key.to_owned(),
        value: Bytes::copy_from_slice(row.value),
        revision: row.revision,
    });
    Ok(Range {
        entries: entries.collect(),
        revision: message.revision,
    })
}
