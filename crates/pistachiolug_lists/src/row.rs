//! Rows of the lists as stored in the key-value service.
//!
//! Each row has its own key, so that concurrent edits conflict only if they change the same row.

use serde::{Deserialize, Serialize};

use serde_json::{Map, Value};
use snafu::Snafu;

use crate::{
    customer::Customer,
    plan::{Model, Plan, Service},
    suspect::Suspect,
};

/// Field of a stored row that holds its [`Edit`]; rows written by other clients may lack it.
const EDIT_FIELD: &str = "edit";

/// Prefix of the keys of all rows.
pub const PREFIX: &str = "pistachiolug/lists/";

/// Kind of a row; its name is the part of the row's key that follows [`PREFIX`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Customers, from the customers list.
    Customers,
    /// Plans, from the plans list.
    Plans,
    /// Models, from the plans list.
    Models,
    /// Plain services, from the plans list.
    Services,
    /// Crash suspects, written by agents and not by operators.
    Suspects,
}

impl Kind {
    /// All kinds, ordered so that rows refer only to rows of later kinds.
    pub const ALL: [Self; 5] = [
        Self::Customers,
        Self::Plans,
        Self::Models,
        Self::Services,
        Self::Suspects,
    ];

    /// Kinds that operators edit, in the order of [`Kind::ALL`].
    pub const EDITED: [Self; 4] = [Self::Customers, Self::Plans, Self::Models, Self::Services];

    /// Returns the name of the kind, as used in keys.
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

/// Name of a row, unique across all kinds.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Name {
    /// Kind of the row.
    pub kind: Kind,
    /// Name within the kind; for a crash suspect, the content's digest in hexadecimal.
    pub name: String,
}

impl Name {
    /// Returns the key of the row in the key-value service.
    pub fn key(&self) -> String {
        format!("{PREFIX}{}/{}", self.kind.as_str(), self.name)
    }

    /// Parses the key of a row; `None` if the key is not a row's key.
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
    /// Row of [`Kind::Customers`].
    Customer(Customer),
    /// Row of [`Kind::Plans`].
    Plan(Plan),
    /// Row of [`Kind::Models`].
    Model(Model),
    /// Row of [`Kind::Services`].
    Service(Service),
    /// Row of [`Kind::Suspects`].
    Suspect(Suspect),
}

/// Author and time of a write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Name of the operator who wrote the row.
    pub by: String,
    /// Time of the write in milliseconds since 1970, by the operator's clock.
    pub at_ms: u64,
    /// Random token by which a writer recognises its own write when the response was lost.
    pub token: String,
}

/// Row as stored in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stored {
    /// Content of the row.
    pub row: Row,
    /// Author and time of the write; `None` if the writer did not record them.
    pub edit: Option<Edit>,
}

/// Error of a value that is not a valid row of its kind.
#[derive(Debug, Snafu)]
#[snafu(context(false), display("{source}"))]
pub struct Error {
    source: serde_json::Error,
}

impl Row {
    /// Parses a stored value as a row of a kind.
    ///
    /// # Errors
    /// Returns an error if the value is not valid JSON or not a row of this kind.
    pub fn parse(kind: Kind, value: &[u8]) -> Result<Self, Error> {
        Stored::parse(kind, value).map(|stored| stored.row)
    }

    /// Returns the kind and name of the row.
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

    /// Converts the row into a JSON object with its fields in a fixed order.
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
    /// Parses a stored value as a row of a kind, with its edit.
    ///
    /// # Errors
    /// Returns an error if the value is not valid JSON or not a row of this kind.
    pub fn parse(kind: Kind, value: &[u8]) -> Result<Self, Error> {
        let mut fields: Map<String, Value> = serde_json::from_slice(value)?;
        let edit = fields.remove(EDIT_FIELD).map(serde_json::from_value);
        let edit = edit.transpose()?;
        let row = Row::from_value(kind, Value::Object(fields))?;
        Ok(Self { row, edit })
    }

    /// Serializes the row for the key-value service.
    pub fn render(&self) -> Vec<u8> {
        let mut value = self.row.render();
        if let (Some(fields), Some(edit)) = (value.as_object_mut(), &self.edit) {
            fields.insert(EDIT_FIELD.to_owned(), serde_json::json!(edit));
        }
        value.to_string().into_bytes()
    }
}
