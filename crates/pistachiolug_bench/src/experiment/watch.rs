//! Polls of the list revision in force at every process during a run.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use http::Method;
use tokio::time::sleep;

use crate::rig::{client::HttpClient, deployment::Deployment};

/// Interval between two polls of all processes.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// List revision that one process reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sighting {
    /// Internal address of the process.
    pub address: SocketAddr,
    /// Time of the report.
    pub at: Instant,
    /// Revision of the lists in force there.
    pub revision: u64,
}

/// Polls all processes and sends each change of a revision, until the task is aborted or the receiver is dropped.
pub async fn run(
    http: HttpClient,
    addresses: Vec<SocketAddr>,
    seen: tokio::sync::mpsc::UnboundedSender<Sighting>,
) {
    let mut last: BTreeMap<SocketAddr, u64> = BTreeMap::new();
    loop {
        for address in &addresses {
            let Some(revision) = revision(&http, *address).await else {
                continue;
            };
            if last.insert(*address, revision) != Some(revision) {
                let sighting = Sighting {
                    address: *address,
                    at: Instant::now(),
                    revision,
                };
                if seen.send(sighting).is_err() {
                    return;
                }
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns the internal addresses of all daemons.
pub fn addresses(deployment: &Deployment) -> Vec<SocketAddr> {
    let daemons = deployment.agents.iter().chain(&deployment.entries);
    daemons.map(|daemon| daemon.internal).collect()
}

/// Reads the list revision in force at one process. Returns `None` if it does not answer or has no lists.
pub async fn revision(http: &HttpClient, address: SocketAddr) -> Option<u64> {
    let sent = http.send(Method::GET, address, "/debug/state", None, "");
    let reply = tokio::time::timeout(Duration::from_secs(1), sent)
        .await
        .ok()?
        .ok()?;
    let state: serde_json::Value = serde_json::from_slice(reply.body()).ok()?;
    let nested = state["lists"]["revision"].as_u64();
    nested.or_else(|| state["lists_revision"].as_u64())
}
