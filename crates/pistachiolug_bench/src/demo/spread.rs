//! Spread of the model to all agents, measured by polling their engines.

use std::{io, net::SocketAddr, time::Instant};

use http::Method;
use tokio::time::{Duration, sleep};

use super::{operator::Operator, print_step};
use crate::{
    experiment::record,
    rig::deployment::{CHUNK_BYTES, Deployment},
};

/// Interval between two polls of all engines.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time after which the demonstration stops waiting for the spread.
const SPREAD_TIMEOUT: Duration = Duration::from_secs(120);

/// Result of a spread.
#[derive(Debug, Clone, PartialEq)]
pub struct Spread {
    /// Number of instances that should serve the version.
    pub replica_count: usize,
    /// Times from the list change until each instance served the version, shortest first; shorter than
    /// `replica_count` if the wait timed out.
    pub served_after: Vec<Duration>,
    /// Number of bytes that the origin sent.
    pub origin_bytes: u64,
    /// Length of the weights in bytes.
    pub weights_bytes: usize,
}

impl Spread {
    /// Returns the bytes that the origin sent, in copies of the weights.
    pub fn copies(&self) -> f64 {
        self.origin_bytes as f64 / self.weights_bytes.max(1) as f64
    }
}

/// Uploads the weights, applies lists that ask for the version, and waits until every engine serves it.
///
/// # Errors
/// Returns the error of the upload or of the list change. A spread that does not finish in time is no error.
pub async fn run(
    deployment: &Deployment,
    operator: &Operator,
    version: &str,
    weights: &[u8],
) -> io::Result<Spread> {
    let uploaded = deployment.upload("pasta", version, weights, CHUNK_BYTES);
    let manifest = uploaded.await?;
    let before = record::read(deployment).await?.origin_bytes;
    operator.write_lists(version, manifest, engines(deployment).len())?;
    let start = Instant::now();
    let task_operator = operator.clone();
    let applied = tokio::task::spawn_blocking(move || task_operator.apply());
    let (replica_count, served_after) = wait_for_replicas(deployment, version, start).await;
    applied.await.map_err(io::Error::other)??;
    let after = record::read(deployment).await?.origin_bytes;
    Ok(Spread {
        replica_count,
        served_after,
        origin_bytes: after - before,
        weights_bytes: weights.len(),
    })
}

/// Returns the addresses of all model engines.
fn engines(deployment: &Deployment) -> Vec<SocketAddr> {
    let agents = deployment.agents.iter();
    let assistants = agents.filter(|agent| agent.service == "assistant");
    assistants.filter_map(|agent| agent.backend).collect()
}

/// Polls the engines and returns their number, and the times after which they served the version.
async fn wait_for_replicas(
    deployment: &Deployment,
    version: &str,
    start: Instant,
) -> (usize, Vec<Duration>) {
    let mut pending = engines(deployment);
    let replica_count = pending.len();
    let mut served_after = Vec::new();
    while !pending.is_empty() && start.elapsed() < SPREAD_TIMEOUT {
        let mut still_pending = Vec::new();
        for engine in pending {
            if is_serving(deployment, engine, version).await {
                served_after.push(start.elapsed());
                let seconds = start.elapsed().as_secs_f64();
                print_step(&format!(
                    "{} of {replica_count} replicas after {seconds:.2} s",
                    served_after.len()
                ));
            } else {
                still_pending.push(engine);
            }
        }
        pending = still_pending;
        sleep(POLL_INTERVAL).await;
    }
    (replica_count, served_after)
}

async fn is_serving(deployment: &Deployment, engine: SocketAddr, version: &str) -> bool {
    let path = "/v1/engine/state";
    let sent = deployment.http.send(Method::GET, engine, path, None, "");
    let version_field = format!("\"version\":\"{version}\"");
    sent.await
        .is_ok_and(|reply| String::from_utf8_lossy(reply.body()).contains(&version_field))
}
