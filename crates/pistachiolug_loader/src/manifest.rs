//! Digests of a version's pieces, read from other agents or from the origin.

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

/// Number of agents that read a manifest directly from the origin, which accepts fewer connections than there are
/// agents.
const ORIGIN_READERS: usize = 3;

/// Number of agents that ask the same agent for a manifest. Each agent has one that it asks, so that the number of
/// connections does not grow with the number of agents.
const FAN_OUT: usize = 4;

/// Time for which the first agent behind the origin readers asks other agents before it falls back to the origin.
const MIN_PEER_READ_TIMEOUT: Duration = Duration::from_millis(300);

/// Additional time for each further agent: about the time in which the origin serves one manifest.
const PEER_READ_TIMEOUT_STEP: Duration = Duration::from_millis(5);

/// Upper limit of the time for which an agent asks others. Its engine may serve nothing although only the digests are
/// missing.
const MAX_PEER_READ_TIMEOUT: Duration = Duration::from_millis(800);

/// First pause between two rounds of requests. The origin readers need a few round trips, and all other agents wait for
/// them.
const MIN_ROUND_PAUSE: Duration = Duration::from_millis(20);

/// Longest pause between two rounds, reached while the origin is away.
const MAX_ROUND_PAUSE: Duration = Duration::from_millis(80);

/// Timeout of a manifest request to another agent.
const AGENT_TIMEOUT: Duration = Duration::from_millis(400);

/// Largest accepted manifest in bytes.
const MAX_MANIFEST_BYTES: usize = 4 << 20;

/// SHA-256 digest of one piece.
pub type Digest = [u8; 32];

/// Digests of all pieces of one version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Manifest {
    /// Digests in the order of the pieces.
    pub digests: Vec<Digest>,
}

impl Manifest {
    /// Returns whether `bytes` are the content of the piece at `index`.
    pub fn matches(&self, index: usize, bytes: &[u8]) -> bool {
        let digest: Digest = Sha256::digest(bytes).into();
        self.digests.get(index) == Some(&digest)
    }
}

/// Returns how long an agent asks other agents before it reads the origin; `None` if it reads the origin immediately.
///
/// When all agents restart at once, many of the listed agents do not answer. An agent must then not wait for the few
/// origin readers for long, and the agents must not all read the origin at the same time.
///
/// # Arguments
/// `position` is the agent's rank among the agents of its service for this version; 0 is the first.
pub fn peer_read_timeout(position: usize) -> Option<Duration> {
    let behind = position.checked_sub(ORIGIN_READERS)?;
    let steps = u32::try_from(behind).unwrap_or(u32::MAX);
    let timeout =
        MIN_PEER_READ_TIMEOUT.saturating_add(PEER_READ_TIMEOUT_STEP.saturating_mul(steps));
    Some(timeout.min(MAX_PEER_READ_TIMEOUT))
}

/// Returns the rank of the agent that an agent asks for a manifest first.
///
/// # Arguments
/// `position` is the agent's rank among the agents of its service for this version; 0 is the first.
pub fn upstream(position: usize) -> usize {
    position.saturating_sub(ORIGIN_READERS) / FAN_OUT
}

/// Reader of manifests.
#[derive(Debug)]
pub struct ManifestReader<'a, O> {
    /// State of the agent.
    pub state: &'a State,
    /// Origin of weights.
    pub origin: &'a O,
    /// HTTP client for other agents.
    pub client: &'a Client,
    /// Address of the origin.
    pub address: SocketAddr,
}

impl<O: Origin> ManifestReader<'_, O> {
    /// Reads the manifest of a version from the origin, or from agents that already have it. Agents may still have one that
    /// has left the origin.
    ///
    /// # Errors
    /// [`Error`] if the origin cannot be read, or its manifest has an unexpected number of pieces.
    pub async fn read(&self, target: &Target) -> Result<Manifest, Error> {
        let name = format!("{}/{}", target.model, target.version);
        let (position, _) = self.state.position(&name);
        let start = self.state.now();
        if let Some(peer_read_timeout) = peer_read_timeout(position)
            && let Ok(manifest) =
                timeout(peer_read_timeout, self.read_from_agents(&name, target)).await
        {
            self.log_read(target, "agent", start);
            return Ok(manifest);
        }
        let read = self
            .origin
            .read_manifest(self.address, &target.model, target.version)
            .await;
        if read == Err(Error::Gone)
            && let Some(manifest) = self.ask_agents(&name, target).await
        {
            self.log_read(target, "agent", start);
            return Ok(manifest);
        }
        let manifest = read?;
        if manifest.digests.len() == target.pieces {
            self.log_read(target, "origin", start);
            return Ok(manifest);
        }
        Err(Error::Failed {
            reason: "manifest has an unexpected number of pieces".to_owned(),
        })
    }

    fn log_read(&self, target: &Target, from: &'static str, start: Duration) {
        let taken_ms = self.state.now().saturating_sub(start).as_millis() as u64;
        log::info!(model = target.model.as_str(), version = target.version, from, taken_ms; "manifest read");
    }

    async fn read_from_agents(&self, name: &str, target: &Target) -> Manifest {
        let mut pause = MIN_ROUND_PAUSE;
        loop {
            if let Some(manifest) = self.ask_agents(name, target).await {
                return manifest;
            }
            sleep(pause).await;
            pause = (pause * 2).min(MAX_ROUND_PAUSE);
        }
    }

    /// Asks the agent that this one depends on, and in parallel a random one, since the first may be gone. Returns the first
    /// manifest.
    async fn ask_agents(&self, name: &str, target: &Target) -> Option<Manifest> {
        let (position, _) = self.state.position(name);
        let upstream = upstream(position);
        let first = self.state.highest_ranked(name, upstream + 1);
        let roster = self.state.roster();
        let other = roster.members().choose(&mut rand::rng());
        let asked = first.get(upstream).copied().into_iter();
        let asked = asked.chain(other.map(|other| other.address));
        let mut answers: FuturesUnordered<_> = asked
            .map(|agent| self.ask_agent(agent, name, target))
            .collect();
        while let Some(answer) = answers.next().await {
            if answer.is_some() {
                return answer;
            }
        }
        None
    }

    async fn ask_agent(&self, agent: SocketAddr, name: &str, target: &Target) -> Option<Manifest> {
        let url = format!("http://{agent}{MANIFEST_PATH}{name}");
        let request = Request::get(url).body(Bytes::new()).ok()?;
        let response = self
            .client
            .fetch(request, MAX_MANIFEST_BYTES, AGENT_TIMEOUT)
            .await
            .ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let (digests, rest) = response.body().as_chunks();
        let fits = rest.is_empty() && digests.len() == target.pieces;
        fits.then(|| Manifest {
            digests: digests.to_vec(),
        })
    }
}
