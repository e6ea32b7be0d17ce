//! Three-way merge of one row. Pure.

use pistachiolug_wire::digest::Digest;

use crate::{base, row::Row};

/// Result of a merge.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merge {
    /// Document and service agree.
    Same,
    /// The service's row stays; someone changed it since the checkout, and the document did not.
    Behind,
    /// The service's row stays; the checkout never knew it.
    Unmanaged,
    /// The document's row, or its absence, goes into the service.
    Write,
    /// Both changed.
    Conflict,
}

/// Merges a row of the document with that of the service over their common ancestor's digest.
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
