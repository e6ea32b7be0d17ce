//! Check of a whole document against the definitions of its fields.

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
    value::{self, Problem},
};

/// Returns the options of the parser: JSON with comments and trailing commas, and no other extensions.
pub(crate) fn parse_options() -> ParseOptions {
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

/// Checker that collects the findings of one document.
#[derive(Debug)]
pub(crate) struct Checker<'a> {
    document: &'a str,
    text: &'a str,
    findings: Vec<Finding>,
}

impl<'a> Checker<'a> {
    /// Creates a checker for the text of a document; `document` is the name that findings show.
    pub(crate) fn new(document: &'a str, text: &'a str) -> Self {
        Self {
            document,
            text,
            findings: Vec::new(),
        }
    }

    /// Parses the document; reports a finding and returns `None` if it is not a JSON object.
    pub(crate) fn parse_object(&mut self) -> Option<Object<'a>> {
        match parse_to_ast(self.text, &CollectOptions::default(), &parse_options()) {
            Ok(parsed) => match parsed.value {
                Some(Value::Object(object)) => Some(object),
                value => {
                    let offset = value.map_or(0, |value| value.range().start);
                    self.report(offset, "", "is not an object", "write { … }");
                    None
                }
            },
            Err(error) => {
                let offset = error.range().start;
                self.report(offset, "", error.kind().to_string(), "");
                None
            }
        }
    }

    /// Checks the fields of an object; `path` is the path of the object, empty for the whole document.
    pub(crate) fn check_fields(&mut self, object: &Object<'a>, fields: &[Field], path: &str) {
        let mut seen = BTreeSet::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let field_path = join_path(path, name);
            if !seen.insert(name.to_owned()) {
                self.report(
                    property.range.start,
                    &field_path,
                    "is set twice",
                    "keep one",
                );
            }
            match fields.iter().find(|field| field.name == name) {
                Some(field) => self.check_property(field, property, &field_path),
                None => seen.extend(self.report_unknown(fields, property, &field_path)),
            }
        }
        let is_missing =
            |field: &&Field| field.presence == Presence::Required && !seen.contains(field.name);
        for field in fields.iter().filter(is_missing) {
            let field_path = join_path(path, field.name);
            self.report(
                object.range.start,
                &field_path,
                "is missing",
                field.description,
            );
        }
    }

    /// Adds a finding at a byte offset of the text; `field` is the path of the field.
    pub(crate) fn report(
        &mut self,
        offset: usize,
        field: &str,
        reason: impl Into<String>,
        fix: impl Into<String>,
    ) {
        self.findings.push(Finding {
            document: self.document.to_owned(),
            place: Some(Position::from_offset(self.text, offset)),
            field: field.to_owned(),
            reason: reason.into(),
            mend: fix.into(),
        });
    }

    /// Returns all findings in the order of the document.
    pub(crate) fn into_findings(mut self) -> Vec<Finding> {
        self.findings.sort_by_key(|finding| finding.place);
        self.findings
    }

    fn check_property(&mut self, field: &Field, property: &ObjectProp<'a>, path: &str) {
        self.check_value(field.kind, &property.value, path);
    }

    fn check_value(&mut self, kind: Kind, value: &Value<'a>, path: &str) {
        match (kind, value) {
            (Kind::Object(inner), Value::Object(object)) => self.check_fields(object, inner, path),
            (Kind::Array(kind), Value::Array(array)) => {
                for (index, element) in array.elements.iter().enumerate() {
                    self.check_value(*kind, element, &format!("{path}[{index}]"));
                }
            }
            (kind @ (Kind::Object(_) | Kind::Array(_)), value) => {
                self.report_problem(value.range().start, path, value::wrong_type(kind, value));
            }
            (kind, value) => {
                if let Err(problem) = value::check(kind, value) {
                    self.report_problem(value.range().start, path, problem);
                }
            }
        }
    }

    /// Reports an unknown field; returns the name of a known field that it resembles, which then does not count as
    /// missing. One misspelt name would otherwise give two findings.
    fn report_unknown(
        &mut self,
        fields: &[Field],
        property: &ObjectProp<'a>,
        path: &str,
    ) -> Option<String> {
        let known = fields.iter().map(|field| field.name);
        let similar = suggestion::find_similar(property.name.as_str(), known);
        let fix = match similar {
            Some(similar) => format!("did you mean `{similar}`?"),
            None => "remove it".to_owned(),
        };
        self.report(property.range.start, path, "is not a known field", fix);
        similar.map(str::to_owned)
    }

    fn report_problem(&mut self, offset: usize, path: &str, problem: Problem) {
        self.report(offset, path, problem.reason, problem.fix);
    }
}

/// Returns the path of a field of the object at `path`.
fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() {
        return name.to_owned();
    }
    format!("{path}.{name}")
}
