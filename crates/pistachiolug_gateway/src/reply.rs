//! Answers that the entry gives itself, and the body type of all answers.

use std::{error::Error, fmt, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{Either, Full};

/// Error of a stream that could not be completed; the connection is closed without the end of the body.
#[derive(Debug, Clone, Copy)]
pub struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("stream could not be completed")
    }
}

impl Error for Broken {}

/// Reason why the entry answers a request itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No configuration is known yet.
    Starting,
    /// No route matches.
    NoRoute,
    /// The key is unknown.
    BadKey,
    /// The body is larger than allowed.
    TooLarge,
    /// There is no memory for the body; the request did not and will not run.
    NoMemory,
    /// The body ended early or did not arrive by the deadline.
    BadBody,
    /// No server can take the request in time; it did not and will not run.
    Overloaded,
    /// All servers that could take the request have asked for a backoff; it did not and will not run.
    Backoff,
    /// All servers that could take the request limit their requests and have reached their limits; it did not and will not
    /// run.
    Limited,
    /// No server that could take the request is known; it did not and will not run.
    Unavailable,
    /// The process is told to stop and ends before a server could have answered; the request did not and will not run.
    Stopping,
    /// Servers crashed while they ran requests with the same content; this one did not and will not run.
    CrashSuspect,
    /// The server that got the request gave no complete answer; it may have run.
    Lost,
    /// The deadline passed while a server had the request; it may have run.
    Late,
}

impl Reason {
    /// Returns the name in logs, metrics and bodies.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::NoRoute => "no-route",
            Self::BadKey => "bad-key",
            Self::TooLarge => "too-large",
            Self::NoMemory => "no-memory",
            Self::BadBody => "bad-body",
            Self::Overloaded => "overloaded",
            Self::Backoff => "backoff",
            Self::Limited => "limited",
            Self::Unavailable => "unavailable",
            Self::Stopping => "stopping",
            Self::CrashSuspect => "crash-suspect",
            Self::Lost => "lost",
            Self::Late => "late",
        }
    }

    /// Returns the HTTP status.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Starting
            | Self::NoMemory
            | Self::Overloaded
            | Self::Backoff
            | Self::Limited
            | Self::Unavailable
            | Self::Stopping
            | Self::CrashSuspect => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BadBody => StatusCode::BAD_REQUEST,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Builds the entry's own answer; `retry_after` becomes a header with fractional seconds.
pub fn build<S>(reason: Reason, retry_after: Option<Duration>) -> Response<Either<Full<Bytes>, S>> {
    let body = format!("{{\"error\":\"{}\"}}", reason.as_str());
    let mut response = Response::new(Either::Left(Full::new(Bytes::from(body))));
    *response.status_mut() = reason.status();
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    let seconds = retry_after.map(|after| format!("{:.3}", after.as_secs_f64()));
    if let Some(Ok(value)) = seconds.map(HeaderValue::try_from) {
        headers.insert(header::RETRY_AFTER, value);
    }
    response
}
