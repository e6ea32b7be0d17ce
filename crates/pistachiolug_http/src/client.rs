//! HTTP client with a connection pool for all outgoing requests.

use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{self, connect::HttpConnector},
    rt::TokioExecutor,
};
use snafu::{ResultExt, Snafu};
use tokio::time::timeout;

use crate::{
    memory::{Budget, Buffer},
    traffic,
};

/// Default limit on the time in which a TCP connection has to open.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which an idle pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Largest head of an answer, and largest part of a body that is read at once, in bytes; memory of each connection.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// Idle time after which TCP keepalive probes a connection, and the interval between probes.
///
/// With [`MAX_PROBES`], an open connection whose peer no longer answers is detected within three seconds.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered probes after which a connection counts as broken.
const MAX_PROBES: u32 = 2;

/// Error of a body that could not be read.
type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Error of a request without a complete answer.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// The connection could not be opened, so nothing was sent.
    #[snafu(display("could not connect: {source}"))]
    Connect {
        /// Error of the HTTP library.
        source: legacy::Error,
    },
    /// The exchange failed after the connection was open; the peer may have processed the request.
    #[snafu(display("exchange broke: {source}"))]
    Exchange {
        /// Error of the HTTP library.
        source: legacy::Error,
    },
    /// The answer has a status that ends no request; the peer may have processed it.
    #[snafu(display("status {status} ends no request"))]
    Status {
        /// Status of the answer.
        status: StatusCode,
    },
    /// The body of the answer was cut short or too large.
    #[snafu(display("body broke: {source}"))]
    Body {
        /// Error of the body reader.
        source: BodyError,
    },
    /// No answer arrived in time; the peer may have processed the request.
    #[snafu(display("no answer within {} ms", after.as_millis()))]
    Timeout {
        /// Time limit that was exceeded.
        after: Duration,
    },
}

impl Error {
    /// Returns whether the peer certainly never received the request.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect { .. })
    }
}

/// Returns whether a status ends a request (RFC 9110, section 15). Those below 200 precede an answer, and those above 599
/// don't exist.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// HTTP client; clones share one connection pool.
#[derive(Debug, Clone)]
pub struct Client {
    inner: legacy::Client<HttpConnector, Full<Bytes>>,
    /// Memory of the bodies that [`Client::fetch`] returns.
    memory: Budget,
}

impl Client {
    /// Creates a client that keeps up to `max_idle` idle connections per peer; with 0, each request opens one.
    pub fn new(max_idle: usize) -> Self {
        Self::with_connect_timeout(max_idle, CONNECT_TIMEOUT)
    }

    /// Creates a client as [`Client::new`] does, whose connections have to open within `time_limit`.
    pub fn with_connect_timeout(max_idle: usize, time_limit: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(time_limit));
        connector.set_keepalive(Some(PROBE_INTERVAL));
        connector.set_keepalive_interval(Some(PROBE_INTERVAL));
        connector.set_keepalive_retries(Some(MAX_PROBES));
        let inner = legacy::Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(max_idle)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_timer(hyper_util::rt::TokioTimer::new())
            .retry_canceled_requests(false)
            .http1_max_buf_size(MAX_BUFFER_BYTES)
            .build(connector);
        let memory = Budget::new(usize::MAX);
        Self { inner, memory }
    }

    /// Bounds the memory in bytes that all bodies which [`Client::fetch`] returns take together, beyond the first
    /// [`SMALL_BYTES`](crate::memory::SMALL_BYTES) of each.
    #[must_use]
    pub fn with_memory(self, bytes: usize) -> Self {
        let memory = Budget::new(bytes);
        Self { memory, ..self }
    }

    /// Sends a request and returns the response with a body that is still to be read.
    ///
    /// # Errors
    /// Returns [`Error::Connect`], [`Error::Exchange`], [`Error::Status`], or [`Error::Timeout`] if no head arrives within
    /// `time_limit`.
    pub async fn send(
        &self,
        request: Request<Bytes>,
        time_limit: Duration,
    ) -> Result<Response<Incoming>, Error> {
        let is_control = traffic::is_control(request.uri().path());
        let sent_bytes = traffic::head_bytes(Some(request.uri()), request.headers());
        let sent_bytes = sent_bytes + request.body().len() as u64;
        let request = request.map(Full::new);
        match timeout(time_limit, self.inner.request(request)).await {
            Ok(Ok(response)) => {
                if is_control {
                    traffic::record_request(
                        sent_bytes,
                        traffic::head_bytes(None, response.headers()),
                    );
                }
                let status = response.status();
                if is_final(status) {
                    Ok(response)
                } else {
                    Err(Error::Status { status })
                }
            }
            Ok(Err(source)) if source.is_connect() => Err(Error::Connect { source }),
            Ok(Err(source)) => Err(Error::Exchange { source }),
            Err(_) => Err(Error::Timeout { after: time_limit }),
        }
    }

    /// Sends a request and reads the response with a body of at most `max_bytes` bytes, all within `time_limit`.
    ///
    /// # Errors
    /// Returns the errors of [`Client::send`], and [`Error::Body`] if the body is cut short or too large, also for the
    /// memory that other bodies leave.
    pub async fn fetch(
        &self,
        request: Request<Bytes>,
        max_bytes: usize,
        time_limit: Duration,
    ) -> Result<Response<Bytes>, Error> {
        let is_control = traffic::is_control(request.uri().path());
        let exchange = async {
            let response = self.send(request, time_limit).await?;
            let (parts, body) = response.into_parts();
            let bytes = self.read(body, max_bytes).await.context(BodySnafu)?;
            if is_control {
                traffic::count_received(bytes.len());
            }
            Ok(Response::from_parts(parts, bytes))
        };
        timeout(time_limit, exchange)
            .await
            .unwrap_or(Err(Error::Timeout { after: time_limit }))
    }

    async fn read(&self, mut body: Incoming, max_bytes: usize) -> Result<Bytes, BodyError> {
        let mut bytes = Buffer::new(&self.memory, max_bytes);
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame?.into_data() {
                bytes.push(&data)?;
            }
        }
        Ok(bytes.freeze())
    }
}
