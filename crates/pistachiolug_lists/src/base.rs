//! Common ancestor of a three-way merge: the rows that a checkout of the two lists is based on.

use std::collections::BTreeMap;

use pistachiolug_wire::digest::Digest;
use serde::{Deserialize, Serialize};

use crate::row::{Kind, Name, Row};

/// Digests of the rows at the time the documents and the key-value service last agreed.
///
/// Stored in a file next to the documents and committed with them, so that every checkout has the base that matches its
/// documents.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Base {
    /// Digest of each row's content.
    pub rows: BTreeMap<Name, Digest>,
}

#[derive(Debug, Serialize, Deserialize)]
struct File(BTreeMap<Kind, BTreeMap<String, Digest>>);

impl Base {
    /// Parses the content of a base file.
    ///
    /// # Errors
    /// Returns the JSON error if the text is not a valid base file.
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

    /// Renders the base file with one row per line in sorted order, so that version control can merge it row by row.
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

/// Returns the digest of a row's content; the author and time of the write are not part of it.
pub fn digest(row: &Row) -> Digest {
    Digest::of(row.render().to_string().as_bytes())
}
