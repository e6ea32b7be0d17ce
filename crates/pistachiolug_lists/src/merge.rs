//! Three-way merge of one row, without I/O.

use pistachiolug_wire::digest::Digest;

use crate::{base, row::Row};

/// Result of merging one row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// Document and service have the same content.
    Same,
    /// Only the service's row changed since the base; it is kept.
    Behind,
    /// The row exists only in the service and is not in the base; it is kept.
    Unmanaged,
    /// Only the document changed; its row is written to the service, or removed from it.
    Write,
    /// Document and service both changed, to different content.
    Conflict,
}

/// Merges the document's and the service's version of a row; `base` is the digest of their common ancestor.
///
/// `None` means that the row does not exist on that side.
pub fn merge_row(base: Option<&Digest>, document: Option<&Row>, service: Option<&Row>) -> Merge {
    let document = document.map(base::digest);
    let service = service.map(base::digest);
    if document == service {
        return Merge::Same;
    }
    match base {
        Some(base) if document.as_ref() == Some(base) => Merge::Behind,
        Some(base) if service.as_ref() == Some(base) => Merge::Write,
        None if document.is_none() => Merge::Unmanaged,
        None if service.is_none() => Merge::Write,
        _ => Merge::Conflict,
    }
}
