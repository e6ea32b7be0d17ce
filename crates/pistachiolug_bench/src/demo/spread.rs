//! Spread of the model to all agents, watched at the engines.

use std::{io, net::SocketAddr, time::Instant};

use http::Method;
use tokio::time::{Duration, sleep};

use super::{operator::Operator, say};
use crate::{
    experiment::record,
    rig::deployment::{CHUNK_BYTES, Deployment},
};

/// Wait between two looks at the engines.
const POLL: Duration = Duration::from_millis(20);

/// Longest time the spread may take before the demonstration gives up.
const PATIENCE: Duration = Duration::from_secs(120);

/// How a spread went.
#[derive(Debug, Clone, PartialEq)]
pub struct Spread {
    /// Instances that should serve the version.
    pub replica_count: usize,
    /// Time from the list change until each of them served, in order.
    pub served_after: Vec<Duration>,
    /// Bytes that the origin sent.
    pub origin_bytes: u64,
    /// Length of the weights in bytes.
    pub weights_bytes: usize,
}

impl Spread {
    /// Returns how often the origin sent the weights.
    pub fn copies(&self) -> f64 {
        self.origin_bytes as f64 / self.weights_bytes.max(1) as f64
    }
}

/// Uploads the weights, asks for the version in the lists and waits until every engine serves it.
///
/// # Errors
/// Returns the error of an upload or list change; a spread that does not finish in time is part of the result.
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
    let applier = operator.clone();
    let applied = tokio::task::spawn_blocking(move || applier.apply());
    let (wanted, served) = watch(deployment, version, start).await;
    applied.await.map_err(io::Error::other)??;
    let after = record::read(deployment).await?.origin_bytes;
    Ok(Spread {
        replica_count: wanted,
        served_after: served,
        origin_bytes: after - before,
        weights_bytes: weights.len(),
    })
}

fn engines(deployment: &Deployment) -> Vec<SocketAddr> {
    let agents = deployment.agents.iter();
    let assistants = agents.filter(|agent| agent.service == "assistant");
    assistants.filter_map(|agent| agent.backend).collect()
}

async fn watch(deployment: &Deployment, version: &str, start: Instant) -> (usize, Vec<Duration>) {
    let mut waiting = engines(deployment);
    let wanted = waiting.len();
    let mut served = Vec::new();
    while !waiting.is_empty() && start.elapsed() < PATIENCE {
        let mut left = Vec::new();
        for engine in waiting {
            if serves(deployment, engine, version).await {
                served.push(start.elapsed());
                let seconds = start.elapsed().as_secs_f64();
                say(&format!(
                    "{} of {wanted} replicas after {seconds:.2} s",
                    served.len()
                ));
            } else {
                left.push(engine);
            }
        }
        waiting = left;
        sleep(POLL).await;
    }
    (wanted, served)
}

async fn serves(deployment: &Deployment, engine: SocketAddr, version: &str) -> bool {
    let path = "/v1/engine/state";
    let sent = deployment.http.send(Method::GET, engine, path, None, "");
    let needle = format!("\"version\":\"{version}\"");
    sent.await
        .is_ok_and(|reply| String::from_utf8_lossy(reply.body()).contains(&needle))
}
