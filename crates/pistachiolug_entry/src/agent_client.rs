//! Client for the calls that an entry opens at agents.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use pistachiolug_http::{
    client::{self, Client},
    secret::{self, Secret},
};
use pistachiolug_wire::{
    call::{Body, Event, Id, Open},
    codec::{self, Decoder},
    revoke::{Cancel, Revoke, Verdict},
};
use snafu::{ResultExt, Snafu, ensure};
use tokio::time::timeout;

/// Longest wait for the response head of an agent.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time without data in an agent's answer; by default, heartbeats arrive every 500 ms.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for an agent's whole verdict on a call.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest accepted verdict in bytes.
const MAX_VERDICT_BYTES: usize = 1024;

/// Number of idle connections that each worker thread keeps per agent.
const IDLE_CONNECTIONS: usize = 64;

thread_local! {
    /// Connection pool of this worker thread.
    ///
    /// With a pool per thread, the thread that relays a call also drives its connection, so that a token wakes no
    /// other thread.
    static POOLED_CLIENT: Client = Client::new(IDLE_CONNECTIONS);
}

/// Error of an exchange with an agent.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The agent never received the request.
    #[snafu(display("agent unreachable: {source}"))]
    Unsent {
        /// Error of the HTTP client.
        source: client::Error,
    },
    /// The exchange failed; the agent may have received the request.
    #[snafu(display("exchange with the agent broke: {reason}"))]
    Broken {
        /// Text of the error, status or timeout.
        reason: String,
    },
    /// The agent sent an event of another call.
    #[snafu(display("event of another call"))]
    WrongCall,
    /// The agent sent a malformed event.
    #[snafu(display("{source}"))]
    Malformed {
        /// Error of the decoder.
        source: codec::Error,
    },
}

/// Kind of the connection that carries a request to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connection {
    /// Idle connection of the pool if there is one; it may have failed without notice.
    Pooled,
    /// New connection for this request.
    Fresh,
}

/// Client for the exchanges with agents; clones share connections.
#[derive(Debug, Clone)]
pub struct AgentClient {
    unpooled: Client,
    secret: Secret,
}

/// Stream of the events of one open call.
#[derive(Debug)]
pub struct EventStream {
    call: Id,
    body: Incoming,
    decoder: Decoder,
}

impl AgentClient {
    /// Creates a client that sends `secret` with each request.
    pub fn new(secret: Secret) -> Self {
        Self {
            unpooled: Client::new(0),
            secret,
        }
    }

    /// Opens or joins a call and returns its events.
    ///
    /// # Errors
    /// Returns [`Error::Unsent`] if no connection could be opened, else [`Error::Broken`].
    pub async fn open(
        &self,
        address: SocketAddr,
        open: &Open,
        connection: Connection,
    ) -> Result<EventStream, Error> {
        let request = self.build_request(address, "/internal/call", codec::encode(open))?;
        let client = match connection {
            Connection::Pooled => POOLED_CLIENT.with(Client::clone),
            Connection::Fresh => self.unpooled.clone(),
        };
        let response = client
            .send(request, HEAD_TIMEOUT)
            .await
            .map_err(classify_error)?;
        if !response.status().is_success() {
            return Err(broken(response.status()));
        }
        Ok(EventStream {
            call: open.id,
            body: response.into_body(),
            decoder: Decoder::default(),
        })
    }

    /// Asks an agent over a new connection never to start a call.
    ///
    /// # Errors
    /// Returns every error but [`Error::WrongCall`]; it is then unknown how far the call came.
    pub async fn revoke(&self, address: SocketAddr, revoke: &Revoke) -> Result<Verdict, Error> {
        self.request_verdict(address, "/internal/revoke", codec::encode(revoke))
            .await
    }

    /// Tells an agent over a new connection that the caller has disconnected.
    ///
    /// # Errors
    /// Returns the same errors as [`AgentClient::revoke`].
    pub async fn cancel(&self, address: SocketAddr, call: Id) -> Result<Verdict, Error> {
        let cancel = codec::encode(&Cancel { call });
        self.request_verdict(address, "/internal/cancel", cancel)
            .await
    }

    async fn request_verdict(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Verdict, Error> {
        let request = self.build_request(address, path, body)?;
        let answer = self
            .unpooled
            .fetch(request, MAX_VERDICT_BYTES, VERDICT_TIMEOUT)
            .await
            .map_err(classify_error)?;
        if !answer.status().is_success() {
            return Err(broken(answer.status()));
        }
        codec::decode(answer.body()).context(MalformedSnafu)
    }

    fn build_request(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Request<Bytes>, Error> {
        Request::post(format!("http://{address}{path}"))
            .header(secret::HEADER, self.secret.expose())
            .body(body)
            .map_err(broken)
    }
}

impl EventStream {
    /// Waits for the next event.
    ///
    /// # Errors
    /// Returns every error but [`Error::Unsent`]; no more events follow.
    pub async fn next(&mut self) -> Result<Body, Error> {
        loop {
            if let Some(event) = self
                .decoder
                .next_message::<Event>()
                .context(MalformedSnafu)?
            {
                ensure!(event.call == self.call, WrongCallSnafu);
                return Ok(event.body);
            }
            let frame = timeout(SILENCE_TIMEOUT, self.body.frame()).await;
            let frame = frame
                .map_err(broken)?
                .ok_or_else(|| broken("ended early"))?;
            if let Ok(data) = frame.map_err(broken)?.into_data() {
                self.decoder.push(&data);
            }
        }
    }
}

fn broken(cause: impl ToString) -> Error {
    Error::Broken {
        reason: cause.to_string(),
    }
}

fn classify_error(source: client::Error) -> Error {
    if source.is_unsent() {
        return Error::Unsent { source };
    }
    broken(source)
}
