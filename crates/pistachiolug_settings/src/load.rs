//! Reading of settings files.

use jsonc_parser::ParseOptions;

use crate::{
    daemon::Daemon,
    finding::{Finding, Place},
};

/// Reads settings from JSON with comments.
///
/// # Errors
/// Returns all findings.
pub fn parse(document: &str, text: &str) -> Result<Daemon, Vec<Finding>> {
    jsonc_parser::parse_to_serde_value::<Daemon>(text, &ParseOptions::default()).map_err(|error| {
        vec![Finding {
            document: document.to_owned(),
            place: Some(Place::of(text, 0)),
            field: String::new(),
            reason: error.to_string(),
            mend: String::new(),
        }]
    })
}
