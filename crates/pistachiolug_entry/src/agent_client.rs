//! Calls opened at an agent.

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

/// Longest wait for the head of an agent's answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest silence inside an agent's answer; heartbeats come more often.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest wait for a verdict.
const VERDICT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest verdict in bytes.
const VERDICT_BYTES: usize = 1024;

/// Idle connections that each worker thread keeps per agent.
const IDLE_CONNECTIONS: usize = 64;

thread_local! {
    /// Pool of this worker thread: a connection is then driven by the thread that relays its calls, so that a token
    /// wakes no other thread.
    static POOLED: Client = Client::new(IDLE_CONNECTIONS);
}

/// Reports a broken exchange with an agent.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The agent never saw the call.
    #[snafu(display("agent unreachable: {source}"))]
    Unsent {
        /// Cause.
        source: client::Error,
    },
    /// The agent may have seen the call.
    #[snafu(display("exchange with the agent broke: {reason}"))]
    Broken {
        /// Cause.
        reason: String,
    },
    /// The agent sent an event of another call.
    #[snafu(display("event of another call"))]
    WrongCall,
    /// The agent sent a malformed event.
    #[snafu(display("{source}"))]
    Malformed {
        /// Cause.
        source: codec::Error,
    },
}

/// Which connection carries a request to an agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connection {
    /// An idle one, if there is one; it may have died in silence.
    Pooled,
    /// One that is opened for this request.
    Fresh,
}

/// Opens calls at agents; clones share connections.
#[derive(Debug, Clone)]
pub struct AgentClient {
    fresh: Client,
    secret: Secret,
}

/// Events of one open call.
#[derive(Debug)]
pub struct EventStream {
    call: Id,
    body: Incoming,
    decoder: Decoder,
}

impl AgentClient {
    /// Creates the service.
    pub fn new(secret: Secret) -> Self {
        Self {
            fresh: Client::new(0),
            secret,
        }
    }

    /// Opens or joins a call.
    ///
    /// # Errors
    /// [`Error::Unsent`] and [`Error::Broken`].
    pub async fn open(
        &self,
        agent: SocketAddr,
        open: &Open,
        connection: Connection,
    ) -> Result<EventStream, Error> {
        let request = self.request(agent, "/internal/call", codec::encode(open))?;
        let client = match connection {
            Connection::Pooled => POOLED.with(Client::clone),
            Connection::Fresh => self.fresh.clone(),
        };
        let response = client.send(request, HEAD_TIMEOUT).await.map_err(lost)?;
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
    /// All but [`Error::WrongCall`]; nothing is then known of the call.
    pub async fn revoke(&self, agent: SocketAddr, revoke: &Revoke) -> Result<Verdict, Error> {
        self.decide(agent, "/internal/revoke", codec::encode(revoke))
            .await
    }

    /// Tells an agent over a new connection that the caller is gone.
    ///
    /// # Errors
    /// As [`AgentClient::revoke`].
    pub async fn cancel(&self, agent: SocketAddr, call: Id) -> Result<Verdict, Error> {
        let cancel = codec::encode(&Cancel { call });
        self.decide(agent, "/internal/cancel", cancel).await
    }

    async fn decide(&self, agent: SocketAddr, path: &str, body: Bytes) -> Result<Verdict, Error> {
        let request = self.request(agent, path, body)?;
        let answer = self
            .fresh
            .fetch(request, VERDICT_BYTES, VERDICT_TIMEOUT)
            .await
            .map_err(lost)?;
        if !answer.status().is_success() {
            return Err(broken(answer.status()));
        }
        codec::decode(answer.body()).context(MalformedSnafu)
    }

    fn request(&self, agent: SocketAddr, path: &str, body: Bytes) -> Result<Request<Bytes>, Error> {
        Request::post(format!("http://{agent}{path}"))
            .header(secret::HEADER, self.secret.expose())
            .body(body)
            .map_err(broken)
    }
}

impl EventStream {
    /// Waits for the next event.
    ///
    /// # Errors
    /// All but [`Error::Unsent`]; the events are then over.
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

fn lost(source: client::Error) -> Error {
    if source.is_unsent() {
        return Error::Unsent { source };
    }
    broken(source)
}
