//! Instance list of the platform: live and leaving instances. The list lags behind the real state.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use http::Request;
use pistachiolug_http::client::Client;
use pistachiolug_wire::instance::Instance;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Maximum size of the list in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

/// Content of the list at one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version of the list; grows with each change.
    pub version: u64,
    /// All instances of the deployment.
    pub instances: Vec<Instance>,
}

/// Failure to read the list.
#[derive(Debug, Snafu)]
#[snafu(display("instance list unavailable: {reason}"))]
pub struct Error {
    /// Description of the cause, such as the HTTP status.
    reason: String,
}

/// Access to the instance list of the platform.
pub trait Directory: Clone + Send + Sync + 'static {
    /// Reads the list if its version differs from `known`; `None` if it is unchanged.
    ///
    /// # Errors
    /// [`Error`] if the service can't be reached, or if its answer is not a list.
    fn read(&self, known: u64) -> impl Future<Output = Result<Option<Snapshot>, Error>> + Send;
}

/// Adapter to a list that is served as JSON at `GET {base}/v1/instances` with its version as entity tag.
#[derive(Debug, Clone)]
pub struct Http {
    client: Client,
    url: String,
}

impl Http {
    /// Creates an adapter for the service at `base`, such as `http://127.0.0.1:7000`.
    pub fn new(client: Client, base: &str) -> Self {
        Self {
            client,
            url: format!("{base}/v1/instances"),
        }
    }
}

impl Directory for Http {
    async fn read(&self, known: u64) -> Result<Option<Snapshot>, Error> {
        let request = Request::get(&self.url)
            .header(http::header::IF_NONE_MATCH, format!("\"{known}\""))
            .body(Bytes::new())
            .map_err(unavailable)?;
        let response = self
            .client
            .fetch(request, MAX_LIST_BYTES, READ_TIMEOUT)
            .await
            .map_err(unavailable)?;
        match response.status().as_u16() {
            304 => Ok(None),
            200 => serde_json::from_slice(response.body())
                .map(Some)
                .map_err(unavailable),
            status => Err(unavailable(format!("status {status}"))),
        }
    }
}

fn unavailable(cause: impl ToString) -> Error {
    Error {
        reason: cause.to_string(),
    }
}
