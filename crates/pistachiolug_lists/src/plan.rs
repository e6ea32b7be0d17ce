//! Rows of the plans list: plans, models and services.

use pistachiolug_wire::digest::Digest;
use serde::{Deserialize, Serialize};

/// What the customers of a plan may use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Unique name.
    pub name: String,
    /// Share of each backend server that is kept for this plan, relative to the other plans' shares.
    pub share: u32,
    /// Priority passed to the engine; larger runs earlier.
    #[serde(default)]
    pub priority: u8,
    /// Models that may be used.
    #[serde(default)]
    pub models: Vec<String>,
    /// Plain services that may be used.
    #[serde(default)]
    pub services: Vec<String>,
    /// Limit of each customer in tokens a minute; 0 means none.
    #[serde(default)]
    pub tokens_per_minute: u64,
    /// Whether this is a free trial, which uses what the other plans leave.
    #[serde(default)]
    pub trial: bool,
}

/// Model with the version that is wanted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Unique name, as callers give it.
    pub name: String,
    /// Service whose backend servers run the model.
    pub service: String,
    /// Wanted version.
    pub version: String,
    /// Digest of the version's manifest.
    pub manifest: Digest,
    /// Number of backend servers wanted at least.
    pub replicas: Replicas,
    /// Adapters loaded beside the model.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
}

/// Bounds of a model's replica count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replicas {
    /// Least number; taken at any load.
    pub least: u32,
    /// Largest number, taken in bursts; at least `least`.
    pub most: u32,
}

/// Adapter of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name, as callers give it.
    pub name: String,
    /// Wanted version.
    pub version: String,
    /// Digest of the version's manifest.
    pub manifest: Digest,
}

/// Plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name, as callers give it.
    pub name: String,
    /// Path prefixes whose calls are idempotent whatever their method; other paths are idempotent for GET and HEAD only.
    #[serde(default)]
    pub idempotent: Vec<String>,
}
