//! Sources of weights: the origin, and the weight store, which limits the rate of its reads.

use std::{future::Future, ops::Range, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use pistachiolug_http::{
    client::Client,
    pace::{Pace, Unpaced},
};
use snafu::Snafu;
use tokio::time::timeout;

/// Time without data from a source after which a read fails.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of an object that is read as a whole, such as a manifest, in bytes.
const MAX_OBJECT_BYTES: usize = 16 << 20;

/// Time until the retry of a refused read if the answer has no valid `Retry-After` header.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Failure of a read.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The source refused the read because of its rate limit, or because it is overloaded.
    #[snafu(display("source is throttled, come back in {} ms", after.as_millis()))]
    Throttled {
        /// Time until the next try.
        after: Duration,
    },
    /// The source has no object with this name.
    #[snafu(display("no such object"))]
    Missing,
    /// The source could not be reached, or its answer is not what was requested.
    #[snafu(display("source failed: {reason}"))]
    Failed {
        /// Description of the cause, such as the number of bytes received.
        reason: String,
    },
}

/// Interface of a source of weights and manifests.
pub trait Source: Clone + Send + Sync + 'static {
    /// Reads a small object as a whole.
    ///
    /// # Errors
    /// [`Error::Failed`] if the source sends no data for too long or if the object is too large.
    fn read(&self, name: &str) -> impl Future<Output = Result<Bytes, Error>> + Send;

    /// Reads a range of bytes of an object, at the rate that `pace` allows.
    ///
    /// # Errors
    /// [`Error::Failed`] if the source sends no data for too long, or another number of bytes than requested.
    fn read_range<P: Pace>(
        &self,
        name: &str,
        range: Range<u64>,
        pace: &P,
    ) -> impl Future<Output = Result<Bytes, Error>> + Send;
}

/// Adapter to a source that serves `GET {base}/{name}` with HTTP ranges (RFC 9110, section 14).
#[derive(Debug, Clone)]
pub struct Http {
    client: Client,
    base: String,
    idle_timeout: Duration,
}

impl Http {
    /// Creates an adapter for the source at `base`.
    pub fn new(client: Client, base: &str) -> Self {
        Self {
            client,
            base: base.to_owned(),
            idle_timeout: IDLE_TIMEOUT,
        }
    }

    /// Sets the time without data after which a read fails.
    #[must_use]
    pub fn with_idle_timeout(self, idle_timeout: Duration) -> Self {
        Self {
            idle_timeout,
            ..self
        }
    }

    async fn open(
        &self,
        name: &str,
        range: Option<&Range<u64>>,
    ) -> Result<Response<Incoming>, Error> {
        let mut request = Request::get(format!("{}/{name}", self.base));
        if let Some(range) = range {
            let last = range.end.saturating_sub(1);
            request = request.header(header::RANGE, format!("bytes={}-{last}", range.start));
        }
        let request = request.body(Bytes::new()).map_err(failed)?;
        let result = self.client.send(request, self.idle_timeout).await;
        let response = result.map_err(failed)?;
        match response.status() {
            StatusCode::OK | StatusCode::PARTIAL_CONTENT => Ok(response),
            StatusCode::NOT_FOUND => Err(Error::Missing),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(Error::Throttled {
                    after: retry_after(response.headers()),
                })
            }
            status => Err(failed(status)),
        }
    }

    /// Reads a body of up to `max_bytes` bytes.
    async fn read_body<P: Pace>(
        &self,
        response: Response<Incoming>,
        max_bytes: usize,
        pace: &P,
    ) -> Result<Bytes, Error> {
        let mut body = response.into_body();
        let mut received = BytesMut::new();
        while let Some(frame) = timeout(self.idle_timeout, body.frame())
            .await
            .map_err(failed)?
        {
            let Ok(data) = frame.map_err(failed)?.into_data() else {
                continue;
            };
            if received.len() + data.len() > max_bytes {
                return Err(failed(format!("more than {max_bytes} bytes")));
            }
            pace.take(data.len()).await;
            received.extend_from_slice(&data);
        }
        Ok(received.freeze())
    }
}

impl Source for Http {
    async fn read(&self, name: &str) -> Result<Bytes, Error> {
        let response = self.open(name, None).await?;
        self.read_body(response, MAX_OBJECT_BYTES, &Unpaced).await
    }

    async fn read_range<P: Pace>(
        &self,
        name: &str,
        range: Range<u64>,
        pace: &P,
    ) -> Result<Bytes, Error> {
        let expected_bytes = range.end.saturating_sub(range.start) as usize;
        let response = self.open(name, Some(&range)).await?;
        let bytes = self.read_body(response, expected_bytes, pace).await?;
        if bytes.len() != expected_bytes {
            return Err(failed(format!("{} of {expected_bytes} bytes", bytes.len())));
        }
        Ok(bytes)
    }
}

/// Returns the time in the `Retry-After` header, which has to be in seconds, or the default.
fn retry_after(headers: &http::HeaderMap) -> Duration {
    headers
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_RETRY_DELAY, Duration::from_secs)
}

fn failed(cause: impl ToString) -> Error {
    Error::Failed {
        reason: cause.to_string(),
    }
}
