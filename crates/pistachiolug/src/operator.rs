//! What an operator's command reaches: the platform and the instances' internal ports.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use http::Request;
use pistachiolug_http::{client::Client, secret};
use pistachiolug_platform::{
    directory::{self, Directory, Snapshot},
    kv::etcd::Etcd,
};
use pistachiolug_settings::{finding::Finding, load, secret as settings_secret};
use serde_json::Value;
use snafu::{ResultExt, Snafu, Whatever, whatever};

/// Longest time one instance may take to answer.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Largest accepted state dump in bytes.
const DUMP_BYTES: usize = 64 << 20;

/// Reports why a command can't reach the deployment.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The operator's settings do not hold.
    #[snafu(display("settings do not hold"))]
    Settings {
        /// All findings.
        findings: Vec<Finding>,
    },
    /// A file or the secret can't be read.
    #[snafu(display("{reason}"))]
    Unreadable {
        /// Cause.
        reason: String,
    },
}

/// Reaches one deployment.
#[derive(Debug, Clone)]
pub struct Operator {
    /// Key-value service.
    pub store: Etcd,
    directory: directory::Http,
    client: Client,
    secret: String,
}

impl Operator {
    /// Reads the operator's settings and secret.
    ///
    /// # Errors
    /// [`Error::Settings`] and [`Error::Unreadable`].
    pub fn open(settings: &Path) -> Result<Self, Error> {
        let document = settings.display().to_string();
        let text = fs::read_to_string(settings).map_err(|error| Error::Unreadable {
            reason: format!("{document}: {error}"),
        })?;
        let settings =
            load::operator(&document, &text).map_err(|findings| Error::Settings { findings })?;
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

    /// Reads the instance list.
    ///
    /// # Errors
    /// Returns why the list can't be read.
    pub async fn instances(&self) -> Result<Snapshot, Whatever> {
        let read = self.directory.read(u64::MAX).await;
        let snapshot = read.whatever_context("instance list")?;
        Ok(snapshot.unwrap_or_default())
    }

    /// Reads a process's whole state.
    ///
    /// # Errors
    /// Returns why the process gives none.
    pub async fn dump(&self, address: SocketAddr) -> Result<Value, Whatever> {
        let request = Request::get(format!("http://{address}/debug/state"))
            .header(secret::HEADER, &self.secret)
            .body(bytes::Bytes::new())
            .whatever_context("request")?;
        let response = self.client.fetch(request, DUMP_BYTES, TIMEOUT).await;
        let response = response.whatever_context(format!("{address}"))?;
        if !response.status().is_success() {
            whatever!("{address}: status {}", response.status());
        }
        serde_json::from_slice(response.body()).whatever_context(format!("{address}"))
    }
}
