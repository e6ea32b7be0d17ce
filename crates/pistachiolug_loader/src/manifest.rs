//! Digests of a version's pieces, and where an agent gets them.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use pistachiolug_http::client::Client;
use rand::seq::IndexedRandom;
use sha2::{Digest as _, Sha256};
use tokio::time::sleep;

use crate::{
    door::MANIFEST_PATH,
    engine::{Error, Origin},
    state::{State, Want},
};

/// Agents that read a manifest from the origin, which takes fewer connections than there are agents.
const READERS: usize = 3;

/// Rounds in which the others ask each other before they read the origin as well.
const ROUNDS: usize = 16;

/// Pause between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(60);

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
    pub fn fits(&self, index: usize, bytes: &[u8]) -> bool {
        let digest: Digest = Sha256::digest(bytes).into();
        self.digests.get(index) == Some(&digest)
    }
}

/// Ways to a manifest.
#[derive(Debug)]
pub struct ManifestSource<'a, O> {
    /// Agent's state.
    pub state: &'a State,
    /// Origin.
    pub origin: &'a O,
    /// Client for other agents.
    pub client: &'a Client,
    /// Address of the origin.
    pub address: SocketAddr,
}

impl<O: Origin> ManifestSource<'_, O> {
    /// Reads the manifest of a version from the origin, or from agents that have read it.
    ///
    /// # Errors
    /// [`Error`] when the origin gives none.
    pub async fn read(&self, want: &Want) -> Result<Manifest, Error> {
        let name = format!("{}/{}", want.model, want.version);
        let (position, _) = self.state.position(&name);
        let start = self.state.now();
        if position >= READERS {
            for _ in 0..ROUNDS {
                if let Some(manifest) = self.ask(&name, want).await {
                    self.log_read(want, "agent", start);
                    return Ok(manifest);
                }
                sleep(ROUND_PAUSE).await;
            }
        }
        let manifest = self
            .origin
            .manifest(self.address, &want.model, want.version)
            .await?;
        if manifest.digests.len() == want.pieces {
            self.log_read(want, "origin", start);
            return Ok(manifest);
        }
        Err(Error::Failed {
            reason: "manifest has another number of pieces".to_owned(),
        })
    }

    fn log_read(&self, want: &Want, from: &'static str, start: Duration) {
        let taken_ms = self.state.now().saturating_sub(start).as_millis() as u64;
        log::info!(model = want.model.as_str(), version = want.version, from, taken_ms; "manifest read");
    }

    /// Asks one of those that read the origin, and any other agent.
    async fn ask(&self, name: &str, want: &Want) -> Option<Manifest> {
        let readers = self.state.first_members(name, READERS);
        let members = self.state.roster();
        let any = members.members().choose(&mut rand::rng());
        let asked = [
            readers.choose(&mut rand::rng()).copied(),
            any.map(|member| member.address),
        ];
        for agent in asked.into_iter().flatten() {
            if let Some(manifest) = self.ask_agent(agent, name, want).await {
                return Some(manifest);
            }
        }
        None
    }

    async fn ask_agent(&self, agent: SocketAddr, name: &str, want: &Want) -> Option<Manifest> {
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
