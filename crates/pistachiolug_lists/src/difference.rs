//! Differences and conflicts of an apply, with their text form for operators.

use std::fmt;

use serde_json::Value;

use crate::{
    check,
    row::{Edit, Name, Row},
};

/// Action of an apply on a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verb {
    /// The row is added.
    Add,
    /// The row's content changes.
    Change,
    /// The row is removed.
    Remove,
}

/// Changed field of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// Field's name.
    pub name: String,
    /// Value in the service; `None` if the row is added.
    pub before: Option<Value>,
    /// Value in the document; `None` if the document's row does not have the field.
    pub after: Option<Value>,
}

/// Effect of an apply on one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// Kind and name of the row.
    pub name: Name,
    /// Action on the row.
    pub verb: Verb,
    /// Changed fields in order of their names; empty if the row is removed.
    pub fields: Vec<Field>,
}

/// Row that both this checkout and someone else changed since the base of the checkout.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// Kind and name of the row.
    pub name: Name,
    /// Row in the document; `None` if the document removes it.
    pub document: Option<Value>,
    /// Row in the service; `None` if someone removed it or its value is not a valid row.
    pub service: Option<Value>,
    /// Author and time of the service's value, if it carries them.
    pub by: Option<Edit>,
    /// Revision of the service's value; 0 if the row was removed.
    pub revision: u64,
}

impl Difference {
    /// Compares a row before and after an apply; at least one of the two must be `Some`.
    pub fn between(name: &Name, before: Option<&Row>, after: Option<&Row>) -> Self {
        let verb = match (before, after) {
            (None, _) => Verb::Add,
            (Some(_), Some(_)) => Verb::Change,
            (Some(_), None) => Verb::Remove,
        };
        let after_fields = after.map(Row::render);
        let before_fields = before.map(Row::render);
        let field = |of: &Option<Value>, name: &str| of.as_ref()?.get(name).cloned();
        let names = after_fields.as_ref().and_then(Value::as_object);
        let names = names.into_iter().flat_map(|fields| fields.keys());
        let fields = names.map(|name| Field {
            name: name.clone(),
            before: field(&before_fields, name),
            after: field(&after_fields, name),
        });
        Self {
            name: name.clone(),
            verb,
            fields: fields.filter(|it| it.before != it.after).collect(),
        }
    }
}

impl Verb {
    /// Returns the action's name for messages and reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Add => "add",
            Self::Change => "change",
            Self::Remove => "remove",
        }
    }
}

impl fmt::Display for Difference {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = check::kind_label(self.name.kind);
        write!(
            formatter,
            "{} {kind} `{}`",
            self.verb.as_str(),
            self.name.name
        )?;
        for field in &self.fields {
            write!(formatter, "\n    {}: ", field.name)?;
            if let Some(before) = &field.before {
                write!(formatter, "{before} -> ")?;
            }
            match &field.after {
                Some(after) => write!(formatter, "{after}")?,
                None => formatter.write_str("(none)")?,
            }
        }
        Ok(())
    }
}

impl fmt::Display for Conflict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = check::kind_label(self.name.kind);
        let shown = |value: &Option<Value>| {
            let text = value.as_ref().map(ToString::to_string);
            text.unwrap_or_else(|| "(removed)".to_owned())
        };
        writeln!(formatter, "conflict on {kind} `{}`", self.name.name)?;
        writeln!(formatter, "    document: {}", shown(&self.document))?;
        write!(formatter, "    service:  {}", shown(&self.service))?;
        if self.revision > 0 {
            write!(formatter, "\n    written at revision {}", self.revision)?;
        }
        if let Some(edit) = &self.by {
            write!(formatter, " by {} at {} ms", edit.by, edit.at_ms)?;
        }
        Ok(())
    }
}
