//! Control traffic as a process reports it in its state dump.

use std::net::SocketAddr;

use http::Method;
use serde::{Deserialize, Serialize};

use crate::rig::client::HttpClient;

/// Control traffic of one process since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
    /// Requests sent and served.
    pub messages: u64,
}

/// Reads the traffic of the process at an internal address.
pub async fn read(http: &HttpClient, address: SocketAddr) -> Option<Traffic> {
    let sent = http.send(Method::GET, address, "/debug/state", None, "");
    let reply = sent.await.ok()?;
    let state: serde_json::Value = serde_json::from_slice(reply.body()).ok()?;
    serde_json::from_value(state["traffic"].clone()).ok()
}
