//! Instance list of the platform: live and leaving instances, with a lag.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use http::Request;
use pistachiolug_http::client::Client;
use pistachiolug_wire::instance::Instance;
use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Largest accepted list in bytes.
const LIST_BYTES: usize = 4 << 20;

/// Longest time one read may take.
const TIMEOUT: Duration = Duration::from_secs(2);

/// One read of the list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Version of the list; grows with each change.
    pub version: u64,
    /// All instances of the deployment.
    pub instances: Vec<Instance>,
}

/// Reports that the list could not be read.
#[derive(Debug, Snafu)]
#[snafu(display("instance list unavailable: {reason}"))]
pub struct Error {
    /// Cause.
    reason: String,
}

/// Instance list of the platform.
pub trait Directory: Clone + Send + Sync + 'static {
    /// Reads the list if it is newer than `known`; `None` means unchanged.
    fn read(&self, known: u64) -> impl Future<Output = Result<Option<Snapshot>, Error>> + Send;
}

/// Adapter to a list served as JSON at `GET {base}/v1/instances`, with its version as entity tag.
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
            .fetch(request, LIST_BYTES, TIMEOUT)
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
