//! Access of the operators' commands to the platform and to the internal ports of the instances.

use std::{net::SocketAddr, path::Path, time::Duration};

use http::Request;
use pistachiolug_http::{client::Client, secret};
use pistachiolug_platform::{
    directory::{self, Directory, Snapshot},
    kv::etcd::Etcd,
};
use pistachiolug_settings::{finding::Finding, load, secret as settings_secret, source::Source};
use serde_json::Value;
use snafu::{ResultExt, Snafu, Whatever, whatever};

/// Timeout of a request to an instance.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum accepted size of a state dump in bytes.
const MAX_DUMP_BYTES: usize = 64 << 20;

/// Reason why the operator's settings can't be used.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The operator's settings are invalid.
    #[snafu(display("settings are invalid"))]
    Settings {
        /// All findings in the settings.
        findings: Vec<Finding>,
    },
    /// A file or the secret can't be read.
    #[snafu(display("{reason}"))]
    Unreadable {
        /// Name of the file and the cause.
        reason: String,
    },
}

/// Client of one deployment; clones share its connections.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Client of the key-value service.
    pub store: Etcd,
    directory: directory::Http,
    client: Client,
    secret: String,
}

impl Operator {
    /// Reads the operator's settings and secret.
    ///
    /// # Errors
    /// [`Error::Settings`] if the settings are invalid, [`Error::Unreadable`] if the file or the secret can't be read.
    pub fn open(settings: &Path) -> Result<Self, Error> {
        let document = settings.display().to_string();
        let source = Source::read(settings).map_err(|error| Error::Unreadable {
            reason: format!("{document}: {error}"),
        })?;
        let settings = source
            .parse(load::operator)
            .map_err(|findings| Error::Settings { findings })?;
        let secret = settings_secret::read(settings.secret_file.as_deref()).map_err(|error| {
            Error::Unreadable {
                reason: error.to_string(),
            }
        })?;
        let client = Client::new(1);
        Ok(Self {
            store: Etcd::new(client.clone(), &settings.key_value),
            directory: directory::Http::new(client.clone(), &settings.instances),
            client,
            secret,
        })
    }

    /// Reads the current instance list.
    ///
    /// # Errors
    /// Returns an error if the service with the list does not answer or its answer is malformed.
    pub async fn instances(&self) -> Result<Snapshot, Whatever> {
        let result = self.directory.read(u64::MAX).await;
        let snapshot = result.whatever_context("could not read the instance list")?;
        Ok(snapshot.unwrap_or_default())
    }

    /// Reads the state dump of the process with an internal address.
    ///
    /// # Errors
    /// Returns an error if the process does not answer within the timeout, refuses the request, or sends a malformed
    /// dump.
    pub async fn dump(&self, address: SocketAddr) -> Result<Value, Whatever> {
        let request = Request::get(format!("http://{address}/debug/state"))
            .header(secret::HEADER, &self.secret)
            .body(bytes::Bytes::new())
            .whatever_context("could not create the request")?;
        let response = self
            .client
            .fetch(request, MAX_DUMP_BYTES, REQUEST_TIMEOUT)
            .await;
        let response = response.whatever_context(format!("{address}"))?;
        if !response.status().is_success() {
            whatever!("{address}: answered with status {}", response.status());
        }
        serde_json::from_slice(response.body()).whatever_context(format!("{address}"))
    }
}
