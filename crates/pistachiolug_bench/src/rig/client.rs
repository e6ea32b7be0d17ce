//! HTTP client that the rig uses for daemons and stand-ins.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response};
use pistachiolug_http::{
    client::{Client, Error},
    secret,
};

/// Longest time of a request with its answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Largest accepted answer in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// HTTP client of one deployment; clones share connections.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client,
    secret: String,
}

impl HttpClient {
    /// Creates a client that sends the secret of the deployment with each request.
    pub fn new(secret: &str) -> Self {
        Self {
            client: Client::new(16),
            secret: secret.to_owned(),
        }
    }

    /// Sends a request with an optional bearer key and reads the complete answer. Error statuses are answers, too.
    ///
    /// # Errors
    /// Returns the error of the HTTP client.
    ///
    /// # Panics
    /// Panics on a malformed path, which is a bug of the rig.
    pub async fn send(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        key: Option<&str>,
        body: impl Into<Bytes>,
    ) -> Result<Response<Bytes>, Error> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(secret::HEADER, &self.secret);
        if let Some(key) = key {
            request = request.header("authorization", format!("Bearer {key}"));
        }
        let request = request.body(body.into()).expect("paths are well formed");
        self.client
            .fetch(request, MAX_ANSWER_BYTES, REQUEST_TIMEOUT)
            .await
    }
}
