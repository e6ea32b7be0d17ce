//! Rows as the key-value service stores them: one key per row, so that racing edits meet only on the same row.

use serde::{Deserialize, Serialize};

use serde_json::{Map, Value};
use snafu::Snafu;

use crate::{
    customer::Customer,
    plan::{Model, Plan, Service},
    suspect::Suspect,
};

/// Field of a stored row that tells who wrote it; rows written by other clients may lack it.
const EDIT: &str = "edit";

/// Prefix of all rows in the key-value service.
pub const PREFIX: &str = "pistachiolug/lists/";

/// Kind of a row, which is the key's second last part.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Customer.
    Customers,
    /// Plan.
    Plans,
    /// Model.
    Models,
    /// Plain service.
    Services,
    /// Crash suspect; written by agents, never by operators.
    Suspects,
}

impl Kind {
    /// All kinds, in the order in which rows may refer to each other: later ones to earlier ones never.
    pub const ALL: [Self; 5] = [
        Self::Customers,
        Self::Plans,
        Self::Models,
        Self::Services,
        Self::Suspects,
    ];

    /// Kinds that operators edit, in the same order.
    pub const EDITED: [Self; 4] = [Self::Customers, Self::Plans, Self::Models, Self::Services];

    /// Returns the kind's part of a key.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Customers => "customers",
            Self::Plans => "plans",
            Self::Models => "models",
            Self::Services => "services",
            Self::Suspects => "suspects",
        }
    }
}

/// Name of a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Name {
    /// Kind.
    pub kind: Kind,
    /// Name within its kind.
    pub name: String,
}

impl Name {
    /// Returns the row's key in the key-value service.
    pub fn key(&self) -> String {
        format!("{PREFIX}{}/{}", self.kind.as_str(), self.name)
    }

    /// Reads a row's name from its key.
    pub fn parse(key: &str) -> Option<Self> {
        let (kind, name) = key.strip_prefix(PREFIX)?.split_once('/')?;
        let kind = Kind::ALL.into_iter().find(|known| known.as_str() == kind)?;
        Some(Self {
            kind,
            name: name.to_owned(),
        })
    }
}

/// Content of a row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Row {
    /// Customer.
    Customer(Customer),
    /// Plan.
    Plan(Plan),
    /// Model.
    Model(Model),
    /// Plain service.
    Service(Service),
    /// Crash suspect.
    Suspect(Suspect),
}

/// Who wrote a row, and when.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Operator's name.
    pub by: String,
    /// Time in milliseconds since 1970 by the operator's clock.
    pub at_ms: u64,
    /// Drawn at random per write, so that a writer recognises its own.
    pub token: String,
}

/// Row as the key-value service holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Content.
    pub row: Row,
    /// Writer, if it said so.
    pub edit: Option<Edit>,
}

/// Reports a value that is no row of its kind.
#[derive(Debug, Snafu)]
#[snafu(context(false), display("{source}"))]
pub struct Error {
    source: serde_json::Error,
}

impl Row {
    /// Reads a row of a kind from its JSON value.
    ///
    /// # Errors
    /// Returns the parser's error.
    pub fn parse(kind: Kind, value: &[u8]) -> Result<Self, Error> {
        Stored::parse(kind, value).map(|stored| stored.row)
    }

    /// Returns the row's name.
    pub fn name(&self) -> Name {
        let (kind, name) = match self {
            Self::Customer(customer) => (Kind::Customers, customer.name.clone()),
            Self::Plan(plan) => (Kind::Plans, plan.name.clone()),
            Self::Model(model) => (Kind::Models, model.name.clone()),
            Self::Service(service) => (Kind::Services, service.name.clone()),
            Self::Suspect(suspect) => (Kind::Suspects, suspect.digest.to_string()),
        };
        Name { kind, name }
    }

    /// Renders the row as a JSON object with its fields in order.
    pub fn render(&self) -> Value {
        let rendered = match self {
            Self::Customer(customer) => serde_json::to_value(customer),
            Self::Plan(plan) => serde_json::to_value(plan),
            Self::Model(model) => serde_json::to_value(model),
            Self::Service(service) => serde_json::to_value(service),
            Self::Suspect(suspect) => serde_json::to_value(suspect),
        };
        rendered.unwrap_or_default()
    }

    fn from_value(kind: Kind, value: Value) -> Result<Self, serde_json::Error> {
        match kind {
            Kind::Customers => serde_json::from_value(value).map(Self::Customer),
            Kind::Plans => serde_json::from_value(value).map(Self::Plan),
            Kind::Models => serde_json::from_value(value).map(Self::Model),
            Kind::Services => serde_json::from_value(value).map(Self::Service),
            Kind::Suspects => serde_json::from_value(value).map(Self::Suspect),
        }
    }
}

impl Stored {
    /// Reads a stored row of a kind.
    ///
    /// # Errors
    /// Returns the parser's error.
    pub fn parse(kind: Kind, value: &[u8]) -> Result<Self, Error> {
        let mut fields: Map<String, Value> = serde_json::from_slice(value)?;
        let edit = fields.remove(EDIT).map(serde_json::from_value);
        let edit = edit.transpose()?;
        let row = Row::from_value(kind, Value::Object(fields))?;
        Ok(Self { row, edit })
    }

    /// Renders the row for the key-value service.
    pub fn render(&self) -> Vec<u8> {
        let mut value = self.row.render();
        if let (Some(fields), Some(edit)) = (value.as_object_mut(), &self.edit) {
            fields.insert(EDIT.to_owned(), serde_json::json!(edit));
        }
        value.to_string().into_bytes()
    }
}
