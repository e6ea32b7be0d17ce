//! Exchange with peers: pushes of changes and regular questions.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use pistachiolug_http::{client::Client, secret};
use pistachiolug_wire::instance::Instance;
use tokio::time::{Instant, sleep, timeout};

use super::{
    Settings, door,
    message::{self, Ask, Delta},
    peers::Peers,
    place::Place,
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
    place: Place,
}

impl Exchange {
    /// Creates the client side of a place.
    pub fn new(client: Client, settings: Arc<Settings>, place: Place) -> Self {
        Self {
            client,
            settings,
            place,
        }
    }

    /// Pushes each change of the rows to a few peers, until the process stops.
    pub async fn run_pushes(&self, mut peers: Peers) {
        let mut changes = self.place.subscribe();
        let mut pushed = self.place.revision();
        while changes.changed().await.is_ok() {
            sleep(PUSH_DELAY).await;
            changes.mark_unchanged();
            let delta = self.place.delta(pushed, &self.settings.instance);
            pushed = delta.revision;
            let body = message::seal(&self.settings.secret, &delta);
            let zone = peers.now();
            let targets = zone.pushes(&mut rand::rng());
            let sends = targets
                .iter()
                .map(|peer| self.send(peer, door::PUSH, body.clone()));
            // A lost push is made up for by the next question.
            futures_util::future::join_all(sends).await;
        }
    }

    /// Asks a random peer regularly, and at once when a push did not connect, until the process stops.
    pub async fn run_pulls(&self, mut peers: Peers) {
        loop {
            let zone = peers.now();
            let wait = zone.interval().mul_f64(rand::random_range(0.5..1.5));
            // Either way it is time to ask.
            let _ = timeout(wait, self.place.woken()).await;
            let Some(peer) = zone.peer(&mut rand::rng()) else {
                continue;
            };
            let asked = Instant::now();
            if let Some(delta) = self.ask(peer, &self.place.ask()).await {
                self.place.take_delta(delta, asked);
            }
        }
    }

    /// Asks a peer.
    pub async fn ask(&self, peer: &Instance, ask: &Ask) -> Option<Delta> {
        let body = message::seal(&self.settings.secret, ask);
        let answer = self.send(peer, door::ASK, body).await?;
        match message::open(&self.settings.secret, &answer) {
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
