//! Control traffic that a process reports at `/debug/state`.

use std::net::SocketAddr;

use http::Method;
use serde::{Deserialize, Serialize};

use crate::rig::client::HttpClient;

/// Control traffic of one process since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Number of bytes sent.
    pub sent: u64,
    /// Number of bytes received.
    pub received: u64,
    /// Number of requests sent and served.
    pub messages: u64,
}

/// Reads the traffic of the process at an internal address. Returns `None` if it does not answer or reports none.
pub async fn read(http: &HttpClient, address: SocketAddr) -> Option<Traffic> {
    let sent = http.send(Method::GET, address, "/debug/state", None, "");
    let reply = sent.await.ok()?;
    let state: serde_json::Value = serde_json::from_slice(reply.body()).ok()?;
    serde_json::from_value(state["traffic"].clone()).ok()
}
