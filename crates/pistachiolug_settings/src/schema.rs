//! JSON schemas of the settings files, with which editors check and complete them.

use serde_json::{Map, Value, json};

use crate::fields::{DAEMON, Field, Kind, OPERATOR, Presence, Unit};

/// Renders the schema of a daemon's settings.
pub fn daemon() -> String {
    render("Settings of a pistachiolug entry or agent", DAEMON)
}

/// Renders the schema of an operator's settings.
pub fn operator() -> String {
    render("Settings of the pistachiolug command line", OPERATOR)
}

/// Renders the schema of a document with these top-level fields.
pub fn render(title: &str, fields: &[Field]) -> String {
    let mut schema = object_schema(fields);
    schema["$schema"] = json!("http://json-schema.org/draft-07/schema#");
    schema["title"] = json!(title);
    format!("{schema:#}\n")
}

fn object_schema(fields: &[Field]) -> Value {
    let properties: Map<String, Value> = fields
        .iter()
        .map(|field| (field.name.to_owned(), field_schema(field)))
        .collect();
    let required: Vec<&str> = fields
        .iter()
        .filter(|field| field.presence == Presence::Required)
        .map(|field| field.name)
        .collect();
    json!({
        "type": "object",
        "properties": properties,
        "required": required,
        "additionalProperties": false,
    })
}

fn field_schema(field: &Field) -> Value {
    let mut schema = kind_schema(field.kind);
    schema["description"] = json!(describe(field));
    schema
}

fn kind_schema(kind: Kind) -> Value {
    match kind {
        Kind::Text | Kind::Path => json!({ "type": "string", "minLength": 1 }),
        Kind::Name => json!({ "type": "string", "pattern": "^[a-z0-9-]+$" }),
        Kind::Address => json!({ "type": "string", "pattern": ":[0-9]+$" }),
        Kind::Url => json!({ "type": "string", "pattern": "^http://.*:[0-9]+$" }),
        Kind::Integer { min, max, .. } => {
            json!({ "type": "integer", "minimum": min, "maximum": max })
        }
        Kind::Float { min, max } => {
            json!({ "type": "number", "minimum": min, "maximum": max })
        }
        Kind::Choice(choices) => json!({ "enum": choices }),
        Kind::Boolean => json!({ "type": "boolean" }),
        Kind::Digest => json!({ "type": "string", "pattern": "^[0-9a-fA-F]{64}$" }),
        Kind::Object(fields) => object_schema(fields),
        Kind::Array(element) => json!({ "type": "array", "items": kind_schema(*element) }),
    }
}

/// Returns the description of a field, followed by its unit unless that is a count.
pub fn describe(field: &Field) -> String {
    match field.kind {
        Kind::Integer { unit, .. } if unit != Unit::Count => {
            format!("{} ({})", field.description, unit.as_str())
        }
        _ => field.description.to_owned(),
    }
}
