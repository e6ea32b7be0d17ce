//! Calls opened at an agent.

use std::{net::SocketAddr, time::Duration};

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
};
use snafu::{ResultExt, Snafu, ensure};
use tokio::time::timeout;

/// Longest wait for the head of an agent's answer.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest silence inside an agent's answer; heartbeats come more often.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

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
    Crossed,
    /// The agent sent a malformed event.
    #[snafu(display("{source}"))]
    Malformed {
        /// Cause.
        source: codec::Error,
    },
}

/// Opens calls at agents; clones share connections.
#[derive(Debug, Clone)]
pub struct Remote {
    client: Client,
    secret: Secret,
}

/// Events of one open call.
#[derive(Debug)]
pub struct Events {
    call: Id,
    body: Incoming,
    decoder: Decoder,
}

impl Remote {
    /// Creates the service.
    pub fn new(client: Client, secret: Secret) -> Self {
        Self { client, secret }
    }

    /// Opens a call.
    ///
    /// # Errors
    /// [`Error::Unsent`] and [`Error::Broken`].
    pub async fn open(&self, agent: SocketAddr, open: &Open) -> Result<Events, Error> {
        let request = Request::post(format!("http://{agent}/internal/call"))
            .header(secret::HEADER, self.secret.expose())
            .body(codec::encode(open))
            .map_err(broken)?;
        let response = self.client.send(request, HEAD_TIMEOUT).await;
        let response = response.map_err(lost)?;
        if !response.status().is_success() {
            return Err(broken(response.status()));
        }
        Ok(Events {
            call: open.id,
            body: response.into_body(),
            decoder: Decoder::default(),
        })
    }
}

impl Events {
    /// Waits for the next event.
    ///
    /// # Errors
    /// All but [`Error::Unsent`]; the events are then over.
    pub async fn next(&mut self) -> Result<Body, Error> {
        loop {
            if let Some(event) = self.decoder.take::<Event>().context(MalformedSnafu)? {
                ensure!(event.call == self.call, CrossedSnafu);
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
    if source.unsent() {
        return Error::Unsent { source };
    }
    broken(source)
}
