//! Plain services beside the model engines; some of their calls may not be repeated.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use http::{Request, Response, header};
use pistachiolug_http::client::{self, Client};
use pistachiolug_wire::call::Plain;
use snafu::Snafu;

/// Largest accepted answer in bytes.
const ANSWER_BYTES: usize = 4 << 20;

/// Reports a plain call that has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Error {
    /// The service could not be reached; nothing ran.
    #[snafu(display("service unreachable: {reason}"))]
    Unreachable {
        /// Cause.
        reason: String,
    },
    /// The connection ended before the answer; the call may have run, and the service may have died of it.
    #[snafu(display("connection broke, effect unknown: {reason}"))]
    Broken {
        /// Cause.
        reason: String,
    },
    /// No answer came in time; the call may have run.
    #[snafu(display("effect unknown: {reason}"))]
    Unknown {
        /// Cause.
        reason: String,
    },
}

/// Plain service.
pub trait Service: Clone + Send + Sync + 'static {
    /// Runs one call and returns its whole answer.
    fn call(
        &self,
        call: &Plain,
        within: Duration,
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
    /// Calls that may not be repeated need a client that opens a connection per request, so that a stale pooled
    /// connection never leaves their effect in doubt.
    pub fn new(client: Client, base: &str) -> Self {
        Self {
            client,
            base: base.to_owned(),
        }
    }
}

impl Service for Http {
    async fn call(&self, call: &Plain, within: Duration) -> Result<Response<Bytes>, Error> {
        let mut request = Request::builder()
            .method(call.method.as_str())
            .uri(format!("{}{}", self.base, call.path))
            .header(header::CONTENT_TYPE, &call.content_type);
        if let Some(key) = &call.key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(call.body.clone()).map_err(unreachable)?;
        self.client
            .fetch(request, ANSWER_BYTES, within)
            .await
            .map_err(failure)
    }
}

fn unreachable(cause: impl ToString) -> Error {
    Error::Unreachable {
        reason: cause.to_string(),
    }
}

fn failure(error: client::Error) -> Error {
    let reason = error.to_string();
    if error.is_unsent() {
        return Error::Unreachable { reason };
    }
    match error {
        client::Error::Timeout { .. } => Error::Unknown { reason },
        _ => Error::Broken { reason },
    }
}
