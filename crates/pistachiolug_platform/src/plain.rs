//! Plain services, which are not model engines. Some of their calls must not be repeated.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use http::{Request, Response, header};
use pistachiolug_http::client::{self, Client};
use pistachiolug_wire::call::Plain;
use snafu::Snafu;

/// Maximum size of an answer in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Failure of a plain call, which has no answer then.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The service could not be reached, so the call did not run.
    #[snafu(display("service unreachable: {reason}"))]
    Unreachable {
        /// Description of the cause.
        reason: String,
    },
    /// The connection ended before the answer. The call may have run, and it may have crashed the service.
    #[snafu(display("connection broke, effect unknown: {reason}"))]
    Broken {
        /// Description of the cause.
        reason: String,
    },
    /// No answer arrived within the timeout. The call may have run.
    #[snafu(display("effect unknown: {reason}"))]
    Unknown {
        /// Description of the cause.
        reason: String,
    },
}

/// Interface of a plain service.
pub trait Service: Clone + Send + Sync + 'static {
    /// Sends one call and waits for its whole answer, at most for `timeout`.
    ///
    /// # Errors
    /// The variants of [`Error`] tell whether the call may have run.
    fn call(
        &self,
        call: &Plain,
        timeout: Duration,
    ) -> impl Future<Output = Result<Response<Bytes>, Error>> + Send;
}

/// Plain service reached over HTTP.
#[derive(Debug, Clone)]
pub struct Http {
    client: Client,
    base: String,
}

impl Http {
    /// Creates an adapter for the service at `base`.
    ///
    /// Calls that must not be repeated need a client that opens a connection per request. With a pooled connection that
    /// the service has already closed, it would be unknown whether the call ran.
    pub fn new(client: Client, base: &str) -> Self {
        Self {
            client,
            base: base.to_owned(),
        }
    }
}

impl Service for Http {
    async fn call(&self, call: &Plain, timeout: Duration) -> Result<Response<Bytes>, Error> {
        let mut request = Request::builder()
            .method(call.method.as_str())
            .uri(format!("{}{}", self.base, call.path))
            .header(header::CONTENT_TYPE, &call.content_type);
        if let Some(key) = &call.key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(call.body.clone()).map_err(unreachable)?;
        self.client
            .fetch(request, MAX_ANSWER_BYTES, timeout)
            .await
            .map_err(client_error)
    }
}

fn unreachable(cause: impl ToString) -> Error {
    Error::Unreachable {
        reason: cause.to_string(),
    }
}

/// Converts an error of the HTTP client.
fn client_error(error: client::Error) -> Error {
    let reason = error.to_string();
    if error.is_unsent() {
        return Error::Unreachable { reason };
    }
    match error {
        client::Error::Timeout { .. } => Error::Unknown { reason },
        _ => Error::Broken { reason },
    }
}
