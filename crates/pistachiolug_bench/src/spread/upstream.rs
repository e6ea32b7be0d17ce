//! Sources of a member: the origin, or the member before it in a static chain.

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

/// Wait before a chunk is asked for again that the predecessor does not hold yet.
const RETRY: Duration = Duration::from_millis(50);

/// Longest time one chunk may take.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Where a member reads what no other member is to give it.
#[derive(Debug, Clone)]
pub enum Upstream {
    /// Origin.
    Origin(source::Http),
    /// Member before it in a static chain.
    Predecessor(Predecessor),
}

/// Chunks of another member.
#[derive(Debug, Clone)]
pub struct Predecessor {
    /// Client.
    pub client: Client,
    /// Address of the member.
    pub address: SocketAddr,
    /// Secret of the deployment.
    pub secret: Secret,
}

impl Predecessor {
    async fn read_chunk<P: Pace>(&self, name: &str, pace: &P) -> Result<Bytes, Error> {
        let digest = name.trim_start_matches("chunks/");
        loop {
            let request = Request::get(format!("http://{}{CHUNK_PATH}{digest}", self.address))
                .header(secret::HEADER, self.secret.expose())
                .body(Bytes::new())
                .map_err(failed)?;
            let response = self.client.fetch(request, usize::MAX, TIMEOUT).await;
            let response = response.map_err(failed)?;
            if response.status() == StatusCode::OK {
                pace.take(response.body().len()).await;
                return Ok(response.into_body());
            }
            sleep(RETRY).await;
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

fn failed(cause: impl ToString) -> Error {
    Error::Failed {
        reason: cause.to_string(),
    }
}
