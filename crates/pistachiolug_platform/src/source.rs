//! Sources of weights: the origin and the rate-limited weight store.

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

/// Longest silence of a source before a read counts as failed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest object read whole, such as a manifest, in bytes.
const OBJECT_BYTES: usize = 16 << 20;

/// Wait after a refusal that names none.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

/// Reports a read that failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The source limits its rate.
    #[snafu(display("source is throttled, come back in {} ms", after.as_millis()))]
    Throttled {
        /// When to try again.
        after: Duration,
    },
    /// The source has no such object.
    #[snafu(display("no such object"))]
    Missing,
    /// The source could not be read, or sent fewer bytes than asked for.
    #[snafu(display("source failed: {reason}"))]
    Failed {
        /// Cause.
        reason: String,
    },
}

/// Source of weights and manifests.
pub trait Source: Clone + Send + Sync + 'static {
    /// Reads a whole small object.
    fn read(&self, name: &str) -> impl Future<Output = Result<Bytes, Error>> + Send;

    /// Reads a range of an object, in bytes, no faster than `pace` lets them pass.
    ///
    /// # Errors
    /// [`Error::Failed`] when the source is silent for too long or sends fewer bytes than asked for.
    fn read_range<P: Pace>(
        &self,
        name: &str,
        range: Range<u64>,
        pace: &P,
    ) -> impl Future<Output = Result<Bytes, Error>> + Send;
}

/// Source that serves `GET {base}/{name}` with HTTP ranges (RFC 9110, section 14).
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

    /// Sets the longest silence before a read counts as failed.
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
        let sent = self.client.send(request, self.idle_timeout).await;
        let response = sent.map_err(failed)?;
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

    async fn collect<P: Pace>(
        &self,
        response: Response<Incoming>,
        most: usize,
        pace: &P,
    ) -> Result<Bytes, Error> {
        let mut body = response.into_body();
        let mut whole = BytesMut::new();
        while let Some(frame) = timeout(self.idle_timeout, body.frame())
            .await
            .map_err(failed)?
        {
            let Ok(data) = frame.map_err(failed)?.into_data() else {
                continue;
            };
            if whole.len() + data.len() > most {
                return Err(failed(format!("more than {most} bytes")));
            }
            pace.take(data.len()).await;
            whole.extend_from_slice(&data);
        }
        Ok(whole.freeze())
    }
}

impl Source for Http {
    async fn read(&self, name: &str) -> Result<Bytes, Error> {
        let response = self.open(name, None).await?;
        self.collect(response, OBJECT_BYTES, &Unpaced).await
    }

    async fn read_range<P: Pace>(
        &self,
        name: &str,
        range: Range<u64>,
        pace: &P,
    ) -> Result<Bytes, Error> {
        let wanted = range.end.saturating_sub(range.start) as usize;
        let response = self.open(name, Some(&range)).await?;
        let bytes = self.collect(response, wanted, pace).await?;
        if bytes.len() != wanted {
            return Err(failed(format!("{} of {wanted} bytes", bytes.len())));
        }
        Ok(bytes)
    }
}

fn retry_after(headers: &http::HeaderMap) -> Duration {
    headers
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_RETRY, Duration::from_secs)
}

fn failed(cause: impl ToString) -> Error {
    Error::Failed {
        reason: cause.to_string(),
    }
}
