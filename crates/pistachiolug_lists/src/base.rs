//! What a checkout of the two lists was derived from: the common ancestor of a three-way merge.

use std::collections::BTreeMap;

use pistachiolug_wire::digest::Digest;
use serde::{Deserialize, Serialize};

use crate::row::{Kind, Name, Row};

/// Digests of the rows when the documents last agreed with the service.
///
/// Kept in a file beside the documents and committed with them, so that whoever checks out the documents has the base
/// that belongs to them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Base {
    /// Digest of each row.
    pub rows: BTreeMap<Name, Digest>,
}

#[derive(Debug, Serialize, Deserialize)]
struct File(BTreeMap<Kind, BTreeMap<String, Digest>>);

impl Base {
    /// Reads the file.
    ///
    /// # Errors
    /// Returns the parser's error.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        let File(kinds) = serde_json::from_str(text)?;
        let rows = kinds.into_iter().flat_map(|(kind, rows)| {
            rows.into_iter()
                .map(move |(name, digest)| (Name { kind, name }, digest))
        });
        Ok(Self {
            rows: rows.collect(),
        })
    }

    /// Renders the file: one row a line, in order, so that version control merges it by rows.
    pub fn render(&self) -> String {
        let mut kinds: BTreeMap<Kind, BTreeMap<String, Digest>> = BTreeMap::new();
        for (name, digest) in &self.rows {
            let rows = kinds.entry(name.kind).or_default();
            rows.insert(name.name.clone(), *digest);
        }
        let text = serde_json::to_string_pretty(&File(kinds));
        text.map_or_else(|_| String::new(), |text| text + "\n")
    }
}

/// Returns the digest of a row's content, whoever wrote it.
pub fn digest(row: &Row) -> Digest {
    Digest::of(row.render().to_string().as_bytes())
}
