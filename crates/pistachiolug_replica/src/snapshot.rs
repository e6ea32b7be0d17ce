//! Encoding of rows that one process sends to another.

use bytes::Bytes;
use pistachiolug_platform::kv::{Entry, Position, Range};
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
    /// Revision to which the changes have to be applied; `None` if `rows` are all rows.
    after: Option<u64>,
    /// Position after the changes; its era is also that of `after`.
    position: Position,
    #[serde(borrow)]
    rows: Vec<Row<'a>>,
    /// Keys of the removed rows.
    removed: Vec<&'a str>,
    /// Revisions between which other rows may have come and gone.
    gaps: Vec<(u64, u64)>,
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

/// Encodes the changes after a position, or all rows if [`Rows::delta`] has no such changes.
///
/// # Errors
/// Returns an [`Error`] if the codec fails.
pub fn encode(rows: &Rows, after: Position) -> Result<Vec<u8>, Error> {
    let delta = rows.delta(after);
    let message = match &delta {
        Some(delta) => Message {
            after: Some(after.revision),
            position: rows.position(),
            rows: delta.entries.iter().map(Row::new).collect(),
            removed: delta.removed.iter().map(String::as_str).collect(),
            gaps: delta.gaps.clone(),
        },
        None => Message {
            after: None,
            position: rows.position(),
            rows: rows.entries().map(Row::new).collect(),
            removed: Vec::new(),
            gaps: Vec::new(),
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
    let position = message.position;
    let Some(after) = message.after else {
        return Ok(rows.reset(Range { entries, position }));
    };
    Ok(rows.merge(Delta {
        base: Position::new(position.era, after),
        revision: position.revision,
        entries,
        removed: message.removed.into_iter().map(str::to_owned).collect(),
        gaps: message.gaps,
    }))
}
