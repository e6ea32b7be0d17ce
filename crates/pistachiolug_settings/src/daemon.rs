//! Settings of an entry or agent.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// What a daemon does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// Takes calls from callers.
    Entry,
    /// Guards one backend server.
    Agent,
}

/// Settings of one daemon.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Daemon {
    /// Unique name of the instance.
    pub instance: String,
    /// Region the instance stands in.
    pub region: String,
    /// Availability zone the instance stands in.
    pub zone: String,
    /// Address for other processes of the system.
    pub internal: SocketAddr,
    /// Address for callers; entries only.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// File that holds the secret shared by the deployment; otherwise `PISTACHIOLUG_SECRET` is read.
    #[serde(default)]
    pub secret_file: Option<String>,
    /// Services of the platform.
    pub platform: Platform,
    /// Backend server; agents only.
    #[serde(default)]
    pub backend: Option<Backend>,
    /// Spread of weights; agents only.
    #[serde(default)]
    pub weights: Weights,
    /// Calls.
    #[serde(default)]
    pub calls: Calls,
    /// Log level: `error`, `warn`, `info`, `debug` or `trace`.
    #[serde(default = "default_level")]
    pub log_level: String,
}

/// Addresses of the platform's services, such as `http://10.0.0.1:2379`.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Platform {
    /// Key-value service.
    pub key_value: String,
    /// Instance list.
    pub instances: String,
    /// Origin of the weights.
    pub origin: String,
    /// Rate-limited weight store.
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
    /// Address, such as `http://127.0.0.1:7001`.
    pub address: String,
    /// Whether the engine refuses orders with an old fencing number.
    #[serde(default)]
    pub fencing: Fencing,
    /// Calls the backend server runs at once.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Tokens the engine generates a second over all its calls.
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

/// What an engine does with fencing numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// Refuses an order with an old number.
    Checked,
    /// Takes any order.
    #[default]
    Ignored,
}

/// Spread of weights.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Weights {
    /// What the spread saves first.
    pub policy: Policy,
    /// Bytes of weights that may be staged in memory.
    pub staging_bytes: u64,
    /// Capacity of the instance's link each way, in bytes a second.
    pub link_bytes_per_second: u64,
    /// Copies of a version that an instance may upload to neighbours.
    pub upload_copies: f64,
    /// Region nearest to the origin; without one each region reads the origin.
    pub home_region: Option<String>,
}

/// What a spread saves first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Time until N replicas run.
    #[default]
    TimeFirst,
    /// Bytes read from the origin.
    BytesFirst,
}

/// Calls.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Calls {
    /// Time a caller waits at most when it names no deadline, in milliseconds.
    pub deadline_ms: u32,
    /// Time a leaving process waits for its calls, in milliseconds.
    pub drain_ms: u32,
    /// Heartbeat interval inside open streams, in milliseconds.
    pub heartbeat_ms: u32,
    /// Largest request body in bytes.
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
