//! Requests that the rig sends to daemons and stand-ins.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response};
use pistachiolug_http::{
    client::{Client, Error},
    secret,
};

/// Longest time a request of the rig may take.
const TIMEOUT: Duration = Duration::from_secs(60);

/// Largest accepted answer in bytes.
const ANSWER_BYTES: usize = 64 << 20;

/// Sends requests.
#[derive(Debug, Clone)]
pub struct HttpClient {
    client: Client,
    secret: String,
}

impl HttpClient {
    /// Creates a client that shows the deployment's secret.
    pub fn new(secret: &str) -> Self {
        Self {
            client: Client::new(16),
            secret: secret.to_owned(),
        }
    }

    /// Sends a request with an optional bearer key and reads the whole answer.
    ///
    /// # Errors
    /// Returns the client's error.
    ///
    /// # Panics
    /// Panics on a malformed path, which is a fault of the rig.
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
        self.client.fetch(request, ANSWER_BYTES, TIMEOUT).await
    }
}
