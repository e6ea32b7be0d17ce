//! Texts of documents, decoded from the bytes of their files.

use std::{fs, io, path::Path};

use crate::finding::{Finding, Position};

/// Name and text of a document. Bytes that are not UTF-8 are a finding like any other, so that the rest of the document
/// can be checked too.
#[derive(Debug, Clone, Default)]
pub struct Source {
    /// Name used in findings, such as the path of the file.
    pub name: String,
    /// Text in which one character stands for each sequence of bytes that is not UTF-8; valid as it is only if `fault`
    /// is `None`.
    pub text: String,
    /// Finding about the first byte that is not UTF-8.
    pub fault: Option<Finding>,
}

impl Source {
    /// Reads a file; its path is the name of the document.
    ///
    /// # Errors
    /// Returns the error of reading the file. Bytes that are not UTF-8 are no error but the document's `fault`.
    pub fn read(path: &Path) -> io::Result<Self> {
        Ok(Self::decode(path.display().to_string(), fs::read(path)?))
    }

    /// Decodes the content of a document.
    pub fn decode(name: String, content: Vec<u8>) -> Self {
        match String::from_utf8(content) {
            Ok(text) => Self {
                name,
                text,
                fault: None,
            },
            Err(error) => {
                let text = String::from_utf8_lossy(error.as_bytes()).into_owned();
                let offset = error.utf8_error().valid_up_to();
                let fault = Finding {
                    document: name.clone(),
                    place: Some(Position::from_offset(&text, offset)),
                    field: String::new(),
                    reason: format!("is not UTF-8 at byte offset {offset}"),
                    mend: "save the file as UTF-8".to_owned(),
                };
                Self {
                    name,
                    text,
                    fault: Some(fault),
                }
            }
        }
    }

    /// Parses the document, by its name and text. The value is returned only if all bytes are UTF-8.
    ///
    /// # Errors
    /// Returns the `fault`, followed by the findings of `parse`.
    pub fn parse<T>(
        &self,
        parse: impl FnOnce(&str, &str) -> Result<T, Vec<Finding>>,
    ) -> Result<T, Vec<Finding>> {
        let parsed = parse(&self.name, &self.text);
        match &self.fault {
            None => parsed,
            Some(fault) => Err(join(vec![fault.clone()], parsed.err().unwrap_or_default())),
        }
    }
}

/// Returns the faults of documents, followed by the other findings without those at the place of a fault, which are its
/// consequences.
pub fn join(faults: Vec<Finding>, findings: Vec<Finding>) -> Vec<Finding> {
    let has_fault = |finding: &Finding| {
        let same =
            |fault: &Finding| fault.document == finding.document && fault.place == finding.place;
        faults.iter().any(same)
    };
    let others: Vec<Finding> = findings
        .into_iter()
        .filter(|finding| !has_fault(finding))
        .collect();
    faults.into_iter().chain(others).collect()
}
