//! Findings in documents with their positions; all findings of a document are reported together.

use std::fmt;

use serde::Serialize;

/// Position in a text; lines and columns count from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Position {
    /// Line number.
    pub line: usize,
    /// Column number, in characters.
    pub column: usize,
}

/// Fault in a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// Name of the document, such as its path.
    pub document: String,
    /// Position in the document; `None` if the finding does not come from its text.
    pub place: Option<Position>,
    /// Path of the field, such as `plans[2].share`; empty for the whole document.
    pub field: String,
    /// What is wrong.
    pub reason: String,
    /// Suggested fix; empty without one.
    pub mend: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.document)?;
        if let Some(place) = self.place {
            write!(formatter, ":{}:{}", place.line, place.column)?;
        }
        if !self.field.is_empty() {
            write!(formatter, ": {}", self.field)?;
        }
        write!(formatter, ": {}", self.reason)?;
        if !self.mend.is_empty() {
            write!(formatter, " ({})", self.mend)?;
        }
        Ok(())
    }
}

impl Position {
    /// Returns the position of a byte offset in a text; an offset beyond its end gives the position of the end.
    pub fn from_offset(text: &str, offset: usize) -> Self {
        let mut end = offset.min(text.len());
        while !text.is_char_boundary(end) {
            end -= 1;
        }
        let before = &text[..end];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Self {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}
