//! Pooled client for every outgoing request.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use snafu::{ResultExt, Snafu};
use tokio::time::timeout;

use crate::traffic;

/// Longest time a TCP connection may take to open.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an idle pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Idle time after which a connection is probed, and the interval between probes: together with [`PROBES`] an open
/// connection that has gone silent is noticed within three seconds.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection counts as broken.
const PROBES: u32 = 2;

/// Reports why a request has no answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The connection could not be opened, so nothing was sent.
    #[snafu(display("could not connect: {source}"))]
    Connect {
        /// Cause given by the client library.
        source: legacy::Error,
    },
    /// The exchange broke after the connection was open; the peer may have acted.
    #[snafu(display("exchange broke: {source}"))]
    Exchange {
        /// Cause given by the client library.
        source: legacy::Error,
    },
    /// The answer's body broke or was too large.
    #[snafu(display("body broke: {source}"))]
    Body {
        /// Cause given by the body reader.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// No answer came in time; the peer may have acted.
    #[snafu(display("no answer within {} ms", after.as_millis()))]
    Timeout {
        /// Time that was waited.
        after: Duration,
    },
}

impl Error {
    /// Tells whether the peer surely never saw the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

/// Sends requests; clones share one pool.
#[derive(Debug, Clone)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    /// Creates a client that keeps up to `idle` connections per peer; 0 opens one per request.
    pub fn new(idle: usize) -> Self {
        Self::with_connect_timeout(idle, CONNECT_TIMEOUT)
    }

    /// Creates a client as [`Client::new`] does, whose connections have to open within a time.
    pub fn with_connect_timeout(idle: usize, within: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(within));
        connector.set_keepalive(Some(PROBE_INTERVAL));
        connector.set_keepalive_interval(Some(PROBE_INTERVAL));
        connector.set_keepalive_retries(Some(PROBES));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(idle)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(hyper_util::rt::TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { inner }
    }

    /// Sends a request and returns the head with a body still to read.
    ///
    /// # Errors
    /// [`Error::Connect`], [`Error::Exchange`], or [`Error::Timeout`] when no head arrives within `within`.
    pub async fn send(
        &self,
        request: Request<Bytes>,
        within: Duration,
    ) -> Result<Response<Incoming>, Error> {
        let control = traffic::is_control(request.uri().path());
        let sent = traffic::head_bytes(Some(request.uri()), request.headers());
        let sent = sent + request.body().len() as u64;
        let request = request.map(Full::new);
        match timeout(within, self.inner.request(request)).await {
            Ok(Ok(response)) => {
                if control {
                    traffic::count(sent, traffic::head_bytes(None, response.headers()));
                }
                Ok(response)
            }
            Ok(Err(source)) if source.is_connect() => Err(Error::Connect { source }),
            Ok(Err(source)) => Err(Error::Exchange { source }),
            Err(_) => Err(Error::Timeout { after: within }),
        }
    }

    /// Sends a request and reads an answer of at most `most` bytes, all within `within`.
    ///
    /// # Errors
    /// As [`Client::send`], and [`Error::Body`] when the answer is cut short or too large.
    pub async fn fetch(
        &self,
        request: Request<Bytes>,
        most: usize,
        within: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let control = traffic::is_control(request.uri().path());
        let exchange = async {
            let response = self.send(request, within).await?;
            let (parts, body) = response.into_parts();
            let whole = Limited::new(body, most)
                .collect()
                .await
                .context(BodySnafu)?
                .to_bytes();
            if control {
                traffic::count_received(whole.len());
            }
            Ok(Response::from_parts(parts, whole))
        };
        timeout(within, exchange)
            .await
            .unwrap_or(Err(Error::Timeout { after: within }))
    }
}
