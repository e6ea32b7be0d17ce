//! Settings of the operators' commands.

use serde::{Deserialize, Serialize};

/// Addresses and secret with which the operators' commands reach a deployment.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Address of the key-value service, such as `http://10.0.0.1:2379`.
    pub key_value: String,
    /// Address of the service with the instance list.
    pub instances: String,
    /// File with the deployment's secret; `None` to read `PISTACHIOLUG_SECRET`.
    #[serde(default)]
    pub secret_file: Option<String>,
}
