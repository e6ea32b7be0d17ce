//! Settings of an operator's command line.

use serde::{Deserialize, Serialize};

/// Where the operators' commands find the deployment.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Key-value service, such as `http://10.0.0.1:2379`.
    pub key_value: String,
    /// Instance list.
    pub instances: String,
    /// File that holds the deployment's secret; otherwise `PISTACHIOLUG_SECRET` is read.
    #[serde(default)]
    pub secret_file: Option<String>,
}
