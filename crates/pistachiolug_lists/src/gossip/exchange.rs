//! Exchange with peers: pushes of changes and regular questions.

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

/// Time for which changes are gathered before they are pushed.
const PUSH_DELAY: Duration = Duration::from_millis(20);

/// Longest time an exchange may take.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Largest accepted answer in bytes.
const ANSWER_BYTES: usize = 32 << 20;

/// Client side of the exchange; clones share the place.
#[derive(Debug, Clone)]
pub struct Exchange {
    client: Client,
    settings: Arc<Settings>,
    replica: Replica,
}

impl Exchange {
    /// Creates the client side of a place.
    pub fn new(client: Client, settings: Arc<Settings>, replica: Replica) -> Self {
        Self {
            client,
            settings,
            replica,
        }
    }

    /// Pushes each change of the rows to a few peers, until the process stops.
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
            // A lost push is made up for by the next question.
            futures_util::future::join_all(sends).await;
        }
    }

    /// Asks a random peer regularly, and at once when a push did not connect, until the process stops.
    pub async fn run_pulls(&self, mut peers: Peers) {
        loop {
            let topology = peers.topology();
            let wait = topology
                .pull_interval()
                .mul_f64(rand::random_range(0.5..1.5));
            // Either way it is time to ask.
            let _ = timeout(wait, self.replica.pull_requested()).await;
            let Some(peer) = topology.pull_peer(&mut rand::rng()) else {
                continue;
            };
            let asked = Instant::now();
            if let Some(delta) = self.pull(peer, &self.replica.pull_request()).await {
                self.replica.apply_delta(delta, asked);
            }
        }
    }

    /// Asks a peer.
    pub async fn pull(&self, peer: &Instance, ask: &PullRequest) -> Option<Delta> {
        let body = message::encode(&self.settings.secret, ask);
        let answer = self.send(peer, routes::ASK, body).await?;
        match message::decode(&self.settings.secret, &answer) {
            Ok(delta) => Some(delta),
            Err(error) => {
                log::warn!(peer = peer.name.as_str(), error:% = error; "lists of a peer refused");
                None
            }
        }
    }

    async fn send(&self, peer: &Instance, path: &str, body: Bytes) -> Option<Bytes> {
        let request = Request::post(format!("http://{}{path}", peer.address))
            .header(secret::HEADER, self.settings.secret.expose())
            .body(body)
            .ok()?;
        let answer = self
            .client
            .fetch(request, ANSWER_BYTES, TIMEOUT)
            .await
            .ok()?;
        (answer.status() == StatusCode::OK).then(|| answer.into_body())
    }
}
