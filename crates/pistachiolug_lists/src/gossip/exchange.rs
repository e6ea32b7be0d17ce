//! Exchange of changes with peers: pushes of new changes and periodic pulls.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use pistachiolug_http::{client::Client, secret};
use pistachiolug_wire::instance::Instance;
use tokio::time::{Instant, sleep, timeout};

use super::{
    Settings,
    message::{self, Delta, PullRequest},
    peers::Peers,
    replica::Replica,
    routes,
};

/// Time for which changes are collected before they are pushed.
const PUSH_DELAY: Duration = Duration::from_millis(20);

/// Timeout of one request to a peer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a peer's response in bytes.
const MAX_RESPONSE_BYTES: usize = 32 << 20;

/// Client for the exchange with peers; clones share the replica.
#[derive(Debug, Clone)]
pub struct Exchange {
    client: Client,
    settings: Arc<Settings>,
    replica: Replica,
}

impl Exchange {
    /// Creates the client of a replica.
    pub fn new(client: Client, settings: Arc<Settings>, replica: Replica) -> Self {
        Self {
            client,
            settings,
            replica,
        }
    }

    /// Pushes every change of the rows to a few peers until the process stops.
    pub async fn run_pushes(&self, mut peers: Peers) {
        let mut changes = self.replica.subscribe();
        let mut pushed = self.replica.revision();
        while changes.changed().await.is_ok() {
            sleep(PUSH_DELAY).await;
            changes.mark_unchanged();
            let delta = self.replica.delta(pushed, &self.settings.instance);
            pushed = delta.revision;
            let body = message::encode(&self.settings.secret, &delta);
            let topology = peers.topology();
            let targets = topology.push_peers(&mut rand::rng());
            let sends = targets
                .iter()
                .map(|peer| self.send(peer, routes::PUSH, body.clone()));
            // Failed pushes are not retried: the peer gets the change with its next pull.
            futures_util::future::join_all(sends).await;
        }
    }

    /// Pulls from a random peer periodically, and at once when a pull is requested, until the process stops.
    pub async fn run_pulls(&self, mut peers: Peers) {
        loop {
            let topology = peers.topology();
            let wait = topology
                .pull_interval()
                .mul_f64(rand::random_range(0.5..1.5));
            // A timeout and a requested pull both start the next pull.
            let _ = timeout(wait, self.replica.pull_requested()).await;
            let Some(peer) = topology.pull_peer(&mut rand::rng()) else {
                continue;
            };
            let requested_at = Instant::now();
            if let Some(delta) = self.pull(peer, &self.replica.pull_request()).await {
                self.replica.apply_delta(delta, requested_at);
            }
        }
    }

    /// Pulls changes from a peer; `None` if the request fails or the response is not valid.
    pub async fn pull(&self, peer: &Instance, request: &PullRequest) -> Option<Delta> {
        let body = message::encode(&self.settings.secret, request);
        let response = self.send(peer, routes::PULL, body).await?;
        match message::decode(&self.settings.secret, &response) {
            Ok(delta) => Some(delta),
            Err(error) => {
                log::warn!(peer = peer.name.as_str(), error:% = error; "rejected the lists of a peer");
                None
            }
        }
    }

    async fn send(&self, peer: &Instance, path: &str, body: Bytes) -> Option<Bytes> {
        let request = Request::post(format!("http://{}{path}", peer.address))
            .header(secret::HEADER, self.settings.secret.expose())
            .body(body)
            .ok()?;
        let response = self
            .client
            .fetch(request, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT)
            .await
            .ok()?;
        (response.status() == StatusCode::OK).then(|| response.into_body())
    }
}
