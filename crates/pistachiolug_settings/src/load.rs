//! Reading of settings files.

use jsonc_parser::{
    CollectOptions,
    ast::{Object, Value},
    common::Ranged,
    parse_to_ast,
};
use serde::de::DeserializeOwned;

use crate::{
    check::{self, Check},
    daemon::{Daemon, Role},
    fields::{DAEMON, Field, OPERATOR},
    finding::{Finding, Position},
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

/// Reads another document of JSON with comments by the table of its fields.
///
/// # Errors
/// Returns all findings in the order of the document.
pub fn document<T: DeserializeOwned>(
    document: &str,
    text: &str,
    fields: &[Field],
) -> Result<T, Vec<Finding>> {
    read(document, text, fields, |_, _| {})
}

/// Finds the places of fields by their paths, such as `plans[2].share`; a missing part gives the place of its holder.
pub fn find_positions(text: &str, paths: &[String]) -> Vec<Option<Position>> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &check::options());
    let root = parsed.ok().and_then(|parsed| parsed.value);
    let offset = |path: &String| root.as_ref().map(|root| offset(root, path));
    let offsets = paths.iter().map(offset);
    offsets
        .map(|at| at.map(|at| Position::from_offset(text, at)))
        .collect()
}

fn offset(root: &Value<'_>, path: &str) -> usize {
    let mut value = root;
    for step in path.split(['.', '[']).filter(|step| !step.is_empty()) {
        let found = match (value, step.strip_suffix(']')) {
            (Value::Array(array), Some(index)) => {
                let index = index.parse::<usize>().ok();
                index.and_then(|index| array.elements.get(index))
            }
            (Value::Object(object), None) => object.get(step).map(|it| &it.value),
            _ => None,
        };
        match found {
            Some(found) => value = found,
            None => break,
        }
    }
    value.range().start
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
            place: Some(Position { line: 1, column: 1 }),
            field: String::new(),
            reason: error.to_string(),
            mend: String::new(),
        }]
    })
}

/// Tells whether a document is an object with a field of this name, which tells kinds of documents apart.
pub fn has_field(text: &str, name: &str) -> bool {
    let object = Check::new("", text).object();
    object.is_some_and(|object| object.get(name).is_some())
}
