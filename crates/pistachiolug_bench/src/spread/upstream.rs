//! Sources of a member: the origin, or the previous member of a static chain.

use std::{net::SocketAddr, ops::Range, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode};
use pistachiolug_http::{
    client::Client,
    pace::Pace,
    secret::{self, Secret},
};
use pistachiolug_platform::source::{self, Error, Source};
use pistachiolug_weights::exchange::CHUNK_PATH;
use tokio::time::sleep;

/// Wait before the next request for a chunk that the predecessor does not hold yet.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time of a request for one chunk.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(60);

/// Source from which a member reads chunks that it does not get from its swarm.
#[derive(Debug, Clone)]
pub enum Upstream {
    /// Origin.
    Origin(source::Http),
    /// Previous member of a static chain.
    Predecessor(Predecessor),
}

/// Source that reads the chunks of another member.
#[derive(Debug, Clone)]
pub struct Predecessor {
    /// HTTP client.
    pub client: Client,
    /// Address of the member.
    pub address: SocketAddr,
    /// Secret that the members share.
    pub secret: Secret,
}

impl Predecessor {
    /// Requests a chunk until the member holds it.
    async fn read_chunk<P: Pace>(&self, name: &str, pace: &P) -> Result<Bytes, Error> {
        let digest = name.trim_start_matches("chunks/");
        loop {
            let request = Request::get(format!("http://{}{CHUNK_PATH}{digest}", self.address))
                .header(secret::HEADER, self.secret.expose())
                .body(Bytes::new())
                .map_err(read_error)?;
            let response = self.client.fetch(request, usize::MAX, CHUNK_TIMEOUT).await;
            let response = response.map_err(read_error)?;
            if response.status() == StatusCode::OK {
                pace.take(response.body().len()).await;
                return Ok(response.into_body());
            }
            sleep(RETRY_INTERVAL).await;
        }
    }
}

impl Source for Upstream {
    async fn read(&self, name: &str) -> Result<Bytes, Error> {
        match self {
            Self::Origin(origin) => origin.read(name).await,
            Self::Predecessor(_) => Err(Error::Missing),
        }
    }

    async fn read_range<P: Pace>(
        &self,
        name: &str,
        range: Range<u64>,
        pace: &P,
    ) -> Result<Bytes, Error> {
        match self {
            Self::Origin(origin) => origin.read_range(name, range, pace).await,
            Self::Predecessor(predecessor) => predecessor.read_chunk(name, pace).await,
        }
    }
}

fn read_error(reason: impl ToString) -> Error {
    Error::Failed {
        reason: reason.to_string(),
    }
}
