//! Settings of an entry or agent.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Role of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Accepts calls from callers.
    Entry,
    /// Runs calls on one backend server.
    Agent,
}

/// Settings of one daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Daemon {
    /// Unique name of the instance.
    pub instance: String,
    /// Region of the instance.
    pub region: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Address that other processes of the system connect to.
    pub internal: SocketAddr,
    /// Address that callers connect to; entries only.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// File with the secret that the processes of the deployment share; `None` to read `PISTACHIOLUG_SECRET`.
    #[serde(default)]
    pub secret_file: Option<String>,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Backend server; agents only.
    #[serde(default)]
    pub backend: Option<Backend>,
    /// Distribution of weights; agents only.
    #[serde(default)]
    pub weights: Weights,
    /// Deadlines, intervals and limits of calls.
    #[serde(default)]
    pub calls: Calls,
    /// Least severe level that is logged: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_level")]
    pub log_level: String,
}

/// Addresses of the platform's services, such as `http://10.0.0.1:2379`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Address of the key-value service.
    pub key_value: String,
    /// Address of the service with the instance list.
    pub instances: String,
    /// Address of the origin of the weights.
    pub origin: String,
    /// Address of the rate-limited weight store; `None` without one.
    #[serde(default)]
    pub store: Option<String>,
}

/// Backend server beside an agent.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backend {
    /// Service that the backend server belongs to.
    pub service: String,
    /// Kind of the backend server.
    pub kind: Kind,
    /// Address of the backend server, such as `http://127.0.0.1:7001`.
    pub address: String,
    /// Whether the engine rejects orders with an old fencing token.
    #[serde(default)]
    pub fencing: Fencing,
    /// Maximum number of calls that the backend server runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Tokens per second that the engine generates over all its calls.
    #[serde(default = "default_tokens_per_second")]
    pub tokens_per_second: u32,
}

/// Kind of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Model engine.
    Model,
    /// Plain service.
    Plain,
}

/// What an engine does with fencing tokens.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// Rejects orders with an old token.
    Checked,
    /// Accepts orders with any token.
    #[default]
    Ignored,
}

/// Settings of the distribution of weights.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// Resource that a distribution minimizes first.
    pub policy: Policy,
    /// Maximum size of weights staged in memory, in bytes.
    pub staging_bytes: u64,
    /// Capacity of the instance's network link in each direction, in bytes per second.
    pub link_bytes_per_second: u64,
    /// Maximum number of copies of a version that an instance uploads to neighbours.
    pub upload_copies: f64,
    /// Region nearest to the origin, from which the other regions read in a bytes-first distribution; with `None` each
    /// region reads from the origin.
    pub home_region: Option<String>,
}

/// Resource that a distribution minimizes first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Time until N replicas run.
    #[default]
    TimeFirst,
    /// Bytes read from the origin.
    BytesFirst,
}

/// Deadlines, intervals and limits of calls.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Calls {
    /// Maximum waiting time of a caller that sets no deadline, in milliseconds.
    pub deadline_ms: u32,
    /// Maximum time that a leaving process waits for its calls, in milliseconds.
    pub drain_ms: u32,
    /// Heartbeat interval in open streams, in milliseconds.
    pub heartbeat_ms: u32,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
}

impl Default for Weights {
    fn default() -> Self {
        Self {
            policy: Policy::TimeFirst,
            staging_bytes: 8 << 30,
            link_bytes_per_second: 1_250_000_000,
            upload_copies: 2.0,
            home_region: None,
        }
    }
}

impl Default for Calls {
    fn default() -> Self {
        Self {
            deadline_ms: 60_000,
            drain_ms: 600_000,
            heartbeat_ms: 500,
            body_bytes: 4 << 20,
        }
    }
}

fn default_level() -> String {
    "info".to_owned()
}

const fn default_slots() -> u32 {
    16
}

const fn default_tokens_per_second() -> u32 {
    4_000
}
