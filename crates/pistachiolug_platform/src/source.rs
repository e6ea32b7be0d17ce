//! Sources of weights: the origin and the rate-limited weight store.

use std::{future::Future, ops::Range, time::Duration};

use bytes::Bytes;
use http::{Request, StatusCode, header};
use pistachiolug_http::client::Client;
use snafu::Snafu;

/// Longest time one range may take.
const TIMEOUT: Duration = Duration::from_secs(60);

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

    /// Reads a range of an object, in bytes.
    fn read_range(
        &self,
        name: &str,
        range: Range<u64>,
    ) -> impl Future<Output = Result<Bytes, Error>> + Send;
}

/// Source that serves `GET {base}/{name}` with HTTP ranges (RFC 9110, section 14).
#[derive(Debug, Clone)]
pub struct Http {
    client: Client,
    base: String,
}

impl Http {
    /// Creates an adapter for the source at `base`.
    pub fn new(client: Client, base: &str) -> Self {
        Self {
            client,
            base: base.to_owned(),
        }
    }

    async fn get(&self, name: &str, range: Option<&Range<u64>>) -> Result<Bytes, Error> {
        let mut request = Request::get(format!("{}/{name}", self.base));
        let mut most = OBJECT_BYTES;
        if let Some(range) = range {
            let last = range.end.saturating_sub(1);
            request = request.header(header::RANGE, format!("bytes={}-{last}", range.start));
            most = range.end.saturating_sub(range.start) as usize;
        }
        let request = request.body(Bytes::new()).map_err(failed)?;
        let response = self
            .client
            .fetch(request, most, TIMEOUT)
            .await
            .map_err(failed)?;
        match response.status() {
            StatusCode::OK | StatusCode::PARTIAL_CONTENT => Ok(response.into_body()),
            StatusCode::NOT_FOUND => Err(Error::Missing),
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                Err(Error::Throttled {
                    after: retry_after(response.headers()),
                })
            }
            status => Err(failed(status)),
        }
    }
}

impl Source for Http {
    async fn read(&self, name: &str) -> Result<Bytes, Error> {
        self.get(name, None).await
    }

    async fn read_range(&self, name: &str, range: Range<u64>) -> Result<Bytes, Error> {
        let wanted = range.end.saturating_sub(range.start);
        let bytes = self.get(name, Some(&range)).await?;
        if bytes.len() as u64 != wanted {
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
