//! Check of a whole document against a table of fields.

use std::collections::BTreeSet;

use jsonc_parser::{
    CollectOptions, ParseOptions,
    ast::{Object, ObjectProp, Value},
    common::Ranged,
    parse_to_ast,
};

use crate::{
    fields::{Field, Kind, Presence},
    finding::{Finding, Position},
    suggestion,
    value::{self, Wrong},
};

/// Options under which documents are read: JSON with comments and trailing commas, nothing looser.
pub(crate) fn options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        ..ParseOptions::default()
    }
}

/// Collects the findings of one document.
#[derive(Debug)]
pub(crate) struct Check<'a> {
    document: &'a str,
    text: &'a str,
    findings: Vec<Finding>,
}

impl<'a> Check<'a> {
    /// Starts the check of a document.
    pub(crate) fn new(document: &'a str, text: &'a str) -> Self {
        Self {
            document,
            text,
            findings: Vec::new(),
        }
    }

    /// Parses the document, or reports why it can't be.
    pub(crate) fn object(&mut self) -> Option<Object<'a>> {
        match parse_to_ast(self.text, &CollectOptions::default(), &options()) {
            Ok(parsed) => match parsed.value {
                Some(Value::Object(object)) => Some(object),
                value => {
                    let at = value.map_or(0, |value| value.range().start);
                    self.report(at, "", "is no object", "write { … }");
                    None
                }
            },
            Err(error) => {
                let at = error.range().start;
                self.report(at, "", error.kind().to_string(), "");
                None
            }
        }
    }

    /// Checks an object's fields.
    pub(crate) fn fields(&mut self, object: &Object<'a>, fields: &[Field], path: &str) {
        let mut seen = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let at = join(path, name);
            if !seen.insert(name.to_owned()) {
                self.report(property.range.start, &at, "stands twice", "keep one");
            }
            match fields.iter().find(|field| field.name == name) {
                Some(field) => self.property(field, property, &at),
                None => seen.extend(self.unknown(fields, property, &at)),
            }
        }
        let missing =
            |field: &&Field| field.presence == Presence::Required && !seen.contains(field.name);
        for field in fields.iter().filter(missing) {
            let at = join(path, field.name);
            self.report(object.range.start, &at, "is missing", field.description);
        }
    }

    /// Adds a finding at a byte offset.
    pub(crate) fn report(
        &mut self,
        offset: usize,
        field: &str,
        reason: impl Into<String>,
        mend: impl Into<String>,
    ) {
        self.findings.push(Finding {
            document: self.document.to_owned(),
            place: Some(Position::from_offset(self.text, offset)),
            field: field.to_owned(),
            reason: reason.into(),
            mend: mend.into(),
        });
    }

    /// Returns all findings in the order of the document.
    pub(crate) fn finish(mut self) -> Vec<Finding> {
        self.findings.sort_by_key(|finding| finding.place);
        self.findings
    }

    fn property(&mut self, field: &Field, property: &ObjectProp<'a>, at: &str) {
        self.value(field.kind, &property.value, at);
    }

    fn value(&mut self, kind: Kind, value: &Value<'a>, at: &str) {
        match (kind, value) {
            (Kind::Object(fields), Value::Object(object)) => self.fields(object, fields, at),
            (Kind::Array(kind), Value::Array(array)) => {
                for (index, element) in array.elements.iter().enumerate() {
                    self.value(*kind, element, &format!("{at}[{index}]"));
                }
            }
            (kind @ (Kind::Object(_) | Kind::Array(_)), value) => {
                self.wrong(value.range().start, at, value::wrong_type(kind, value));
            }
            (kind, value) => {
                if let Err(wrong) = value::check(kind, value) {
                    self.wrong(value.range().start, at, wrong);
                }
            }
        }
    }

    /// Reports an unknown field and returns the field it seems to stand for.
    fn unknown(&mut self, fields: &[Field], property: &ObjectProp<'a>, at: &str) -> Option<String> {
        let known = fields.iter().map(|field| field.name);
        let near = suggestion::find_similar(property.name.as_str(), known);
        let mend = match near {
            Some(near) => format!("did you mean `{near}`?"),
            None => "remove it".to_owned(),
        };
        self.report(property.range.start, at, "is no known field", mend);
        near.map(str::to_owned)
    }

    fn wrong(&mut self, offset: usize, at: &str, wrong: Wrong) {
        self.report(offset, at, wrong.reason, wrong.mend);
    }
}

fn join(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.to_owned();
    }
    format!("{path}.{name}")
}
