//! Answers of the entry's own, and the body type of all answers.

use std::{error::Error, fmt, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::{Either, Full};

/// Reports a stream that could not be brought to its end; the connection closes without looking complete.
#[derive(Debug, Clone, Copy)]
pub struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("stream broke")
    }
}

impl Error for Broken {}

/// Why the entry answers by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No configuration is known yet.
    Starting,
    /// No route fits.
    NoRoute,
    /// The key is unknown.
    BadKey,
    /// The body is larger than allowed.
    TooLarge,
    /// The body ended early.
    BadBody,
    /// No server can take the request in time; it did not and will not run.
    Overloaded,
    /// No server is there to take the request; it did not and will not run.
    Unavailable,
    /// The server that had the request gave no whole answer; it may have run.
    Lost,
    /// The deadline passed while a server had the request; it may have run.
    Late,
}

impl Reason {
    /// Returns the name for logs and bodies.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::NoRoute => "no-route",
            Self::BadKey => "bad-key",
            Self::TooLarge => "too-large",
            Self::BadBody => "bad-body",
            Self::Overloaded => "overloaded",
            Self::Unavailable => "unavailable",
            Self::Lost => "lost",
            Self::Late => "late",
        }
    }

    /// Returns the status.
    pub const fn status(self) -> StatusCode {
        match self {
            Self::Starting | Self::Overloaded | Self::Unavailable => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BadKey => StatusCode::UNAUTHORIZED,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BadBody => StatusCode::BAD_REQUEST,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Builds an answer of the entry's own.
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
