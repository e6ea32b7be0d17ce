//! What an apply would do to a row, for people to read.

use std::fmt;

use serde_json::Value;

use crate::{
    check,
    row::{Edit, Name, Row},
};

/// What happens to a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verb {
    /// The row is new.
    Add,
    /// The row's content changes.
    Change,
    /// The row goes.
    Remove,
}

/// One field that changes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// Name.
    pub name: String,
    /// Value in the service; `None` where the row is new.
    pub before: Option<Value>,
    /// Value in the document; `None` where the row goes.
    pub after: Option<Value>,
}

/// Effect of an apply on one row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Difference {
    /// Row's name.
    pub name: Name,
    /// What happens.
    pub verb: Verb,
    /// Fields that change, by name; empty for rows that go.
    pub fields: Vec<Field>,
}

/// Row that both this checkout and someone else changed since the checkout's base.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// Row's name.
    pub name: Name,
    /// Value in the document; `None` where it removes the row.
    pub document: Option<Value>,
    /// Value in the service; `None` where someone removed the row.
    pub service: Option<Value>,
    /// Who wrote the service's value, if they said so.
    pub by: Option<Edit>,
    /// Revision of the service's value; 0 where the row was removed.
    pub revision: u64,
}

impl Difference {
    /// Compares a row before and after; at least one of them is there.
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
    /// Returns the word for messages.
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
