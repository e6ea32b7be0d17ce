//! Reading of settings files.

use jsonc_parser::ast::Object;
use serde::de::DeserializeOwned;

use crate::{
    check::{self, Check},
    daemon::{Daemon, Role},
    fields::{DAEMON, Field, OPERATOR},
    finding::{Finding, Place},
    operator::Operator,
    role,
};

/// Reads a daemon's settings from JSON with comments; without a role, either role must fit.
///
/// # Errors
/// Returns all findings in the order of the document.
pub fn daemon(document: &str, text: &str, role: Option<Role>) -> Result<Daemon, Vec<Finding>> {
    read(document, text, DAEMON, |check, object| {
        role::check(check, object, role);
    })
}

/// Reads an operator's settings from JSON with comments.
///
/// # Errors
/// Returns all findings in the order of the document.
pub fn operator(document: &str, text: &str) -> Result<Operator, Vec<Finding>> {
    read(document, text, OPERATOR, |_, _| {})
}

fn read<T: DeserializeOwned>(
    document: &str,
    text: &str,
    fields: &[Field],
    more: impl FnOnce(&mut Check<'_>, &Object<'_>),
) -> Result<T, Vec<Finding>> {
    let mut check = Check::new(document, text);
    if let Some(object) = check.object() {
        check.fields(&object, fields, "");
        more(&mut check, &object);
    }
    let findings = check.finish();
    if !findings.is_empty() {
        return Err(findings);
    }
    // The table of fields is at least as strict as the types, so this fails only where the two differ.
    jsonc_parser::parse_to_serde_value(text, &check::options()).map_err(|error| {
        vec![Finding {
            document: document.to_owned(),
            place: Some(Place { line: 1, column: 1 }),
            field: String::new(),
            reason: error.to_string(),
            mend: String::new(),
        }]
    })
}
