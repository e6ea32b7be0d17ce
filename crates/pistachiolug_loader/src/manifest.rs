//! Digests of a version's pieces, and where an agent gets them.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use futures_util::{StreamExt, stream::FuturesUnordered};
use http::{Request, StatusCode};
use pistachiolug_http::client::Client;
use rand::seq::IndexedRandom;
use sha2::{Digest as _, Sha256};
use tokio::time::{sleep, timeout};

use crate::{
    engine::{Error, Origin},
    peer_server::MANIFEST_PATH,
    state::{State, Target},
};

/// Agents that read a manifest from the origin, which takes fewer connections than there are agents.
const READERS: usize = 3;

/// Agents that are asked at once; some may not answer.
const ASKED: usize = 3;

/// Time for which the first of the others ask each other before they read the origin as well.
const HEAD_START: Duration = Duration::from_millis(300);

/// Time by which each further agent asks longer: about that in which the origin gives one manifest.
const HEAD_START_STEP: Duration = Duration::from_millis(5);

/// Longest time for which an agent asks others: its engine may have everything but the digests, and serve nothing.
const HEAD_START_MOST: Duration = Duration::from_millis(800);

/// Pause between two rounds of questions: the first readers take a few round trips, and all wait for them.
const ROUND_PAUSE: Duration = Duration::from_millis(20);

/// Longest time an agent may take to answer.
const AGENT_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest accepted manifest in bytes.
const MANIFEST_BYTES: usize = 4 << 20;

/// SHA-256 of one piece.
pub type Digest = [u8; 32];

/// Pieces of one version by digest, in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Manifest {
    /// Digests in order of the pieces.
    pub digests: Vec<Digest>,
}

impl Manifest {
    /// Tells whether `bytes` are the piece at `index`.
    pub fn matches(&self, index: usize, bytes: &[u8]) -> bool {
        let digest: Digest = Sha256::digest(bytes).into();
        self.digests.get(index) == Some(&digest)
    }
}

/// Returns how long an agent asks others before it reads the origin; `None` if it reads the origin at once.
///
/// Answers the load of a return of all agents at once, when many of those that are listed do not answer: an agent must
/// not wait for the few that read first, and the origin must not be read by all together.
///
/// # Arguments
/// `position` is the agent's place in the order of its service for this version.
pub fn peer_read_timeout(position: usize) -> Option<Duration> {
    let later = position.checked_sub(READERS)?;
    let steps = u32::try_from(later).unwrap_or(u32::MAX);
    let head_start = HEAD_START.saturating_add(HEAD_START_STEP.saturating_mul(steps));
    Some(head_start.min(HEAD_START_MOST))
}

/// Ways to a manifest.
#[derive(Debug)]
pub struct ManifestReader<'a, O> {
    /// Agent's state.
    pub state: &'a State,
    /// Origin.
    pub origin: &'a O,
    /// Client for other agents.
    pub client: &'a Client,
    /// Address of the origin.
    pub address: SocketAddr,
}

impl<O: Origin> ManifestReader<'_, O> {
    /// Reads the manifest of a version from the origin, or from agents that have read it.
    ///
    /// # Errors
    /// [`Error`] when the origin gives none.
    pub async fn read(&self, want: &Target) -> Result<Manifest, Error> {
        let name = format!("{}/{}", want.model, want.version);
        let (position, _) = self.state.position(&name);
        let start = self.state.now();
        if let Some(peer_read_timeout) = peer_read_timeout(position)
            && let Ok(manifest) = timeout(peer_read_timeout, self.ask_until(&name, want)).await
        {
            self.log_read(want, "agent", start);
            return Ok(manifest);
        }
        let manifest = self
            .origin
            .read_manifest(self.address, &want.model, want.version)
            .await?;
        if manifest.digests.len() == want.pieces {
            self.log_read(want, "origin", start);
            return Ok(manifest);
        }
        Err(Error::Failed {
            reason: "manifest has another number of pieces".to_owned(),
        })
    }

    fn log_read(&self, want: &Target, from: &'static str, start: Duration) {
        let taken_ms = self.state.now().saturating_sub(start).as_millis() as u64;
        log::info!(model = want.model.as_str(), version = want.version, from, taken_ms; "manifest read");
    }

    async fn ask_until(&self, name: &str, want: &Target) -> Manifest {
        loop {
            if let Some(manifest) = self.ask(name, want).await {
                return manifest;
            }
            sleep(ROUND_PAUSE).await;
        }
    }

    /// Asks one of those that read the origin and other agents at once, and takes the first manifest.
    async fn ask(&self, name: &str, want: &Target) -> Option<Manifest> {
        let readers = self.state.highest_ranked(name, READERS);
        let roster = self.state.roster();
        let others = roster.members().sample(&mut rand::rng(), ASKED - 1);
        let reader = readers.choose(&mut rand::rng()).copied();
        let asked = reader.into_iter().chain(others.map(|other| other.address));
        let mut answers: FuturesUnordered<_> = asked
            .map(|agent| self.ask_agent(agent, name, want))
            .collect();
        while let Some(answer) = answers.next().await {
            if answer.is_some() {
                return answer;
            }
        }
        None
    }

    async fn ask_agent(&self, agent: SocketAddr, name: &str, want: &Target) -> Option<Manifest> {
        let url = format!("http://{agent}{MANIFEST_PATH}{name}");
        let request = Request::get(url).body(Bytes::new()).ok()?;
        let response = self
            .client
            .fetch(request, MANIFEST_BYTES, AGENT_TIMEOUT)
            .await
            .ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let (digests, rest) = response.body().as_chunks();
        let fits = rest.is_empty() && digests.len() == want.pieces;
        fits.then(|| Manifest {
            digests: digests.to_vec(),
        })
    }
}
