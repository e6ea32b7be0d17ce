//! Rows of the plans list: plans, models and services.

use pistachiolug_wire::digest::Digest;
use serde::{Deserialize, Serialize};

/// Models, services and capacity available to the customers of a plan.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Unique name.
    pub name: String,
    /// Share of each backend server reserved for this plan, relative to the other plans' shares.
    pub share: u32,
    /// Priority passed to the engine; calls with a larger value run earlier.
    #[serde(default)]
    pub priority: u8,
    /// Names of the models that customers may call.
    #[serde(default)]
    pub models: Vec<String>,
    /// Names of the plain services that customers may call.
    #[serde(default)]
    pub services: Vec<String>,
    /// Rate limit of each customer in tokens per minute; 0 means no limit.
    #[serde(default)]
    pub tokens_per_minute: u64,
    /// Whether this is a free trial, which only gets capacity that the other plans leave unused.
    #[serde(default)]
    pub trial: bool,
}

/// Model with its target version and replica count.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name that callers use; unique among models.
    pub name: String,
    /// Name of the service whose backend servers run the model.
    pub service: String,
    /// Target version.
    pub version: String,
    /// Digest of the version's manifest.
    pub manifest: Digest,
    /// Bounds of the number of backend servers that run the model.
    pub replicas: Replicas,
    /// Adapters loaded together with the model.
    #[serde(default)]
    pub adapters: Vec<Adapter>,
}

/// Bounds of a model's replica count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Replicas {
    /// Minimum number of backend servers, kept at any load.
    pub least: u32,
    /// Maximum number of backend servers, used during bursts; not below `least`.
    pub most: u32,
}

/// Adapter of a model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name that callers use.
    pub name: String,
    /// Target version.
    pub version: String,
    /// Digest of the version's manifest.
    pub manifest: Digest,
}

/// Plain service, whose calls are forwarded to backend servers that run no model.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name that callers use; unique among services.
    pub name: String,
    /// Path prefixes under which every method is idempotent; elsewhere only GET and HEAD are.
    #[serde(default)]
    pub idempotent: Vec<String>,
}
