//! Parsing and checking of settings files and other documents.

use jsonc_parser::{
    CollectOptions,
    ast::{Object, Value},
    common::Ranged,
    parse_to_ast,
};
use serde::de::DeserializeOwned;

use crate::{
    check::{self, Checker},
    daemon::{Daemon, Role},
    fields::{DAEMON, Field, OPERATOR},
    finding::{Finding, Position},
    operator::Operator,
    role,
};

/// Reads a daemon's settings from JSON with comments. Without a role, the settings must be those of an entry or an
/// agent.
///
/// # Errors
/// Returns all findings in document order.
pub fn daemon(document: &str, text: &str, role: Option<Role>) -> Result<Daemon, Vec<Finding>> {
    read(document, text, DAEMON, |checker, object| {
        role::check(checker, object, role);
    })
}

/// Reads an operator's settings from JSON with comments.
///
/// # Errors
/// Returns all findings in document order.
pub fn operator(document: &str, text: &str) -> Result<Operator, Vec<Finding>> {
    read(document, text, OPERATOR, |_, _| {})
}

/// Reads another document from JSON with comments and checks it against the definitions of its fields.
///
/// # Errors
/// Returns all findings in document order.
pub fn document<T: DeserializeOwned>(
    document: &str,
    text: &str,
    fields: &[Field],
) -> Result<T, Vec<Finding>> {
    read(document, text, fields, |_, _| {})
}

/// Finds the positions of fields by their paths, such as `plans[2].share`.
///
/// If a part of a path is missing, the position is that of the value in which it would be. If the text can't be parsed,
/// all positions are `None`.
pub fn find_positions(text: &str, paths: &[String]) -> Vec<Option<Position>> {
    let parsed = parse_to_ast(text, &CollectOptions::default(), &check::parse_options());
    let root = parsed.ok().and_then(|parsed| parsed.value);
    let offset = |path: &String| root.as_ref().map(|root| find_offset(root, path));
    let offsets = paths.iter().map(offset);
    offsets
        .map(|offset| offset.map(|offset| Position::from_offset(text, offset)))
        .collect()
}

/// Returns the byte offset of the value at a path, or of the innermost existing value on the way to it.
fn find_offset(root: &Value<'_>, path: &str) -> usize {
    let mut value = root;
    for step in path.split(['.', '[']).filter(|step| !step.is_empty()) {
        let found = match (value, step.strip_suffix(']')) {
            (Value::Array(array), Some(index)) => {
                let index = index.parse::<usize>().ok();
                index.and_then(|index| array.elements.get(index))
            }
            (Value::Object(object), None) => object.get(step).map(|property| &property.value),
            _ => None,
        };
        match found {
            Some(found) => value = found,
            None => break,
        }
    }
    value.range().start
}

/// Checks a document against the definitions of its fields and by `check_more`, and deserializes it.
fn read<T: DeserializeOwned>(
    document: &str,
    text: &str,
    fields: &[Field],
    check_more: impl FnOnce(&mut Checker<'_>, &Object<'_>),
) -> Result<T, Vec<Finding>> {
    let mut checker = Checker::new(document, text);
    if let Some(object) = checker.parse_object() {
        checker.check_fields(&object, fields, "");
        check_more(&mut checker, &object);
    }
    let findings = checker.into_findings();
    if !findings.is_empty() {
        return Err(findings);
    }
    // The field definitions are at least as strict as the types, so this fails only if the two contradict each other.
    jsonc_parser::parse_to_serde_value(text, &check::parse_options()).map_err(|error| {
        vec![Finding {
            document: document.to_owned(),
            place: Some(Position { line: 1, column: 1 }),
            field: String::new(),
            reason: error.to_string(),
            mend: String::new(),
        }]
    })
}

/// Returns whether a document is an object with a field of this name. Callers use this to recognize the kind of a
/// document.
pub fn has_field(text: &str, name: &str) -> bool {
    let object = Checker::new("", text).parse_object();
    object.is_some_and(|object| object.get(name).is_some())
}
