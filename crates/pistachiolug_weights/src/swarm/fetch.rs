//! Fetch and verification of one chunk.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use pistachiolug_http::{pace::Pace, secret};
use pistachiolug_platform::source::{self, Source};
use pistachiolug_wire::digest::Digest;
use tokio::time::timeout;

use super::Shared;
use crate::{
    exchange::{CHUNK_PATH, IDLE_HEADER, MANIFEST_HEADER, RETRY_AFTER_HEADER},
    manifest::{self, Chunk},
    planner::fetch::Outcome,
};

/// Retry delay for a member that sends none.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Outcome of a fetch, with the chunk if it arrived.
pub(super) type Fetched = (Outcome, Option<Bytes>);

impl<S: Source> Shared<S> {
    /// Reads a chunk from the origin or the weight store.
    pub(super) async fn fetch_source(&self, index: usize, chunk: Chunk) -> Fetched {
        let name = manifest::chunk_object(&chunk.digest);
        let range = 0..u64::from(chunk.length);
        match self.sources[index]
            .read_range(&name, range, &self.download_bucket)
            .await
        {
            Ok(bytes) => verify(&chunk.digest, bytes),
            Err(source::Error::Throttled { after }) => (Outcome::Busy { after }, None),
            Err(source::Error::Missing | source::Error::Failed { .. }) => (Outcome::Failed, None),
        }
    }

    /// Reads a chunk from another member.
    pub(super) async fn fetch_member(
        &self,
        address: SocketAddr,
        id: &Digest,
        chunk: Chunk,
    ) -> Fetched {
        let request = Request::get(format!("http://{address}{CHUNK_PATH}{}", chunk.digest))
            .header(secret::HEADER, self.secret.expose())
            .header(MANIFEST_HEADER, id.to_string())
            .body(Bytes::new());
        let Ok(request) = request else {
            return (Outcome::Failed, None);
        };
        let Ok(response) = self
            .client
            .send(request, self.options.tuning.stall_timeout)
            .await
        else {
            return (Outcome::Failed, None);
        };
        match response.status() {
            StatusCode::OK => self.collect(response, chunk).await,
            StatusCode::NOT_FOUND => {
                let idle = header_duration(response.headers(), IDLE_HEADER);
                (Outcome::Absent { idle }, None)
            }
            StatusCode::SERVICE_UNAVAILABLE => {
                let after = header_duration(response.headers(), RETRY_AFTER_HEADER)
                    .unwrap_or(DEFAULT_RETRY_DELAY);
                (Outcome::Busy { after }, None)
            }
            _ => (Outcome::Failed, None),
        }
    }

    async fn collect(&self, response: Response<Incoming>, chunk: Chunk) -> Fetched {
        let mut body = response.into_body();
        let mut content = BytesMut::with_capacity(chunk.length as usize);
        loop {
            let frame = match timeout(self.options.tuning.stall_timeout, body.frame()).await {
                Ok(Some(Ok(frame))) => frame,
                Ok(None) => break,
                Ok(Some(Err(_))) | Err(_) => return (Outcome::Failed, None),
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            if content.len() + data.len() > chunk.length as usize {
                return (Outcome::Corrupt, None);
            }
            self.download_bucket.take(data.len()).await;
            content.extend_from_slice(&data);
        }
        if content.len() < chunk.length as usize {
            return (Outcome::Failed, None);
        }
        verify(&chunk.digest, content.freeze())
    }
}

fn verify(digest: &Digest, bytes: Bytes) -> Fetched {
    if Digest::of(&bytes) == *digest {
        return (Outcome::Arrived, Some(bytes));
    }
    (Outcome::Corrupt, None)
}

fn header_duration(headers: &HeaderMap, name: &str) -> Option<Duration> {
    let value = headers.get(name)?.to_str().ok()?;
    value.parse().ok().map(Duration::from_millis)
}
