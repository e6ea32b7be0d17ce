//! Rows as the key-value service stores them: one key per row, so that racing edits meet only on the same row.

use serde::{Deserialize, Serialize};

use crate::{
    customer::Customer,
    plan::{Model, Plan, Service},
};

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
}

impl Kind {
    /// All kinds, in the order in which rows may refer to each other: later ones to earlier ones never.
    pub const ALL: [Self; 4] = [Self::Customers, Self::Plans, Self::Models, Self::Services];

    /// Returns the kind's part of a key.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Customers => "customers",
            Self::Plans => "plans",
            Self::Models => "models",
            Self::Services => "services",
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
}

impl Row {
    /// Reads a row of a kind from its JSON value.
    ///
    /// # Errors
    /// Returns the parser's error.
    pub fn parse(kind: Kind, value: &[u8]) -> Result<Self, serde_json::Error> {
        match kind {
            Kind::Customers => serde_json::from_slice(value).map(Self::Customer),
            Kind::Plans => serde_json::from_slice(value).map(Self::Plan),
            Kind::Models => serde_json::from_slice(value).map(Self::Model),
            Kind::Services => serde_json::from_slice(value).map(Self::Service),
        }
    }
}
